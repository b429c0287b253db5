#include "trace/tracereplay.h"

#include "base/attempt.h"
#include "trace/tracecodec.h"

#include <fstream>
#include <optional>

namespace samphireswitch::trace {

namespace {

Error atLine(const Error &error, const std::string &file, std::size_t line)
{
    return {error.code, file + ':' + std::to_string(line) + ": " + error.message};
}

std::string toText(const admission::Actions &actions)
{
    std::string text;
    for (const admission::Action &action : actions) {
        text += (text.empty() ? "" : " ") + encode(action);
    }
    return '[' + text + ']';
}

} // namespace

Result<void> TraceReplay::add(const std::string &file, std::istream &input)
{
    std::string text;
    std::size_t line = 0;
    TimePoint start;
    std::optional<admission::FlowAdmission> admission;
    while (std::getline(input, text) && !input.eof()) {
        ++line;
        if (line == 1) {
            const auto decoded = attempt([&] { return decodeHeader(text); });
            if (const auto *error = std::get_if<Error>(&decoded)) {
                return boost::leaf::new_error(atLine(*error, file, line));
            }
            const auto &header = std::get<TraceHeader>(decoded);
            start = TimePoint(header.steadyStart);
            admission.emplace(header.settings, header.self, makeRandomEngine(header.seed));
            m_outcomes.startTrace(file, header);
            continue;
        }
        const auto decoded = attempt([&] { return decodeEntry(text); });
        if (const auto *error = std::get_if<Error>(&decoded)) {
            return boost::leaf::new_error(atLine(*error, file, line));
        }
        const auto &entry = std::get<TraceEntry>(decoded);
        ++m_counts.events;
        count(entry.actions);
        compare(entry.actions, admission->handle(entry.event, start + entry.sinceStart), file, line);
        m_outcomes.add(entry, line);
    }
    if (line == 0) {
        return boost::leaf::new_error(
            Error {ResultCode::TraceMalformed, file + ":1: the line with the admission settings is missing"});
    }
    m_outcomes.endTrace();
    ++m_counts.traces;
    return {};
}

Result<void> TraceReplay::addFile(const std::string &path)
{
    std::ifstream input(path);
    if (!input) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist or cannot be read"});
    }
    return add(path, input);
}

std::vector<Violation> TraceReplay::finish()
{
    m_outcomes.finish();
    std::vector<Violation> all = m_differences;
    all.insert(all.end(), m_outcomes.violations().begin(), m_outcomes.violations().end());
    return all;
}

const TraceCounts &TraceReplay::counts() const
{
    return m_counts;
}

void TraceReplay::count(const admission::Actions &actions)
{
    for (const admission::Action &action : actions) {
        const auto is = [&]<typename... Kinds>() -> std::uint64_t {
            return (std::holds_alternative<Kinds>(action) || ...) ? 1 : 0;
        };
        m_counts.accepted += is.operator()<admission::AcceptFlow, admission::AcceptParked>();
        m_counts.passed += is.operator()<admission::PassPacket>();
        m_counts.parked += is.operator()<admission::ParkPacket>();
        m_counts.handedOver += is.operator()<admission::HandOverParked>();
        m_counts.refused += is.operator()<admission::RefusePacket, admission::RefuseParked>();
        m_counts.ceded += is.operator()<admission::CedeFlow>();
        m_counts.opened += is.operator()<admission::OpenUpstream>();
        m_counts.resetUnowned += is.operator()<admission::ResetUnowned>();
        m_counts.drained += is.operator()<admission::ReportDrained>();
    }
}

void TraceReplay::compare(const admission::Actions &recorded,
                          const admission::Actions &replayed,
                          const std::string &file,
                          std::size_t line)
{
    const std::string expected = toText(recorded);
    const std::string actual = toText(replayed);
    if (expected != actual) {
        m_differences.push_back(
            {ViolationKind::ActionsDiffer, file, line, "recorded " + expected + ", replayed " + actual});
    }
}

} // namespace samphireswitch::trace
