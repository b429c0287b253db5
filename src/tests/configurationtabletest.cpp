#include "configuration/configurationtable.h"
#include "tests/resulterror.h"

#include <gtest/gtest.h>

#include <random>

namespace samphireswitch::configuration {

namespace {

ServiceRecord recordAt(Generation generation)
{
    ServiceRecord record;
    record.name = "tally";
    record.generation = generation;
    return record;
}

} // namespace

// Guards against losing changes in a gap between two deltas, and against applying an outdated delta that arrives late.
TEST(ConfigurationTableTest, RejectsOutdatedAndGappedDeltas)
{
    ConfigurationTable table;
    ASSERT_TRUE(table.apply(ConfigurationDelta {0, 3, {recordAt(3)}}));
    EXPECT_EQ(errorOf([&] { return table.apply(ConfigurationDelta {0, 3, {}}); }).code, ResultCode::GenerationOutdated);
    EXPECT_EQ(errorOf([&] { return table.apply(ConfigurationDelta {4, 6, {}}); }).code, ResultCode::GenerationGap);
    EXPECT_EQ(table.generation(), 3U);
}

// Guards against replacing a record with an older one when deltas arrive late, repeatedly or out of order.
TEST(ConfigurationTableTest, RecordNeverReverts)
{
    constexpr int rounds = 2000;
    constexpr Generation lastGeneration = 40;
    std::mt19937 random(20261204);
    ConfigurationTable table;
    Generation newestRecord = 0;
    for (int round = 0; round < rounds; ++round) {
        const Generation from = random() % lastGeneration;
        const Generation to = from + random() % 5;
        const Generation before = table.generation();
        // A faulty peer may also send records older than the range of their delta.
        const bool isApplied =
            static_cast<bool>(table.apply(ConfigurationDelta {from, to, {recordAt(1 + random() % (to + 1))}}));
        ASSERT_GE(table.generation(), before);
        ASSERT_EQ(isApplied, table.generation() > before);
        const ServiceRecord *record = table.find(ServiceId::fromName("tally"));
        const Generation now = record == nullptr ? 0 : record->generation;
        ASSERT_GE(now, newestRecord);
        newestRecord = now;
    }
}

} // namespace samphireswitch::configuration
