#include "tests/integration/integrationtest.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace samphireswitch::tests {

namespace {

constexpr std::chrono::seconds s_servingLimit {30};
constexpr std::chrono::seconds s_callerLimit {90};

std::string hostSection(const std::string &host, const std::string &service, const HostStates &states)
{
    const auto state = states.find(host);
    std::ostringstream text;
    text << "[host " << host << "]\nservice = " << service << "\nfailure_domain = domain-" << host.back()
         << "\nstate = " << (state == states.end() ? "active" : state->second) << "\n\n";
    return text.str();
}

} // namespace

IntegrationTest::~IntegrationTest()
{
    if (m_deployment == nullptr) {
        return;
    }
    const std::string directory = m_deployment->directory();
    if (HasFailure()) {
        // The output stays in the directory; the caller's journal has the port of each request's flow.
        try {
            m_deployment->run({"timeline"});
        } catch (const std::runtime_error &error) {
            std::cout << "no time line: " << error.what() << std::endl;
        }
    }
    m_deployment.reset();
    if (HasFailure() || std::getenv("SAMPHIRESWITCH_KEEP_FILES") != nullptr) {
        std::cout << "logs and journals: " << directory << std::endl;
        return;
    }
    std::filesystem::remove_all(directory);
}

void IntegrationTest::startServing(std::uint64_t seed)
{
    std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    std::replace(name.begin(), name.end(), '/', '-');
    const std::string directory =
        std::filesystem::temp_directory_path() / ("samphireswitch-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::remove_all(directory);
    standin::DeploymentOptions options;
    options.directory = directory;
    options.declaration = declaration();
    options.seed = seed;
    options.faultProxies = true;
    if (std::getenv("SAMPHIRESWITCH_KEEP_FILES") != nullptr) {
        options.agentSettings = "trace_file = " + directory + "/{host}.trace\n";
    }
    m_deployment = std::make_unique<standin::Deployment>(options);
    m_deployment->startAll();
    m_deployment->apply(declaration());
    m_deployment->waitUntilServing(s_servingLimit);
}

standin::Deployment &IntegrationTest::deployment()
{
    return *m_deployment;
}

std::string IntegrationTest::declaration(const HostStates &states)
{
    std::string text = "[service alpha]\naddress = 10.21.0.1\nrequest_port = 8001\nfeed_port = 8002\n"
                       "idempotent = false\ndeadline_ms = 2000\nslots = 2\nconnections = 500\n\n"
                       "[service beta]\naddress = 10.21.0.2\nrequest_port = 8001\n"
                       "idempotent = false\ndeadline_ms = 2000\nslots = 2\nconnections = 500\n\n";
    for (const char *host : {"a1", "a2", "a3", "a4"}) {
        text += hostSection(host, "alpha", states);
    }
    for (const char *host : {"b1", "b2"}) {
        text += hostSection(host, "beta", states);
    }
    return text;
}

void IntegrationTest::holdFeeds(int feeds, std::chrono::milliseconds duration)
{
    m_deployment->startCaller(
        "feeds",
        "alpha",
        {"--feeds=" + std::to_string(feeds), "--duration_ms=" + std::to_string(duration.count()), "--rate=0"});
    ASSERT_TRUE(
        standin::Deployment::waitUntil([&] { return progress("feeds")["feeds_held"] == feeds; }, s_servingLimit))
        << m_deployment->process("caller-feeds").output();
}

boost::json::object IntegrationTest::progress(const std::string &caller)
{
    std::istringstream output(m_deployment->process("caller-" + caller).output());
    boost::json::object last;
    for (std::string line; std::getline(output, line);) {
        // The last line may be incomplete.
        boost::json::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        if (!error && value.is_object() && value.as_object().contains("going_on")) {
            last = value.as_object();
        }
    }
    return last;
}

void IntegrationTest::waitForCaller(const std::string &caller)
{
    const auto status = m_deployment->process("caller-" + caller).wait(s_callerLimit);
    ASSERT_TRUE(status.has_value()) << "caller " << caller << " did not end";
    ASSERT_EQ(*status, 0);
}

void IntegrationTest::expectGuarantees(const standin::JournalLimits &limits)
{
    const boost::json::object report = m_deployment->checkJournals(limits);
    std::cout << boost::json::serialize(report) << std::endl;
    EXPECT_GT(report.at("asked").to_number<int>() + report.at("feeds_held").to_number<int>(), 0);
    EXPECT_EQ(boost::json::serialize(report.at("broken")), "[]");
}

std::vector<std::int64_t> IntegrationTest::beginTimes(const std::string &host)
{
    std::vector<std::int64_t> times;
    for (const boost::json::object &line : m_deployment->journalLines("upstream-" + host + ".")) {
        if (line.at("kind") == "begin") {
            times.push_back(line.at("time_us").as_int64());
        }
    }
    return times;
}

std::int64_t IntegrationTest::wallClockMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace samphireswitch::tests
