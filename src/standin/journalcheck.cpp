#include "standin/journalcheck.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <fstream>

namespace samphireswitch::standin {

namespace {

std::string textOf(const boost::json::object &line, const char *key)
{
    const boost::json::value *value = line.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberOf(const boost::json::object &line, const char *key)
{
    const boost::json::value *value = line.if_contains(key);
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

} // namespace

Result<void> JournalCheck::read(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return boost::leaf::new_error(Error {ResultCode::FileNotReadable, "cannot read the journal " + path});
    }
    for (std::string text; std::getline(file, text);) {
        boost::json::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object()) {
            std::string message = path;
            message += " has a line that is not a JSON object: ";
            message += text;
            return boost::leaf::new_error(Error {ResultCode::FileNotReadable, message});
        }
        readLine(value.as_object());
    }
    return {};
}

void JournalCheck::readLine(const boost::json::object &line)
{
    const std::string kind = textOf(line, "kind");
    const std::string id = textOf(line, "id");
    const std::string host = textOf(line, "host");
    if (id.starts_with(s_probePrefix)) {
        return;
    }
    if (kind == "request") {
        m_outcomes[id] = textOf(line, "outcome");
    } else if (kind == "feed") {
        ++m_feedStates[textOf(line, "state")];
    } else if (kind == "upstream") {
        m_slots[host] = numberOf(line, "slots");
    } else if (kind == "begin") {
        ++m_executions[id].begun;
        if (numberOf(line, "busy") > m_slots[host]) {
            m_hostsOverSlots.insert(host);
        }
    } else if (kind == "end") {
        ++m_executions[id].ended;
    } else if (kind == "shed") {
        ++m_executions[id].shed;
    } else if (kind == "upload_damaged") {
        ++m_damagedUploads;
    } else if (kind == "upload_incomplete") {
        ++m_incompleteUploads;
    } else if (kind == "malformed") {
        ++m_malformedRequests;
    }
}

boost::json::object JournalCheck::report(const JournalLimits &limits) const
{
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t lost = 0;
    std::uint64_t refusedButExecuted = 0;
    std::uint64_t answeredButNotExecuted = 0;
    for (const auto &[id, outcome] : m_outcomes) {
        ++outcomes[outcome];
        const auto found = m_executions.find(id);
        const Execution execution = found == m_executions.end() ? Execution {} : found->second;
        lost += outcome != "answered" && outcome != "refused" && outcome != "damaged" ? 1U : 0U;
        refusedButExecuted += outcome == "refused" && execution.begun > 0 ? 1U : 0U;
        answeredButNotExecuted += outcome == "answered" && execution.ended == 0 ? 1U : 0U;
    }
    std::uint64_t doubled = 0;
    std::uint64_t shed = 0;
    std::uint64_t unknown = 0;
    for (const auto &[id, execution] : m_executions) {
        doubled += execution.begun > 1 ? 1U : 0U;
        shed += execution.shed > 0 ? 1U : 0U;
        unknown += m_outcomes.contains(id) ? 0U : 1U;
    }
    const auto feeds = [&](const char *state) {
        const auto found = m_feedStates.find(state);
        return found == m_feedStates.end() ? std::uint64_t {0} : found->second;
    };
    boost::json::object report = {{"asked", m_outcomes.size()},
                                  {"answered", outcomes["answered"]},
                                  {"refused", outcomes["refused"]},
                                  {"lost", lost},
                                  {"lost_reset", outcomes["reset"]},
                                  {"lost_closed", outcomes["closed"]},
                                  {"lost_timed_out", outcomes["timed-out"]},
                                  {"doubled", doubled},
                                  {"refused_but_executed", refusedButExecuted},
                                  {"answered_but_not_executed", answeredButNotExecuted},
                                  {"executed_without_outcome", unknown},
                                  {"damaged_answers", outcomes["damaged"]},
                                  {"damaged_uploads", m_damagedUploads + m_malformedRequests},
                                  {"incomplete_uploads", m_incompleteUploads},
                                  {"shed", shed},
                                  {"feeds_held", feeds("held")},
                                  {"feeds_not_opened", feeds("not-opened") + feeds("opening")},
                                  {"feeds_broken", feeds("broken")},
                                  {"hosts_over_slots", m_hostsOverSlots.size()}};
    boost::json::array broken;
    constexpr std::array neverAllowed {"doubled",
                                       "refused_but_executed",
                                       "answered_but_not_executed",
                                       "executed_without_outcome",
                                       "damaged_answers",
                                       "damaged_uploads",
                                       "hosts_over_slots"};
    for (const char *name : neverAllowed) {
        if (report[name].to_number<std::uint64_t>() != 0) {
            broken.push_back(name);
        }
    }
    if (lost > limits.lost) {
        broken.push_back("lost");
    }
    if (feeds("broken") > limits.brokenFeeds) {
        broken.push_back("feeds_broken");
    }
    report["broken"] = broken;
    return report;
}

} // namespace samphireswitch::standin
