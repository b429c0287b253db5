#include "balancer/rotationchoice.h"

#include <gtest/gtest.h>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;
using protocol::MemberRecord;

constexpr std::uint32_t s_thin = 10;
constexpr std::uint32_t s_middle = 32;
constexpr std::uint32_t s_strong = 200;

/** A balancer whose link rate is @p megabits a second, with a processor share in proportion. */
MemberRecord balancer(std::uint64_t id, std::uint32_t megabits)
{
    constexpr std::uint32_t kilobits = 1000;
    MemberRecord record;
    record.id = id;
    record.role = protocol::MemberRole::Balancer;
    record.failureDomain = "north";
    record.linkRate = megabits * kilobits;
    record.processorShare = 3 * megabits;
    return record;
}

/** Balancers with these rates of their links; the id of each is its position. */
std::vector<MemberRecord> fleet(std::initializer_list<std::uint32_t> rates)
{
    std::vector<MemberRecord> records;
    for (const std::uint32_t rate : rates) {
        records.push_back(balancer(records.size(), rate));
    }
    return records;
}

/** Whether member @p position of @p records stays in rotation by its own view, in which it is not a member. */
bool stays(std::vector<MemberRecord> records, std::size_t position)
{
    const MemberRecord self = records[position];
    records.erase(records.begin() + static_cast<std::ptrdiff_t>(position));
    return isInRotation(self, records);
}

std::vector<bool> rotation(const std::vector<MemberRecord> &records)
{
    std::vector<bool> result;
    for (std::size_t position = 0; position < records.size(); ++position) {
        result.push_back(stays(records, position));
    }
    return result;
}

} // namespace

// Guards against bulk data that an even spread sends through machines that cannot carry their share of it.
TEST(RotationChoiceTest, LeavesOutBalancersThatLimitAllOthers)
{
    EXPECT_EQ(rotation(fleet({s_strong, s_strong, s_middle, s_thin, s_thin})),
              (std::vector<bool> {true, true, true, false, false}));
    EXPECT_EQ(rotation(fleet({s_strong, s_strong, s_middle, s_thin, s_thin, s_thin})),
              (std::vector<bool> {true, true, true, false, false, false}));
}

// Guards against a rotation below half of the failure domain, with which the fabric uses all balancers.
TEST(RotationChoiceTest, KeepsHalfOfTheFailureDomain)
{
    EXPECT_EQ(rotation(fleet({s_strong, s_thin, s_thin, s_thin})), (std::vector<bool> {true, true, true, true}));
    auto records = fleet({s_strong, s_strong, s_middle, s_thin, s_thin});
    records[0].liveness = protocol::Liveness::Dead;
    EXPECT_TRUE(stays(records, 3));
    EXPECT_TRUE(stays(records, 4));
}

// Guards against a rotation that shrinks in a deployment of equal machines, or for a gain that does not matter.
TEST(RotationChoiceTest, KeepsBalancersOfSimilarCapacity)
{
    EXPECT_EQ(rotation(fleet({s_thin, s_thin, s_thin})), (std::vector<bool> {true, true, true}));
    EXPECT_EQ(rotation(fleet({12, 12, 10})), (std::vector<bool> {true, true, true}));
}

// Guards against a choice by wrong capacities beside an earlier version, whose records tell none.
TEST(RotationChoiceTest, KeepsAllWhereACapacityIsUnknown)
{
    auto records = fleet({s_strong, s_strong, s_middle, s_thin, s_thin});
    records[1].linkRate = 0;
    records[1].processorShare = 0;
    EXPECT_EQ(rotation(records), (std::vector<bool> {true, true, true, true, true}));
}

// Guards against a departure because of processes that take no packets of the same part of the fabric.
TEST(RotationChoiceTest, CountsOnlyBalancersOfTheFailureDomain)
{
    auto records = fleet({s_strong, s_strong, s_strong, s_thin});
    records[0].failureDomain = "south";
    records[1].role = protocol::MemberRole::Agent;
    records[2].state = protocol::MemberState::Left;
    EXPECT_TRUE(stays(records, 3));
}

// Guards against flows that move back and forth while a stronger balancer restarts.
TEST(RotationChoiceTest, DelaysDeparturesOnly)
{
    RotationHold hold;
    const TimePoint start = TimePoint() + 1h;
    EXPECT_TRUE(hold.observe(true, start - 10s));
    EXPECT_TRUE(hold.observe(false, start));
    EXPECT_TRUE(hold.observe(false, start + 3900ms));
    EXPECT_TRUE(hold.observe(true, start + 3950ms));
    EXPECT_TRUE(hold.observe(false, start + 4000ms));
    EXPECT_TRUE(hold.observe(false, start + 7900ms));
    EXPECT_FALSE(hold.observe(false, start + 8000ms));
    EXPECT_TRUE(hold.observe(true, start + 8001ms));
}

// Guards against a process that joins the rotation at its start, only to leave it when it knows the other balancers.
TEST(RotationChoiceTest, DepartsAtOnceAfterTheStart)
{
    RotationHold hold;
    const TimePoint start = TimePoint() + 1h;
    EXPECT_TRUE(hold.observe(true, start));
    EXPECT_FALSE(hold.observe(false, start + 500ms));
    EXPECT_FALSE(hold.observe(false, start + 5s));
}

} // namespace samphireswitch::balancer
