#include "passthrough/runledger.h"

#include <algorithm>

namespace samphireswitch::passthrough {

RunLedger::RunLedger(bool isEnabled)
    : m_isEnabled(isEnabled)
{
}

void RunLedger::earlierRunsRead(const ServedRuns &earlier)
{
    m_earlier = earlier;
    m_recorded = earlier;
}

void RunLedger::reported(const UpstreamRun &run)
{
    m_reported.add(run);
    m_running.add(run);
}

void RunLedger::upstreamRefused()
{
    m_running.runs.clear();
    m_isContradicted = false;
}

void RunLedger::upstreamRuns()
{
    m_running = m_reported;
}

void RunLedger::contradicted()
{
    m_isContradicted = true;
}

void RunLedger::runsRecorded(const ServedRuns &recorded)
{
    m_recorded = recorded;
}

bool RunLedger::mayGetNewFlows(const UpstreamRun &run) const
{
    return !m_isEnabled || m_recorded.contains(run);
}

bool RunLedger::isListed(const UpstreamDeparture &departure) const
{
    const auto isNamed = [&departure](const UpstreamRun &run) {
        const bool tellsStart = departure.startedSinceEpoch.count() != 0;
        return run.id == departure.id && (!tellsStart || run.startedSinceEpoch == departure.startedSinceEpoch);
    };
    return !m_isEnabled || (m_earlier && std::ranges::any_of(m_earlier->runs, isNamed));
}

bool RunLedger::showsUnservedRun() const
{
    const bool isListKnown = m_isEnabled && m_earlier && m_earlier->isComplete;
    if (!isListKnown || m_isContradicted || m_running.runs.empty()) {
        return false;
    }
    return std::ranges::none_of(m_running.runs, [this](const UpstreamRun &run) { return m_earlier->contains(run); });
}

std::optional<ServedRuns> RunLedger::listToRecord(bool knowsAllFlows) const
{
    if (!m_isEnabled || !m_earlier || m_reported.runs.empty()) {
        return std::nullopt;
    }
    ServedRuns list = *m_earlier;
    list.isComplete = list.isComplete || knowsAllFlows;
    for (const UpstreamRun &run : m_reported.runs) {
        list.add(run);
    }
    return list;
}

} // namespace samphireswitch::passthrough
