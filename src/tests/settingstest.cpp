#include "settings/settings.h"
#include "configuration/inidocument.h"
#include "tests/resulterror.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace samphireswitch::settings {

namespace {

constexpr const char *s_balancer = R"(
[process]
name = balancer-1
failure_domain = Ghiffa
[balancer]
data_address = 127.0.0.1:7001
control_address = 127.0.0.1:7002
metrics_address = 127.0.0.1:7003
seeds = 127.0.0.1:7102, 127.0.0.1:7202
[store]
endpoint = 127.0.0.1:2379
)";

constexpr const char *s_agent = R"(
[process]
name = agent-1
failure_domain = Ghiffa
log_level = debug
[agent]
host = ghiffa-1
service = tally
data_address = 127.0.0.1:7001
control_address = 127.0.0.1:7002
metrics_address = 127.0.0.1:7003
fabric_address = 127.0.0.1:6000
upstream_address = 127.0.0.9
balancers = 127.0.0.1:7102
[timing]
half_open_timeout = 1500ms
)";

std::string balancerProblems(const std::string &text)
{
    const Error error = errorOf([&] { return parseBalancerSettings(text, "b.ini"); });
    EXPECT_EQ(error.code, ResultCode::InvalidSettings) << text;
    return error.message;
}

/** A template with values like those that the platform fills in. */
std::string filled(const std::string &path)
{
    const std::map<std::string, std::string> values {{"node_name", "edge-ghiffa-1"},
                                                     {"zone", "ghiffa"},
                                                     {"service", "huvo11a"},
                                                     {"ip", "10.1.0.12"},
                                                     {"seeds", "10.1.0.10:8166,10.2.0.40:8166"},
                                                     {"bootstrap", "true"},
                                                     {"app", "10.1.0.12:8165"},
                                                     {"listen.packet_addr", "10.1.0.12:8172"},
                                                     {"listen.control", "10.1.0.12:8166"},
                                                     {"listen.readiness_addr", "10.1.0.12:8167"},
                                                     {"listen.outbound", "10.1.0.12:8162"},
                                                     {"internal_port_range.0", "7720"},
                                                     {"internal_port_range.1", "7735"},
                                                     {"limits.link_mbps", "12.5"},
                                                     {"limits.cpu_share", "0.028"},
                                                     {"platform.address", "10.200.1.7:8169"}};
    std::string text = configuration::readTextFile(path).value_or("");
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against a template of the deployment that no longer fits the settings.
TEST(SettingsTest, TemplatesOfTheDeploymentAreAccepted)
{
    const std::string deploy = std::string(SAMPHIRESWITCH_SOURCE_DIR) + "/deploy/";
    const auto balancer = parseBalancerSettings(filled(deploy + "balancer.ini"), "balancer.ini");
    ASSERT_TRUE(balancer);
    EXPECT_EQ(balancer->delivery, Delivery::Passthrough);
    EXPECT_EQ(balancer->storeProtocol, StoreProtocol::Platform);
    EXPECT_EQ(balancer->seeds.size(), 2U);
    EXPECT_EQ(balancer->linkRate, 12'500U);
    EXPECT_EQ(balancer->processorShare, 28U);
    const auto agent = parseAnyAgentSettings(filled(deploy + "agent.ini"), "agent.ini");
    ASSERT_TRUE(agent);
    const auto *passthrough = std::get_if<PassthroughAgentSettings>(&*agent);
    ASSERT_NE(passthrough, nullptr);
    EXPECT_TRUE(passthrough->startsEmpty);
    EXPECT_EQ(toString(passthrough->upstreamAddress), "10.1.0.12:8165");
}

// Guards against a pace where the settings ask for none, and against a misspelt value that is taken for one.
TEST(SettingsTest, UpstreamPaceIsOffUnlessAskedFor)
{
    const auto pacingOf = [](const std::string &line) -> std::optional<UpstreamPacing> {
        std::string text = filled(std::string(SAMPHIRESWITCH_SOURCE_DIR) + "/deploy/agent.ini");
        const std::size_t present = text.find("upstream_pace");
        if (present != std::string::npos) {
            text.erase(present, text.find('\n', present) + 1 - present);
        }
        const auto settings = parseAnyAgentSettings(replaced(text, "[store]", line + "\n[store]"), "agent.ini");
        return settings ? std::optional(std::get<PassthroughAgentSettings>(*settings).upstreamPacing) : std::nullopt;
    };
    EXPECT_EQ(pacingOf(""), UpstreamPacing::Off);
    EXPECT_EQ(pacingOf("upstream_pace = off"), UpstreamPacing::Off);
    EXPECT_EQ(pacingOf("upstream_pace = adaptive"), UpstreamPacing::Adaptive);
    EXPECT_FALSE(pacingOf("upstream_pace = fast"));
}

// Guards against passthrough settings with which the process would misread its packets.
TEST(SettingsTest, PassthroughNeedsAnAddressForHints)
{
    const std::string text = replaced(s_balancer, "[store]", "delivery = passthrough\n[store]");
    EXPECT_NE(balancerProblems(text).find("hint_address"), std::string::npos);
    const std::string same = replaced(s_balancer, "[store]", "hint_address = 127.0.0.1:7001\n[store]");
    EXPECT_NE(balancerProblems(same).find("hint_address"), std::string::npos);
}

// Guards against a key that fills the wrong member, and against defaults that are not applied.
TEST(SettingsTest, ReadsEveryKeyAndDefault)
{
    const auto balancer = parseBalancerSettings(s_balancer, "b.ini");
    ASSERT_TRUE(balancer);
    EXPECT_EQ(balancer->name, "balancer-1");
    EXPECT_EQ(balancer->controlAddress, (Endpoint {0x7f000001, 7002}));
    EXPECT_EQ(balancer->seeds.size(), 2U);
    EXPECT_EQ(balancer->hintCapacity, 524288U);
    EXPECT_EQ(balancer->linkRate, 0U);
    EXPECT_EQ(balancer->processorShare, 0U);
    EXPECT_EQ(balancer->gossipInterval, std::chrono::seconds(2));
    const auto agent = parseAgentSettings(s_agent, "a.ini");
    ASSERT_TRUE(agent);
    EXPECT_EQ(agent->service, "tally");
    EXPECT_EQ(agent->upstreamAddress, 0x7f000009U);
    EXPECT_EQ(agent->halfOpenTimeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(agent->noOwnerGrace, std::chrono::seconds(3));
    EXPECT_EQ(agent->logLevel, telemetry::Severity::Debug);
}

// Guards against a process that starts although one of its settings is wrong.
TEST(SettingsTest, ReportsEveryKindOfProblem)
{
    const std::string text = s_balancer;
    const auto expectProblem = [&](const std::string &from, const std::string &to, const std::string &message) {
        const std::string problems = balancerProblems(replaced(text, from, to));
        EXPECT_NE(problems.find(message), std::string::npos) << problems;
    };
    expectProblem("[store]", "speed = 3\n[store]", "b.ini:10: [balancer] speed: the key is unknown; accepted:");
    expectProblem("[store]", "[empty]\n[store]", "b.ini:10: [empty] the section is unknown");
    expectProblem("[store]", "[process]\n[store]", "[process] the section is a duplicate of line 2");
    expectProblem("[store]", "seeds =\n[store]", "[balancer] seeds: the key is a duplicate of line 9");
    expectProblem("127.0.0.1:2379", "localhost:2379", "[store] endpoint: 'localhost:2379' is not accepted; accepted:");
    expectProblem("127.0.0.1:2379", "127.0.0.1:0", "[store] endpoint:");
    expectProblem("127.0.0.1:7102,", "127.0.0.1:7202,", "[balancer] seeds:");
    expectProblem("[store]", "hint_capacity = 12\n[store]", "accepted: a whole number from 1024 to 16777216");
    expectProblem("[store]", "link_mbps = -1\n[store]", "[balancer] link_mbps: '-1' is not accepted");
    expectProblem("[store]", "link_mbps = 10M\n[store]", "a decimal number from 0 to 1000000, or empty");
    expectProblem("[store]", "processor_share = nan\n[store]", "[balancer] processor_share:");
    expectProblem("[store]", "[timing]\ndead_after = 500\n[store]", "with the unit ms, s or min");
    expectProblem("[store]", "[timing]\ndead_after = 5 hours\n[store]", "[timing] dead_after:");
    expectProblem("[store]", "[timing]\nsuspect_after = 18446744073709551615min\n[store]", "[timing] suspect_after:");
    expectProblem("[store]", "[timing]\ndead_after = 1s\n[store]", "accepted: more than suspect_after");
    expectProblem("name = balancer-1", "", "[process] name: the key is missing; accepted:");
    expectProblem("[process]", "name = early\n[process]", "name: the key is outside a section");
    expectProblem("[store]", "nonsense\n[store]", "'nonsense' is neither a section nor an entry");
    expectProblem("7003", "7002", "metrics_address: it equals control_address");
}

// Guards against reports that stop at the first problem.
TEST(SettingsTest, ReportsAllProblemsTogether)
{
    const std::string problems = balancerProblems("[process]\nname = a b\nname = c\nlog_level = loud\n[what]\nx = 1\n");
    EXPECT_EQ(std::count(problems.begin(), problems.end(), '\n') + 1, 9) << problems;
}

// Guards against a crash or a partial configuration when the path is missing or a directory.
TEST(SettingsTest, ReportsUnreadableFile)
{
    EXPECT_EQ(errorOf([] { return loadAgentSettings("/nonexistent/a.ini"); }).code, ResultCode::FileNotReadable);
    EXPECT_EQ(errorOf([] { return loadAgentSettings("/"); }).code, ResultCode::FileNotReadable);
}

} // namespace samphireswitch::settings
