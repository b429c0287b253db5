#include "passthrough/storedflows.h"

#include "tests/resulterror.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

StoredFlows sample(std::size_t flows = 2)
{
    StoredFlows stored;
    stored.runStartedSinceEpoch = 1'700'000'000'123ms;
    for (std::size_t index = 0; index < flows; ++index) {
        const auto port = static_cast<std::uint16_t>(40000 + index);
        stored.flows.push_back({{{0xfffefdfc, port}, {0xc6120001, 443}}, 0x80000001});
    }
    return stored;
}

} // namespace

// Guards against flows that are lost, or change, on their way through the store.
TEST(StoredFlowsTest, FlowsSurviveTheStore)
{
    for (const std::size_t flows : {0U, 1U, 300U}) {
        const auto decoded = decodeStoredFlows(encodeStoredFlows(sample(flows)));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, sample(flows));
    }
}

// Guards against a process that reads beyond the end of a value, or takes what another writer has stored for flows.
TEST(StoredFlowsTest, ValuesOfOtherWritersAreRejected)
{
    const std::string value = encodeStoredFlows(sample());
    for (std::size_t size = 0; size < value.size(); ++size) {
        const bool isWhole = size == encodeStoredFlows(sample(0)).size() || size == encodeStoredFlows(sample(1)).size();
        EXPECT_EQ(bool(decodeStoredFlows(value.substr(0, size))), isWhole) << size << " bytes";
    }
    std::string other = value;
    other.front() = 2;
    EXPECT_FALSE(decodeStoredFlows(other)) << "another version";
    EXPECT_FALSE(decodeStoredFlows("{\"flows\":[]}"));
}

// Guards against a value that grows without limit, or that its writer cannot read again.
TEST(StoredFlowsTest, NumberOfFlowsIsLimited)
{
    const auto decoded = decodeStoredFlows(encodeStoredFlows(sample(s_mostStoredFlows + 10)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->flows.size(), s_mostStoredFlows);
}

// Guards against writes of flows that did not change, and against changes that are not written.
TEST(StoredFlowsTest, HashTellsChangesAndIgnoresTheOrder)
{
    const StoredFlows stored = sample(3);
    StoredFlows reversed = stored;
    std::ranges::reverse(reversed.flows);
    EXPECT_EQ(contentHash(reversed), contentHash(stored));
    StoredFlows shorter = stored;
    shorter.flows.pop_back();
    EXPECT_NE(contentHash(shorter), contentHash(stored));
    StoredFlows other = stored;
    ++other.flows.front().sequenceNumber;
    EXPECT_NE(contentHash(other), contentHash(stored)) << "another flow with the same addresses and ports";
    StoredFlows laterRun = stored;
    laterRun.runStartedSinceEpoch += 1ms;
    EXPECT_NE(contentHash(laterRun), contentHash(stored));
    EXPECT_EQ(contentHash(sample(0)), 0U);
}

} // namespace samphireswitch::passthrough
