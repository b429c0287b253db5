#include "platform/configurationdocument.h"

#include "base/endpoint.h"
#include "configuration/recordcheck.h"
#include "protocol/configurationcodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace samphireswitch::platform {

namespace {

/** The example of the platform's page, with one route of each form. */
const std::string s_document = R"({"version":7,"routes":[
{"name":"r-1","host":"198.18.0.1","prefix":"/8080/","type":"non_idempotent","timeout_ms":2500,
 "target_latency_ms":150,"priority":1,"service":"huvo11a","max_attempts":2},
{"name":"r-2","host":"198.18.0.1","prefix":"/8443/","type":"idempotent","timeout_ms":2000,"target_latency_ms":120,
 "priority":2,"backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max_attempts":2}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}],
"limits":{"idle_timeout_ms":15000}})";

const configuration::ServiceRecord &find(const ConfigurationDocument &document, const std::string &name)
{
    return *std::ranges::find(document.records, name, &configuration::ServiceRecord::name);
}

} // namespace

// Guards against a port or a weight that is read from a wrong place.
TEST(ConfigurationDocumentTest, RoutesBecomeServicesWithPools)
{
    const auto document = decodeConfiguration(s_document);
    ASSERT_TRUE(document);
    EXPECT_EQ(document->generation, 7U);
    const auto &split = find(*document, "route-r-2");
    EXPECT_EQ(addressToString(split.address), "198.18.0.1");
    EXPECT_EQ(split.requestPort, 8443);
    EXPECT_TRUE(split.idempotent);
    EXPECT_EQ(split.pools, (std::vector<configuration::PoolShare> {{"huvo11a", 90}, {"wuno96b", 10}}));
    EXPECT_FALSE(find(*document, "route-r-1").idempotent);
    EXPECT_EQ(find(*document, "route-r-1").latencyTarget, std::chrono::milliseconds(150));
    EXPECT_EQ(find(*document, "route-r-1").deadline, std::chrono::milliseconds(2500));
    EXPECT_EQ(find(*document, "route-r-1").priority, 1);
    EXPECT_TRUE(find(*document, "huvo11a").isPool());
}

// Guards against records that one balancer cannot hand to another one.
TEST(ConfigurationDocumentTest, RecordsKeepTheRulesOfRecords)
{
    const auto document = decodeConfiguration(s_document);
    ASSERT_TRUE(document);
    for (const configuration::ServiceRecord &record : document->records) {
        EXPECT_TRUE(configuration::problemsOf(record).empty()) << record.name;
    }
}

// Guards against a configuration that is damaged on its way and applied in part.
TEST(ConfigurationDocumentTest, DamagedDocumentIsRejectedAsAWhole)
{
    for (const std::string what : {"\"/8080/\"", "\"198.18.0.1\"", "\"routes\":["}) {
        std::string text = s_document;
        text.replace(text.find(what), what.size(), "\"x\":[");
        EXPECT_FALSE(decodeConfiguration(text)) << what;
    }
}

// Guards against a document whose numbers or nesting end the process, and against a port that is cut to 16 bits.
TEST(ConfigurationDocumentTest, DocumentOutOfRangeIsRejectedAsAWhole)
{
    EXPECT_FALSE(decodeConfiguration(std::string(1'000'000, '[')));
    EXPECT_FALSE(decodeConfiguration(std::string("\x00\x00\x00\x00", 4)));
    for (const auto &[what, with] : std::vector<std::pair<std::string, std::string>> {
             {"\"/8080/\"", "\"/70000/\""},
             {"\"/8080/\"", "\"/-1/\""},
             {"\"/8080/\"", "\"/0/\""},
             {"\"/8080/\"", "8080"},
             {"\"version\":7", "\"version\":1e400"},
             {"\"version\":7", "\"version\":18446744073709551616"},
             {"\"version\":7", "\"version\":-7"},
             {"\"weight\":90", "\"weight\":4294967296"},
             {"\"priority\":1", "\"priority\":256"},
             {"\"max_conns\":2000", "\"max_conns\":4294967296"},
             {"\"timeout_ms\":2500", "\"timeout_ms\":1.5"},
             {"\"limits\":{", "\"limits\":" + std::string(100'000, '{')}}) {
        std::string text = s_document;
        text.replace(text.find(what), what.size(), with);
        EXPECT_FALSE(decodeConfiguration(text)) << with.substr(0, 100);
    }
}

// Guards against a time limit that is cut to 32 bits on its way to other processes, which then end requests at once,
// and that overflows when it is added to the time.
TEST(ConfigurationDocumentTest, TimesTooLargeAreLimitedToWhatRecordsHold)
{
    for (const char *number : {"4294967297", "9223372036854775807"}) {
        std::string text = s_document;
        text.replace(text.find("2500"), 4, number);
        text.replace(text.find("\"target_latency_ms\":150") + 20, 3, number);
        const auto document = decodeConfiguration(text);
        ASSERT_TRUE(document) << number;
        const auto &record = find(*document, "route-r-1");
        capnp::MallocMessageBuilder builder;
        const auto wire = builder.initRoot<protocol::wire::ServiceRecord>();
        protocol::writeServiceRecord(record, wire);
        const auto received = protocol::readServiceRecord(wire.asReader());
        ASSERT_TRUE(received);
        EXPECT_GT(received->deadline, std::chrono::hours(24 * 40)) << number;
        EXPECT_EQ(received->deadline, record.deadline) << number;
        EXPECT_EQ(received->latencyTarget, record.latencyTarget) << number;
    }
}

} // namespace samphireswitch::platform
