#include "standin/journalcheck.h"

#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace samphireswitch::standin {

namespace {

/** Report of a run with one host of one slot and one answered request, and the journal lines @p more. */
std::string brokenGuarantees(const std::string &more, const JournalLimits &limits = {})
{
    const std::string path = testing::TempDir() + "journalchecktest-" + std::to_string(::getpid()) + ".jsonl";
    std::ofstream(path) << R"({"kind":"upstream","host":"h","slots":1})" << '\n'
                        << R"({"kind":"begin","host":"h","id":"a","busy":1})" << '\n'
                        << R"({"kind":"end","host":"h","id":"a"})" << '\n'
                        << R"({"kind":"request","id":"a","outcome":"answered"})" << '\n'
                        << more;
    JournalCheck check;
    EXPECT_TRUE(check.read(path));
    std::remove(path.c_str());
    return boost::json::serialize(check.report(limits).at("broken"));
}

std::string request(const std::string &id, const std::string &outcome)
{
    return R"({"kind":"request","id":")" + id + R"(","outcome":")" + outcome + "\"}\n";
}

std::string begin(const std::string &id, int busy = 1)
{
    return R"({"kind":"begin","host":"h","id":")" + id + R"(","busy":)" + std::to_string(busy) + "}\n";
}

} // namespace

// Guards against a check that reports a correct run.
TEST(JournalCheckTest, AcceptsCorrectRun)
{
    EXPECT_EQ(brokenGuarantees(request("b", "refused")), "[]");
    EXPECT_EQ(brokenGuarantees(R"({"kind":"feed","id":"f","state":"held"})"), "[]");
}

// Guards against a check that lets a broken guarantee pass, which would hide faults in all integration tests.
TEST(JournalCheckTest, ReportsEachBrokenGuarantee)
{
    EXPECT_EQ(brokenGuarantees(begin("a")), R"(["doubled"])");
    EXPECT_EQ(brokenGuarantees(request("b", "refused") + begin("b")), R"(["refused_but_executed"])");
    EXPECT_EQ(brokenGuarantees(request("b", "answered")), R"(["answered_but_not_executed"])");
    EXPECT_EQ(brokenGuarantees(begin("b")), R"(["executed_without_outcome"])");
    EXPECT_EQ(brokenGuarantees(request("b", "damaged") + begin("b")), R"(["damaged_answers"])");
    EXPECT_EQ(brokenGuarantees(R"({"kind":"upload_damaged","id":"a","host":"h"})"), R"(["damaged_uploads"])");
    EXPECT_EQ(brokenGuarantees(request("b", "answered") + begin("b", 2) + R"({"kind":"end","host":"h","id":"b"})"),
              R"(["hosts_over_slots"])");
    EXPECT_EQ(brokenGuarantees(R"({"kind":"feed","id":"f","state":"broken"})"), R"(["feeds_broken"])");
    for (const char *outcome : {"reset", "closed", "timed-out", ""}) {
        EXPECT_EQ(brokenGuarantees(request("b", outcome)), R"(["lost"])") << outcome;
    }
}

// Guards against limits for the flows of a dead host that also let other losses pass.
TEST(JournalCheckTest, LimitsAreUpperBounds)
{
    EXPECT_EQ(brokenGuarantees(request("b", "reset"), {.lost = 1}), "[]");
    EXPECT_EQ(brokenGuarantees(request("b", "reset") + request("c", "reset"), {.lost = 1}), R"(["lost"])");
}

} // namespace samphireswitch::standin
