#include "base/resultcode.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <string>

namespace samphireswitch {

// Guards against a documented table that differs from the codes that programs return.
TEST(ResultCodeTest, TableInDocumentationMatches)
{
    constexpr int largestCode = 999;
    std::ifstream file(SAMPHIRESWITCH_SOURCE_DIR "/docs/result-codes.md");
    ASSERT_TRUE(file);
    const std::regex row(R"(\| (\d+) \| `(\w+)` \|.*)");
    int documented = 0;
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (!std::regex_match(line, match, row)) {
            continue;
        }
        ++documented;
        EXPECT_EQ(resultCodeName(static_cast<ResultCode>(std::stoi(match[1]))), match[2].str());
    }
    int defined = 0;
    for (int code = 0; code <= largestCode; ++code) {
        if (resultCodeName(static_cast<ResultCode>(code)) != "Unknown") {
            ++defined;
        }
    }
    EXPECT_EQ(documented, defined);
}

} // namespace samphireswitch
