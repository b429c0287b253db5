#include "platform/calls.h"

#include "base/attempt.h"
#include "passthrough/upstreamregistration.h"

#include <gtest/gtest.h>

namespace samphireswitch::platform {

namespace {

using namespace std::chrono_literals;
using passthrough::UpstreamDeparture;
using passthrough::UpstreamMessage;
using passthrough::UpstreamReport;

const std::string s_report =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"ghiffa","version":"v1",)"
    R"("concurrency":3,"state":"draining","slow_start_ms":250,"sequence":4,"born":1700000000123})";

std::string replaced(const std::string &what, const std::string &with)
{
    std::string text = s_report;
    text.replace(text.find(what), what.size(), with);
    return text;
}

/** The message of a call, or nothing if it is rejected. */
std::optional<UpstreamMessage> decode(const http::Request &request)
{
    auto outcome = attempt([&] { return decodeUpstreamCall(request); });
    auto *message = std::get_if<std::optional<UpstreamMessage>>(&outcome);
    return message == nullptr ? std::nullopt : std::move(*message);
}

} // namespace

// Guards against a field of a report that lands in another one.
TEST(PlatformCallsTest, ReportIsDecodedIntoItsFields)
{
    const auto message = decode({"PUT", "/api/instances/i-7f3a91c2", s_report});
    ASSERT_TRUE(message);
    const auto &report = std::get<UpstreamReport>(*message);
    EXPECT_EQ(report.id, "i-7f3a91c2");
    EXPECT_EQ(report.service, "huvo11a");
    EXPECT_EQ(toString(report.endpoint), "10.128.0.9:8080");
    EXPECT_EQ(report.failureDomain, "ghiffa");
    EXPECT_EQ(report.slots, 3U);
    EXPECT_EQ(report.state, passthrough::ReportedState::Draining);
    EXPECT_EQ(report.slowStart, 250ms);
    EXPECT_EQ(report.sequence, 4U);
    EXPECT_EQ(report.startedSinceEpoch, 1700000000123ms);
}

// Guards against a body of another writer that names an upstream: each of these must be rejected.
TEST(PlatformCallsTest, DamagedReportNamesNoUpstream)
{
    const std::vector<std::string> bodies {"",
                                           "[]",
                                           "{\"service\":",
                                           replaced("\"concurrency\":3", "\"concurrency\":\"3\""),
                                           replaced("\"concurrency\":3,", ""),
                                           replaced("draining", "sleeping"),
                                           replaced("\"service\":\"huvo11a\"", "\"service\":7"),
                                           replaced("10.128.0.9:8080", "nowhere"),
                                           replaced("\"sequence\":4", "\"sequence\":-4"),
                                           replaced("1700000000123", "1.5"),
                                           std::string("\xff\xfe\x00", 3)};
    for (const std::string &body : bodies) {
        EXPECT_FALSE(decode({"PUT", "/api/instances/i-1", body})) << body;
    }
    EXPECT_FALSE(decode({"PUT", "/api/instances/", s_report}));
}

// Guards against a body of another writer that ends the agent or names an upstream: nesting without end, numbers that
// no field holds, and addresses with a port out of range.
TEST(PlatformCallsTest, ReportOutOfRangeNamesNoUpstream)
{
    std::vector<std::string> bodies {std::string(60'000, '['),
                                     replaced("\"version\":\"v1\"", "\"version\":" + std::string(60'000, '['))};
    std::string nested;
    for (int level = 0; level < 5000; ++level) {
        nested += "{\"service\":";
    }
    bodies.push_back(nested);
    for (const char *address : {"10.128.0.9:70000",
                                "10.128.0.9:65536",
                                "10.128.0.9:-1",
                                "10.128.0.9:0",
                                "10.128.0.9:",
                                "10.128.0.9",
                                "10.128.0.9:8080x",
                                "10.128.0.9: 8080",
                                "10.128.0.256:8080",
                                "10.128.0.9.1:8080",
                                "[::1]:8080",
                                ":8080"}) {
        bodies.push_back(replaced("10.128.0.9:8080", address));
    }
    for (const char *field :
         {"\"concurrency\":3", "\"slow_start_ms\":250", "\"sequence\":4", "\"born\":1700000000123"}) {
        const std::string name(field, std::string(field).find(':') + 1);
        for (const char *number : {"1e400",
                                   "-1e400",
                                   "1e18",
                                   "1.5",
                                   "-1",
                                   "9223372036854775808",
                                   "18446744073709551615",
                                   "18446744073709551616",
                                   "100000000000000000000000000000000000000000",
                                   "null",
                                   "[4]"}) {
            bodies.push_back(replaced(field, name + number));
        }
    }
    for (const std::string &body : bodies) {
        EXPECT_FALSE(decode({"PUT", "/api/instances/i-1", body})) << body.substr(0, 200);
    }
}

// Guards against one report with a number too large after which every report of the upstream itself looks older, so
// that it gets no flows until it restarts.
TEST(PlatformCallsTest, NumberTooLargeDoesNotSilenceTheUpstream)
{
    for (const auto &[what, with] : std::vector<std::pair<std::string, std::string>> {
             {"1700000000123", "9223372036854775807"},
             {"1700000000123", "1700000000123000000"},
             {"\"sequence\":4", "\"sequence\":9223372036854775807"},
             {"\"sequence\":4", "\"sequence\":9007199254740993"},
             {"\"slow_start_ms\":250", "\"slow_start_ms\":9223372036854775807"}}) {
        const TimePoint now;
        passthrough::UpstreamRegistration registration;
        for (const std::string &body : {s_report, replaced(what, with)}) {
            if (const auto message = decode({"PUT", "/api/instances/i-1", body})) {
                registration.apply(*message, now);
            }
        }
        std::string next = replaced("draining", "ready");
        next.replace(next.find("\"sequence\":4"), 12, "\"sequence\":5");
        const auto message = decode({"PUT", "/api/instances/i-1", next});
        ASSERT_TRUE(message);
        registration.apply(*message, now);
        EXPECT_TRUE(registration.isReady(now)) << with;
        EXPECT_EQ(registration.report()->slowStart, 250ms) << with;
    }
}

// Guards against a departure that is not understood without a body.
TEST(PlatformCallsTest, DepartureNeedsNoBody)
{
    const auto message = decode({"DELETE", "/api/instances/i-1", ""});
    ASSERT_TRUE(message);
    EXPECT_EQ(std::get<UpstreamDeparture>(*message).id, "i-1");
}

// Guards against a balancer that is asked at another path and takes it for readiness.
TEST(PlatformCallsTest, ReadinessIsAskedAtOnePath)
{
    EXPECT_TRUE(isReadinessCall({"GET", "/api/ready", ""}));
    EXPECT_FALSE(isReadinessCall({"GET", "/api/readyz", ""}));
    EXPECT_EQ(readinessAnswer(true).status, 200U);
    EXPECT_EQ(readinessAnswer(false).status, 503U);
}

} // namespace samphireswitch::platform
