#include "commands/commandline.h"
#include "protocol/counterlabel.h"
#include "standin/storestandin.h"
#include "tests/controlstub.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace samphireswitch::commands {

namespace {

constexpr std::uint32_t s_loopback = 0x7f000001;

constexpr const char *s_declaration = "[service tally]\naddress = 10.20.0.1\nrequest_port = 8001\nidempotent = false\n"
                                      "deadline_ms = 2000\nslots = 3\nconnections = 2000\n"
                                      "[host ghiffa-1]\nservice = tally\nfailure_domain = Ghiffa\nstate = active\n";

class CommandLineTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_store.start({s_loopback, 0}));
        m_path = testing::TempDir() + "commandlinetest-" + std::to_string(getpid()) + ".ini";
    }

    void TearDown() override
    {
        std::remove(m_path.c_str());
    }

    /** Calls to the store and to processes have a time limit that no machine reaches. */
    int run(std::vector<std::string> arguments)
    {
        const auto isServer = [](const std::string &argument) {
            return argument.starts_with("--store=") || argument.starts_with("--balancers=");
        };
        const bool isUnlimited = std::ranges::none_of(
            arguments, [](const std::string &argument) { return argument.starts_with("--time_limit="); });
        if (isUnlimited && std::ranges::any_of(arguments, isServer)) {
            arguments.push_back("--time_limit=" + std::to_string(tests::s_ampleTime.count()) + "s");
        }
        std::ostringstream out;
        std::ostringstream errors;
        const ProcessEntryPoints entryPoints {[](const auto &, const auto &) { return 7; },
                                              [](const auto &, const auto &) { return 8; }};
        const int status = runCommandLine(arguments, entryPoints, out, errors);
        m_out = out.str();
        m_errors = errors.str();
        return status;
    }

    void writeFile(const std::string &text) const
    {
        std::ofstream(m_path) << text;
    }

    std::string storeFlag() const
    {
        return "--store=" + toString(m_store.endpoint());
    }

    /** Runs `plan` and returns the identity of the plan. */
    std::string plan()
    {
        EXPECT_EQ(run({"plan", m_path, storeFlag()}), 0) << m_errors;
        const auto start = m_out.rfind("plan-");
        EXPECT_NE(start, std::string::npos) << m_out;
        return start == std::string::npos ? std::string() : m_out.substr(start, m_out.size() - start - 1);
    }

    bool printed(const std::string &text) const
    {
        return m_out.find(text) != std::string::npos;
    }

    bool reported(const std::string &text) const
    {
        return m_errors.find(text) != std::string::npos;
    }

    standin::StoreStandIn m_store;
    std::string m_path;
    std::string m_out;
    std::string m_errors;
};

protocol::Status statusOf(const std::string &name, protocol::MemberRole role)
{
    protocol::Status status;
    status.name = name;
    status.role = role;
    status.failureDomain = "Ghiffa";
    status.state = "active";
    return status;
}

protocol::MemberRecord agentRecord(const Endpoint &control)
{
    protocol::MemberRecord record;
    record.id = AgentId::fromHostName("ghiffa-1").value;
    record.name = "ghiffa-1";
    record.service = ServiceId::fromName("tally");
    record.control = control;
    return record;
}

} // namespace

// Guards against a wrong command line that does something, or that fails without a reason and status 2.
TEST_F(CommandLineTest, WrongUsageIsReported)
{
    const std::vector<std::string> wrong[] {
        {},
        {"plna"},
        {"plan"},
        {"plan", "f"},
        {"plan", "f", "--store"},
        {"plan", "f", "--store="},
        {"plan", "f", "--store=localhost:1"},
        {"plan", "f", "g", storeFlag()},
        {"plan", "f", storeFlag(), "--prnue"},
        {"plan", "f", storeFlag(), storeFlag()},
        {"plan", "f", storeFlag(), "--prune=perhaps"},
        {"plan", "f", storeFlag(), "--time_limit=2"},
        {"plan", "f", storeFlag(), "--host=a"},
        {"plan", "f", storeFlag(), "--close=a b"},
        {"status"},
        {"status", "--balancers="},
        {"timeline", "--balancers=127.0.0.1:1", "--generation=-1"},
        {"check", "f", "--kind=other"},
        {"check", "f", "--flagfile=x"},
    };
    for (const auto &arguments : wrong) {
        EXPECT_EQ(run(arguments), 2) << testing::PrintToString(arguments);
        EXPECT_TRUE(reported("usage: samphireswitch")) << testing::PrintToString(arguments);
        EXPECT_TRUE(m_out.empty());
    }
}

// Guards against commands without a description.
TEST_F(CommandLineTest, EveryCommandHasHelp)
{
    EXPECT_EQ(run({"--help"}), 0);
    for (const char *command : {"balancer", "agent", "plan", "confirm", "status", "timeline", "check", "replay"}) {
        EXPECT_EQ(run({command, "--help"}), 0);
        EXPECT_TRUE(printed(std::string("usage: samphireswitch ") + command)) << m_out;
    }
    EXPECT_EQ(run({"agent", "--help"}), 0);
    EXPECT_TRUE(printed("[agent] upstream_address"));
}

// Guards against a process that starts with settings that are not valid.
TEST_F(CommandLineTest, ProcessesStartOnlyWithValidSettings)
{
    writeFile("[process]\nname = b\n");
    EXPECT_EQ(run({"balancer", m_path}), 1);
    EXPECT_TRUE(reported("InvalidSettings (11)"));
    EXPECT_EQ(run({"check", m_path, "--kind=agent"}), 2);
    EXPECT_TRUE(reported("[agent] host"));
    writeFile("[process]\nname = b\nfailure_domain = G\n[balancer]\ndata_address = 127.0.0.1:1\ncontrol_address = "
              "127.0.0.1:2\nmetrics_address = 127.0.0.1:3\n[store]\nendpoint = 127.0.0.1:4\n");
    EXPECT_EQ(run({"check", m_path}), 0) << m_errors;
    EXPECT_TRUE(printed("no problem (balancer)"));
    EXPECT_EQ(run({"balancer", m_path}), 7);
}

// Guards against a command that waits for the store and that the user cannot interrupt.
TEST_F(CommandLineTest, SignalsInterruptCommandsThatEndByThemselves)
{
    EXPECT_TRUE(runsUntilSignal({"balancer", m_path}));
    EXPECT_TRUE(runsUntilSignal({"agent", m_path}));
    EXPECT_FALSE(runsUntilSignal({"confirm", "balancer"}));
    EXPECT_FALSE(runsUntilSignal({}));
}

// Guards against warnings and errors that scripts cannot tell apart, and against a check that changes what is in force.
TEST_F(CommandLineTest, CheckComparesWithTheConfigurationInForce)
{
    writeFile(s_declaration);
    EXPECT_EQ(run({"check", m_path, storeFlag()}), 0) << m_errors;
    EXPECT_TRUE(printed("added: service tally")) << m_out;
    EXPECT_EQ(run({"confirm", plan(), storeFlag()}), 0) << m_errors;
    EXPECT_EQ(run({"check", m_path, storeFlag()}), 0) << m_errors;
    EXPECT_TRUE(printed("No difference")) << m_out;
    std::string drained = s_declaration;
    drained.replace(drained.find("active"), std::string("active").size(), "draining");
    writeFile(drained);
    EXPECT_EQ(run({"check", m_path, storeFlag()}), 1) << m_errors;
    EXPECT_TRUE(printed("warning: service tally: it has no active host")) << m_out;
    EXPECT_TRUE(printed("host ghiffa-1 from 'active in Ghiffa' to 'draining in Ghiffa'")) << m_out;
    writeFile("[service tally]\n");
    EXPECT_EQ(run({"check", m_path, storeFlag()}), 2);
}

// Guards against a document of the platform's store that is taken for a declaration, and against one that is compared
// with nothing although a file is named.
TEST_F(CommandLineTest, CheckReadsDocumentsWithoutAStore)
{
    const std::string route = R"({"name":"r","host":"10.0.0.1","prefix":"/443/","service":"tally","type":"idempotent",)"
                              R"("timeout_ms":2000,"target_latency_ms":3000,"priority":1})";
    const std::string pool = R"({"name":"tally","health_path":"/health","max_conns":10})";
    writeFile(R"({"version":7,"routes":[)" + route + R"(],"services":[)" + pool + "]}");
    EXPECT_EQ(run({"check", m_path, "--against=" + m_path}), 1) << m_errors;
    EXPECT_TRUE(printed("warning: service route-r: the latency target of 3000 ms is beyond the deadline")) << m_out;
    EXPECT_TRUE(printed("No difference")) << m_out;
    writeFile(R"({"version":7,"routes":[)" + route + R"(],"services":[]})");
    EXPECT_EQ(run({"check", m_path}), 2);
    EXPECT_TRUE(printed("error: service route-r: the pool tally does not exist")) << m_out;
    EXPECT_EQ(run({"check", m_path, "--against=" + m_path + ".missing"}), 2);
}

// Guards against plans that take effect before they are confirmed, and confirmations that are not repeatable.
TEST_F(CommandLineTest, PlanTakesEffectWithConfirmOnly)
{
    writeFile(s_declaration);
    const std::string first = plan();
    const std::string second = plan();
    EXPECT_TRUE(printed("Compared with generation 0")) << m_out;
    EXPECT_EQ(run({"confirm", first, storeFlag()}), 0) << m_errors;
    EXPECT_TRUE(printed("confirmed as generation 1"));
    EXPECT_EQ(run({"confirm", first, storeFlag()}), 0);
    EXPECT_TRUE(printed("confirmed as generation 1"));
    EXPECT_EQ(run({"confirm", second, storeFlag()}), 1);
    EXPECT_TRUE(reported("PlanOutdated (41): plan " + first)) << m_errors;
    EXPECT_EQ(run({"confirm", "plan-0", storeFlag()}), 1);
    EXPECT_TRUE(reported("PlanNotFound (40)"));
    EXPECT_EQ(run({"plan", m_path, storeFlag()}), 0);
    EXPECT_TRUE(printed("Nothing changes"));
    m_store.setFaults({.unavailable = true});
    EXPECT_EQ(run({"plan", m_path, storeFlag()}), 1);
    EXPECT_TRUE(reported("StoreUnavailable (30)"));
}

// Guards against a refused plan that is stored and could be confirmed.
TEST_F(CommandLineTest, RefusedPlanIsNotStored)
{
    writeFile(s_declaration);
    ASSERT_EQ(run({"confirm", plan(), storeFlag()}), 0);
    std::string drained = s_declaration;
    drained.replace(drained.find("active"), 6, "draining");
    writeFile(drained);
    EXPECT_EQ(run({"plan", m_path, storeFlag()}), 1);
    EXPECT_TRUE(printed("refused: service tally: no active host is left"));
    EXPECT_FALSE(printed("samphireswitch confirm"));
    EXPECT_EQ(run({"plan", m_path, storeFlag(), "--close", "tally"}), 0) << m_errors;
}

// Guards against a plan that takes a service for idle although an agent holds connections or does not respond.
TEST_F(CommandLineTest, PlanAsksAgentsForConnections)
{
    writeFile(s_declaration);
    ASSERT_EQ(run({"confirm", plan(), storeFlag()}), 0);
    std::string drained = s_declaration;
    drained.replace(drained.find("active"), 6, "draining");
    writeFile(drained);
    protocol::Status agentStatus = statusOf("ghiffa-1", protocol::MemberRole::Agent);
    agentStatus.counters = {{"connections_held", 1}};
    ControlStub agent({agentStatus, {}, false, false, {}});
    protocol::Status balancerStatus = statusOf("balancer-1", protocol::MemberRole::Balancer);
    balancerStatus.members = {agentRecord(agent.endpoint())};
    ControlStub balancer({balancerStatus, {}, false, false, {}});
    const std::string flag = "--balancers=" + toString(balancer.endpoint());
    EXPECT_EQ(run({"plan", m_path, storeFlag(), flag}), 1);
    agentStatus.counters = {{"connections_held", 0}};
    agent.setStatus(agentStatus);
    EXPECT_EQ(run({"plan", m_path, storeFlag(), flag}), 0) << m_errors;
    // A balancer that does not respond may know of another agent.
    EXPECT_EQ(run({"plan", m_path, storeFlag(), flag + ",127.0.0.1:1"}), 1);
    balancerStatus.members[0].control.port = 1;
    balancer.setStatus(balancerStatus);
    EXPECT_EQ(run({"plan", m_path, storeFlag(), flag}), 1);
}

// Guards against a confirmation that fails, or is not reported, because a balancer does not respond.
TEST_F(CommandLineTest, ConfirmOffersConfigurationToBalancers)
{
    writeFile(s_declaration);
    const std::string id = plan();
    const ControlStub balancer({statusOf("balancer-1", protocol::MemberRole::Balancer), {}, false, false, {}});
    const std::string address = toString(balancer.endpoint());
    EXPECT_EQ(run({"confirm", id, storeFlag(), "--balancers=" + address + ",127.0.0.1:1"}), 0) << m_errors;
    EXPECT_TRUE(printed("balancer " + address + ": generation 1 is in force")) << m_out;
    EXPECT_TRUE(printed("balancer 127.0.0.1:1: the process at 127.0.0.1:1 does not respond")) << m_out;
    ASSERT_EQ(balancer.offers().size(), 1U);
    EXPECT_EQ(balancer.offers()[0].records.size(), 1U);
}

// Guards against a status that leaves out processes that balancers know, or what a drain waits for.
TEST_F(CommandLineTest, StatusAndTimelineCoverAllProcesses)
{
    protocol::Status agentStatus = statusOf("ghiffa-1", protocol::MemberRole::Agent);
    agentStatus.state = "draining";
    agentStatus.waitingFor = {"10.1.0.1:40000>10.20.0.1:8001, open for 12 s"};
    std::vector<telemetry::EventRecord> events(5);
    for (std::size_t index = 0; index < events.size(); ++index) {
        events[index].sequence = index + 1;
        events[index].logicalTime = 10 + index;
        events[index].process = "ghiffa-1";
        events[index].kind = "flow-accepted";
    }
    const ControlStub agent({agentStatus, events, false, false, {}});
    protocol::Status balancerStatus = statusOf("balancer-1", protocol::MemberRole::Balancer);
    protocol::MemberRecord dead = agentRecord({s_loopback, 1});
    dead.id = 5;
    dead.name = "cannero-1";
    dead.liveness = protocol::Liveness::Dead;
    balancerStatus.members = {agentRecord(agent.endpoint()), dead};
    balancerStatus.generation = 2;
    telemetry::EventRecord routed;
    routed.sequence = 1;
    routed.logicalTime = 12;
    routed.process = "balancer-1";
    routed.kind = "flow-routed";
    const ControlStub balancer({balancerStatus, {routed}, false, false, {}});
    const std::string flag = "--balancers=" + toString(balancer.endpoint());
    EXPECT_EQ(run({"status", flag}), 0) << m_errors;
    EXPECT_TRUE(printed("balancer-1 at")) << m_out;
    EXPECT_TRUE(printed("(agent, Ghiffa): draining, generation 0")) << m_out;
    EXPECT_TRUE(printed("waits for 10.1.0.1:40000>10.20.0.1:8001, open for 12 s")) << m_out;
    EXPECT_TRUE(printed("cannero-1 at 127.0.0.1:1 (agent, ): dead")) << m_out;
    EXPECT_TRUE(printed("Generation 2 is in force on 1 of 2 processes.")) << m_out;
    EXPECT_EQ(run({"timeline", flag}), 0) << m_errors;
    EXPECT_EQ(std::count(m_out.begin(), m_out.end(), '\n'), 6);
    EXPECT_LT(m_out.find("11 "), m_out.find("balancer-1 flow-routed"));
    EXPECT_EQ(run({"status", "--balancers=127.0.0.1:1"}), 1);
    EXPECT_TRUE(reported("PeerUnavailable (50)"));
}

// Guards against a failure domain that operators read in another spelling than that of their file.
TEST_F(CommandLineTest, StatusNamesEvacuatedDomainsAsDeclared)
{
    protocol::Status balancerStatus = statusOf("balancer-1", protocol::MemberRole::Balancer);
    for (const char *domain : {"Shah Alam", R"(a"b\c)", R"(\)", R"(")"}) {
        balancerStatus.counters.push_back(
            {protocol::labelledName(protocol::s_evacuatedAgentsCounter, protocol::s_failureDomainLabel, domain), 1});
    }
    const ControlStub balancer({balancerStatus, {}, false, false, {}});
    EXPECT_EQ(run({"status", "--balancers=" + toString(balancer.endpoint())}), 0) << m_errors;
    for (const std::string domain : {"Shah Alam", R"(a"b\c)", R"(\)", R"(")"}) {
        EXPECT_TRUE(printed("Failure domain " + domain + " is evacuated at 1 of 1 processes.\n")) << domain;
    }
}

} // namespace samphireswitch::commands
