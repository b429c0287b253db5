#include "routing/deniedflows.h"

#include <algorithm>

namespace samphireswitch::routing {

namespace {

// Differs from the seeds of other tables, so that flows that share an entry here do not share one there.
constexpr std::uint64_t s_denialSeed = 0x64656e6965646673ULL;

} // namespace

DeniedFlows::DeniedFlows(const DeniedFlowSettings &settings)
    : m_settings(settings)
{
}

void DeniedFlows::searchBegan(const flow::FlowKey &key, std::uint32_t version, TimePoint now)
{
    if (m_entries.empty()) {
        m_entries.resize(std::max<std::size_t>(1, m_settings.capacity));
    }
    const std::uint64_t flowHash = flow::hashFlow(key, s_denialSeed);
    m_entries[flowHash % m_entries.size()] = {flowHash, now, version, false};
}

void DeniedFlows::denied(const flow::FlowKey &key,
                         std::optional<std::uint32_t> version,
                         std::span<const protocol::Candidate> unanswered,
                         TimePoint now)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_denialSeed);
    const Entry *latest = find(flowHash);
    if (latest == nullptr || version.value_or(latest->version) != latest->version || !addUndecided(unanswered, now)) {
        return;
    }
    Entry &entry = m_entries[flowHash % m_entries.size()];
    entry.deniedAt = now;
    entry.isDenied = true;
}

bool DeniedFlows::isDenied(const flow::FlowKey &key, std::uint32_t version, TimePoint now) const
{
    const Entry *entry = find(flow::hashFlow(key, s_denialSeed));
    return entry != nullptr && entry->isDenied && entry->version == version
        && now - entry->deniedAt < m_settings.validity;
}

std::vector<protocol::Candidate> DeniedFlows::undecided(TimePoint now) const
{
    std::vector<protocol::Candidate> agents;
    for (const Undecided &undecided : m_undecided) {
        if (now - undecided.seenAt < m_settings.validity) {
            agents.push_back(undecided.agent);
        }
    }
    return agents;
}

bool DeniedFlows::addUndecided(std::span<const protocol::Candidate> agents, TimePoint now)
{
    std::erase_if(m_undecided, [&](const Undecided &old) { return now - old.seenAt >= m_settings.validity; });
    for (const protocol::Candidate &agent : agents) {
        const auto found = std::ranges::find(m_undecided, agent, &Undecided::agent);
        if (found != m_undecided.end()) {
            found->seenAt = now;
        } else if (m_undecided.size() == m_settings.undecidedAgents) {
            return false;
        } else {
            m_undecided.push_back({agent, now});
        }
    }
    return true;
}

const DeniedFlows::Entry *DeniedFlows::find(std::uint64_t flowHash) const
{
    if (m_entries.empty()) {
        return nullptr;
    }
    const Entry &entry = m_entries[flowHash % m_entries.size()];
    return entry.flowHash == flowHash ? &entry : nullptr;
}

} // namespace samphireswitch::routing
