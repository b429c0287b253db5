#include "trace/tracereplay.h"

#include "tests/resulterror.h"
#include "trace/tracecodec.h"
#include "trace/tracerecorder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace samphireswitch::trace {

namespace {

using Lines = std::vector<std::string>;

Lines readTrace(const std::string &name)
{
    std::ifstream file(SAMPHIRESWITCH_SOURCE_DIR "/src/tests/traces/" + name);
    Lines lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::string joined(const Lines &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + '\n';
    }
    return text;
}

Error replay(TraceReplay &replay, const std::string &name, const std::string &text)
{
    std::istringstream input(text);
    return errorOf([&] { return replay.add(name, input); });
}

std::vector<Violation> violationsOf(const std::vector<Lines> &traces, TraceCounts *counts = nullptr)
{
    TraceReplay traceReplay;
    for (std::size_t index = 0; index < traces.size(); ++index) {
        const Error error = replay(traceReplay, std::to_string(index), joined(traces[index]));
        EXPECT_EQ(error.code, ResultCode::Ok) << error.message;
    }
    if (counts != nullptr) {
        *counts = traceReplay.counts();
    }
    return traceReplay.finish();
}

std::string toText(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        text += std::string(violationName(violation.kind)) + ' ' + violation.file + ':' + std::to_string(violation.line)
            + '\n';
    }
    return text;
}

/** Index of the first line from @p from on with @p text; the test fails if there is none. */
std::size_t find(const Lines &lines, const std::string &text, std::size_t from = 1)
{
    for (std::size_t index = from; index < lines.size(); ++index) {
        if (lines[index].find(text) != std::string::npos) {
            return index;
        }
    }
    ADD_FAILURE() << "the trace has no " << text;
    return 0;
}

/** Adds @p action to the entry of @p line, and expects this difference and @p kind there and nothing else. */
void expectViolation(Lines lines, std::size_t line, const admission::Action &action, ViolationKind kind)
{
    auto entry = attempt([&] { return decodeEntry(lines.at(line)); });
    ASSERT_TRUE(std::holds_alternative<TraceEntry>(entry));
    std::get<TraceEntry>(entry).actions.push_back(action);
    lines[line] = encode(std::get<TraceEntry>(entry));
    const std::string place = " 0:" + std::to_string(line + 1) + '\n';
    EXPECT_EQ(toText(violationsOf({lines})), "ActionsDiffer" + place + std::string(violationName(kind)) + place);
}

flow::FlowKey keyOf(const std::string &line)
{
    const auto entry = attempt([&] { return decodeEntry(line); });
    const auto *decoded = std::get_if<TraceEntry>(&entry);
    const auto *packet = decoded == nullptr ? nullptr : std::get_if<admission::PacketArrived>(&decoded->event);
    return packet == nullptr ? flow::FlowKey {} : packet->key;
}

} // namespace

struct RecordedSet
{
    std::string name;
    TraceCounts counts;
};

class RecordedTraceTest : public testing::TestWithParam<RecordedSet>
{
};

// Guards against a change of the decisions, or of the trace format, that recorded runs do not agree with.
TEST_P(RecordedTraceTest, ReplaysWithoutViolation)
{
    std::vector<Lines> traces;
    for (const char *agent : {"a1", "a2", "a3", "a4"}) {
        traces.push_back(readTrace(GetParam().name + '-' + agent + ".jsonl"));
    }
    TraceCounts counts;
    EXPECT_EQ(toText(violationsOf(traces, &counts)), "");
    const TraceCounts &expected = GetParam().counts;
    EXPECT_EQ(counts.traces, expected.traces);
    EXPECT_EQ(counts.events, expected.events);
    EXPECT_EQ(counts.accepted, expected.accepted);
    EXPECT_EQ(counts.passed, expected.passed);
    EXPECT_EQ(counts.parked, expected.parked);
    EXPECT_EQ(counts.handedOver, expected.handedOver);
    EXPECT_EQ(counts.refused, expected.refused);
    EXPECT_EQ(counts.ceded, expected.ceded);
    EXPECT_EQ(counts.opened, expected.opened);
    EXPECT_EQ(counts.resetUnowned, expected.resetUnowned);
    EXPECT_EQ(counts.drained, expected.drained);
}

// Duplicated first packets with two agents frozen in turn; a planned stop of two agents; overload with refusals.
INSTANTIATE_TEST_SUITE_P(Recorded,
                         RecordedTraceTest,
                         testing::Values(RecordedSet {"duplicates", {4, 770, 94, 2, 0, 0, 0, 1, 56, 0, 0}},
                                         RecordedSet {"stop", {4, 483, 38, 23, 0, 0, 0, 0, 38, 0, 2}},
                                         RecordedSet {"overload", {4, 908, 43, 393, 36, 9, 26, 0, 32, 0, 0}}),
                         [](const auto &set) { return set.param.name; });

// Guards against a second execution of a request that two agents accepted.
TEST(TraceReplayTest, ReportsOpenByAnotherAgent)
{
    const Lines first = readTrace("duplicates-a1.jsonl");
    const std::vector<Violation> violations = violationsOf({first, first});
    ASSERT_FALSE(violations.empty());
    for (const Violation &violation : violations) {
        EXPECT_EQ(violation.kind, ViolationKind::OpenedTwice);
        EXPECT_EQ(violation.file, "1");
    }
    TraceCounts counts;
    violationsOf({first}, &counts);
    EXPECT_EQ(violations.size(), counts.opened);
}

// Guards against new work at a host that drains because of its record (a1) or a signal (a2).
TEST(TraceReplayTest, ReportsAcceptAfterDrain)
{
    flow::FlowKey key = keyOf(readTrace("stop-a1.jsonl").at(3));
    ASSERT_NE(key, flow::FlowKey {});
    key.source.port = 1;
    const auto kind = ViolationKind::AcceptedWhileDraining;
    Lines lines = readTrace("stop-a1.jsonl");
    expectViolation(lines, find(lines, "\"mode\":2"), admission::AcceptFlow {key, 1}, kind);
    lines = readTrace("stop-a2.jsonl");
    expectViolation(lines, find(lines, "DrainOrdered"), admission::AcceptParked {key, 1}, kind);
}

// Guards against work of another service.
TEST(TraceReplayTest, ReportsForeignAccept)
{
    const Lines lines = readTrace("duplicates-a1.jsonl");
    const std::size_t packet = find(lines, "\"firstPacket\":true");
    flow::FlowKey key = keyOf(lines[packet]);
    ++key.destination.address;
    expectViolation(lines, packet, admission::AcceptFlow {key, 1}, ViolationKind::AcceptedForeign);
}

// Guards against a reset of a flow that is being served.
TEST(TraceReplayTest, ReportsResetOfEstablishedFlow)
{
    const Lines lines = readTrace("duplicates-a1.jsonl");
    const std::size_t opened = find(lines, "OpenUpstream");
    const auto entry = attempt([&] { return decodeEntry(lines.at(opened)); });
    ASSERT_TRUE(std::holds_alternative<TraceEntry>(entry));
    for (const admission::Action &action : std::get<TraceEntry>(entry).actions) {
        if (const auto *open = std::get_if<admission::OpenUpstream>(&action)) {
            expectViolation(lines, opened + 1, admission::ResetUnowned {open->key}, ViolationKind::EstablishedReset);
        }
    }
}

// Guards against a refusal of a request that runs all the same.
TEST(TraceReplayTest, ReportsOpenAfterRefusal)
{
    const Lines lines = readTrace("overload-a2.jsonl");
    const std::size_t accepted = find(lines, "\"kind\":\"AcceptFlow\"");
    Lines altered = lines;
    auto entry = attempt([&] { return decodeEntry(lines.at(accepted)); });
    ASSERT_TRUE(std::holds_alternative<TraceEntry>(entry));
    std::get<TraceEntry>(entry).actions.push_back(admission::RefusePacket {keyOf(lines[accepted])});
    altered[accepted] = encode(std::get<TraceEntry>(entry));
    const std::vector<Violation> violations = violationsOf({altered});
    ASSERT_EQ(violations.size(), 2U) << toText(violations);
    EXPECT_EQ(violations[0].line, accepted + 1);
    EXPECT_EQ(violations[1].kind, ViolationKind::OpenedAfterRefusal);
}

// Guards against a parked packet that is forgotten, so that its caller waits in vain.
TEST(TraceReplayTest, ReportsPacketParkedForever)
{
    const Lines lines = readTrace("duplicates-a1.jsonl");
    const std::size_t packet = find(lines, "\"firstPacket\":true");
    flow::FlowKey key = keyOf(lines[packet]);
    key.source.port = 1;
    expectViolation(lines, packet, admission::ParkPacket {key}, ViolationKind::ParkedForever);
}

// Guards against a damaged trace that is taken for a good one, and against an unfinished last line taken for damage.
TEST(TraceReplayTest, NamesDamagedLine)
{
    Lines lines = readTrace("stop-a2.jsonl");
    const std::string whole = joined(lines);
    for (const char *damage : {"{", "[]", R"({"event":{"kind":"Other"}})", R"({"sinceStart":"x"})", R"({"more":1})"}) {
        lines[4] = damage;
        TraceReplay traceReplay;
        const Error error = replay(traceReplay, "file", joined(lines));
        EXPECT_EQ(error.code, ResultCode::TraceMalformed) << damage;
        EXPECT_TRUE(error.message.starts_with("file:5: ")) << error.message;
    }
    TraceReplay empty;
    EXPECT_EQ(replay(empty, "file", "").code, ResultCode::TraceMalformed);
    TraceReplay cut;
    EXPECT_EQ(replay(cut, "file", whole + "{\"event\"").code, ResultCode::Ok);
    EXPECT_TRUE(cut.finish().empty());
}

// Guards against a recording that fills the disk, or that ends within a line.
TEST(TraceReplayTest, RecordingStopsAtItsLimit)
{
    constexpr std::size_t limit = 2000;
    const std::string path = testing::TempDir() + "tracereplaytest.jsonl";
    {
        TraceRecorder recorder(path, {}, Clock::now(), limit);
        for (int count = 0; count < 1000; ++count) {
            recorder.record(admission::TimerExpired {}, {}, Clock::now());
        }
    }
    EXPECT_LE(std::filesystem::file_size(path), limit);
    EXPECT_GT(std::filesystem::file_size(path), limit / 2);
    TraceReplay traceReplay;
    EXPECT_EQ(errorOf([&] { return traceReplay.addFile(path); }).code, ResultCode::Ok);
    EXPECT_GT(traceReplay.counts().events, 5U);
    std::filesystem::remove(path);
}

} // namespace samphireswitch::trace
