#include "agent/servedrunstore.h"

#include "base/attempt.h"

#include <gtest/gtest.h>

namespace samphireswitch::agent {

using namespace std::chrono_literals;

// Guards against a list that another process of the agent reads otherwise than it was written.
TEST(ServedRunStoreTest, ListSurvivesTheStore)
{
    const StoredServedRuns stored {3, {{{"i-1", 1700000000123ms}, {"odd \" id", 0ms}}, true}};
    EXPECT_EQ(decodeServedRuns(encodeServedRuns(stored)).value(), stored);
}

// Guards against values of other writers that end the process or count as a list of no runs.
TEST(ServedRunStoreTest, OddValuesAreRejected)
{
    const std::vector<std::string> values {"",
                                           "[]",
                                           "{}",
                                           "{\"version\":2,\"era\":0,\"complete\":true,\"runs\":[]}",
                                           "{\"version\":1,\"era\":0,\"complete\":true,\"runs\":[1]}",
                                           "{\"version\":1,\"era\":0,\"complete\":true,\"runs\":[{\"id\":1}]}",
                                           "{\"version\":1,\"era\":-1,\"complete\":true,\"runs\":[]}",
                                           std::string(100'000, '[')};
    for (const std::string &value : values) {
        const auto outcome = attempt([&value] { return decodeServedRuns(value); });
        EXPECT_NE(std::get_if<Error>(&outcome), nullptr) << value.substr(0, 80);
    }
}

} // namespace samphireswitch::agent
