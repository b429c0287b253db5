#include "routing/silencedetector.h"

namespace samphireswitch::routing {

namespace {

// Limits the memory for agents that no longer exist. When this many agents are counted, all counts are discarded.
constexpr std::size_t s_maximumAgents = 4096;

} // namespace

SilenceDetector::SilenceDetector(const SilenceSettings &settings)
    : m_settings(settings)
{
}

void SilenceDetector::recordFirstPacket(AgentId agent, TimePoint now)
{
    ++currentCounts(agent, now).sent;
}

bool SilenceDetector::recordRepeatedFirstPacket(AgentId agent, TimePoint now)
{
    Counts &counts = currentCounts(agent, now);
    ++counts.repeated;
    if (now < counts.silentUntil || counts.repeated < m_settings.minimumRepeated || 2 * counts.repeated < counts.sent) {
        return false;
    }
    counts.silentUntil = now + m_settings.penalty;
    counts.sent = 0;
    counts.repeated = 0;
    return true;
}

bool SilenceDetector::isSilent(AgentId agent, TimePoint now) const
{
    const auto found = m_agents.find(agent);
    return found != m_agents.end() && now < found->second.silentUntil;
}

SilenceDetector::Counts &SilenceDetector::currentCounts(AgentId agent, TimePoint now)
{
    if (m_agents.size() >= s_maximumAgents && !m_agents.contains(agent)) {
        m_agents.clear();
    }
    Counts &counts = m_agents[agent];
    if (now - counts.windowStart < m_settings.window) {
        return counts;
    }
    counts.windowStart = now;
    counts.sent = 0;
    counts.repeated = 0;
    return counts;
}

} // namespace samphireswitch::routing
