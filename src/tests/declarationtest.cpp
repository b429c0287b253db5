#include "configuration/declaration.h"
#include "tests/resulterror.h"

#include <gtest/gtest.h>

namespace samphireswitch::configuration {

namespace {

constexpr const char *s_declaration = R"(
[service tally]
address = 10.20.0.1
request_port = 8001
feed_port = 8002
idempotent = false
deadline_ms = 2000
slots = 3
connections = 2000
[service leaf]
address = 10.20.0.2
request_port = 8101
idempotent = true
deadline_ms = 500
slots = 1
connections = 1
[host ghiffa-1]
service = tally
failure_domain = Ghiffa
state = draining
)";

std::string problemsWith(const std::string &from, const std::string &to)
{
    std::string text = s_declaration;
    text.replace(text.find(from), from.size(), to);
    const Error error = errorOf([&] { return parseDeclaration(text, "d.ini"); });
    EXPECT_EQ(error.code, ResultCode::InvalidDeclaration) << to;
    return error.message;
}

} // namespace

// Guards against storing the value of a key in the wrong member.
TEST(DeclarationTest, ReadsEveryKey)
{
    const auto declaration = parseDeclaration(s_declaration, "d.ini");
    ASSERT_TRUE(declaration);
    ASSERT_EQ(declaration->services.size(), 2U);
    const ServiceRecord expected {"tally",
                                  0,
                                  false,
                                  0x0a140001,
                                  8001,
                                  8002,
                                  false,
                                  std::chrono::milliseconds(2000),
                                  3,
                                  2000,
                                  {{"ghiffa-1", "Ghiffa", HostState::Draining}},
                                  {}};
    EXPECT_EQ(declaration->services[0], expected);
    EXPECT_EQ(declaration->services[1].feedPort, 0);
    EXPECT_TRUE(declaration->services[1].idempotent);
}

// Guards against example files that the program rejects, and against hosts missing from them.
TEST(DeclarationTest, ExamplesHaveTheStatedHosts)
{
    const auto verbano = loadDeclaration(SAMPHIRESWITCH_SOURCE_DIR "/examples/verbano.ini");
    const auto bulgaria = loadDeclaration(SAMPHIRESWITCH_SOURCE_DIR "/examples/bulgaria-south.ini");
    ASSERT_TRUE(verbano);
    ASSERT_TRUE(bulgaria);
    EXPECT_EQ(verbano->services[0].hosts.size(), 7U);
    EXPECT_EQ(verbano->services[1].hosts.size(), 4U);
    EXPECT_EQ(verbano->services[0].slots, 3U);
    EXPECT_EQ(bulgaria->services[0].hosts.size(), 7U);
    EXPECT_EQ(bulgaria->services[1].hosts.size(), 3U);
    EXPECT_EQ(bulgaria->services[1].slots, 5U);
}

// Guards against accepting an invalid declaration.
TEST(DeclarationTest, ReportsEveryKindOfProblem)
{
    const auto expectProblem = [](const std::string &from, const std::string &to, const std::string &message) {
        const std::string problems = problemsWith(from, to);
        EXPECT_NE(problems.find(message), std::string::npos) << problems;
    };
    expectProblem("service = tally", "service = tall", "d.ini:18: [host ghiffa-1] service: the service 'tall' is not");
    expectProblem(
        "10.20.0.2", "10.20.0.1", "d.ini:11: [service leaf] address: 10.20.0.1 is the address of service tally");
    expectProblem(
        "10.20.0.2", "10.20.0", "[service leaf] address: '10.20.0' is not accepted; accepted: a numeric IPv4");
    expectProblem("feed_port = 8002", "feed_port = 8001", "the request port and the feed port are equal");
    expectProblem("request_port = 8101", "", "it has neither a request port nor a feed port");
    expectProblem("request_port = 8101", "request_port = 0", "accepted: a whole number from 1 to 65535");
    expectProblem("slots = 3", "slots = 0", "[service tally] slots: '0' is not accepted");
    expectProblem("deadline_ms = 2000", "", "[service tally] deadline_ms: the key is missing");
    expectProblem("deadline_ms = 2000", "deadline_ms = 2s", "[service tally] deadline_ms: '2s' is not accepted");
    expectProblem("connections = 2000", "connections = 2", "it has fewer connections than slots");
    expectProblem("state = draining", "state = drain", "accepted: active, draining or stopped");
    expectProblem("idempotent = true", "idempotent = yes", "accepted: true or false");
    expectProblem("[service leaf]", "[service tally]", "the section is a duplicate of line 2");
    expectProblem("[service leaf]", "[service le af]", "the name is not accepted");
    expectProblem("[service leaf]",
                  "[servce leaf]",
                  "the section is unknown; accepted: [service NAME], [host NAME] and [failure_domain NAME]");
    expectProblem("slots = 3", "slots = 3\nweight = 2", "[service tally] weight: the key is unknown");
}

// Guards against accepting more hosts for a service than the candidate chain of an envelope can hold.
TEST(DeclarationTest, RefusesMoreHostsThanChainHolds)
{
    std::string text = s_declaration;
    for (int host = 2; host <= 16; ++host) {
        text +=
            "[host ghiffa-" + std::to_string(host) + "]\nservice = tally\nfailure_domain = Ghiffa\nstate = active\n";
    }
    EXPECT_TRUE(parseDeclaration(text, "d.ini"));
    text += "[host ghiffa-17]\nservice = tally\nfailure_domain = Ghiffa\nstate = active\n";
    const Error error = errorOf([&] { return parseDeclaration(text, "d.ini"); });
    EXPECT_NE(error.message.find("it has 17 hosts; at most 16"), std::string::npos) << error.message;
}

// Guards against an evacuation that needs the services in the same file, and against a section that is read as its
// opposite.
TEST(DeclarationTest, ReadsFailureDomains)
{
    const auto declaration =
        parseDeclaration("[failure_domain Shah Alam]\nstate = evacuated\n[failure_domain Ghiffa]\nstate = active\n"
                         "[failure_domain Cannero]\n",
                         "d.ini");
    ASSERT_TRUE(declaration);
    ASSERT_EQ(declaration->failureDomains.size(), 3U);
    EXPECT_EQ(declaration->failureDomains[0].name, "Shah Alam");
    EXPECT_TRUE(declaration->failureDomains[0].isEvacuated);
    EXPECT_FALSE(declaration->failureDomains[1].isEvacuated);
    EXPECT_FALSE(declaration->failureDomains[2].isEvacuated);
}

// Guards against a misspelt evacuation that is taken for none.
TEST(DeclarationTest, ReportsBadFailureDomains)
{
    const auto problemsOfText = [](const std::string &text) {
        return errorOf([&] { return parseDeclaration(text, "d.ini"); }).message;
    };
    EXPECT_NE(problemsOfText("[failure_domain Ghiffa]\nstate = evacuate\n")
                  .find("'evacuate' is not accepted; accepted: evacuated or active"),
              std::string::npos);
    EXPECT_NE(problemsOfText("[failure_domain Ghiffa]\nsince = now\n").find("the key is unknown; accepted: state"),
              std::string::npos);
    EXPECT_NE(problemsOfText("[failure_domain " + std::string(64, 'x') + "]\n").find("the name is not accepted"),
              std::string::npos);
    EXPECT_NE(problemsOfText("[failure_domains Ghiffa]\n").find("[failure_domain NAME]"), std::string::npos);
    EXPECT_NE(problemsOfText("[failure_domain Ghiffa]\n[failure_domain Ghiffa]\nstate = evacuated\n"), std::string());
}

} // namespace samphireswitch::configuration
