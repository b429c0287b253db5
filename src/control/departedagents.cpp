#include "control/departedagents.h"

#include <algorithm>

namespace samphireswitch::control {

DepartedAgents::DepartedAgents(const DepartedAgentSettings &settings)
    : m_settings(settings)
{
}

void DepartedAgents::add(const std::vector<protocol::MemberRecord> &records, TimePoint now)
{
    std::erase_if(m_agents, [&](const auto &agent) { return now - agent.second.addedAt >= m_settings.validity; });
    for (const protocol::MemberRecord &record : records) {
        if (record.role == protocol::MemberRole::Agent && protocol::hasUpstreamLeft(record)) {
            addDeparture(record, now);
        }
    }
    for (const protocol::MemberRecord &record : records) {
        const auto found = m_agents.find(record.id);
        const bool hasUpstream = record.state == protocol::MemberState::Active && !protocol::hasUpstreamLeft(record);
        if (hasUpstream && found != m_agents.end() && isNewer(record, found->second.record)) {
            // The entry stays, so that copies of the departure in other entries of the directory are not added again.
            found->second.record = record;
        }
    }
}

void DepartedAgents::addDeparture(const protocol::MemberRecord &record, TimePoint now)
{
    const auto found = m_agents.find(record.id);
    const bool isKnown = found != m_agents.end();
    // The time is not renewed: a record that only other entries repeat would otherwise be listed for ever.
    if (isKnown ? !isNewer(record, found->second.record) : m_agents.size() == m_settings.capacity) {
        return;
    }
    m_agents.insert_or_assign(record.id, Entry {record, now});
}

std::vector<protocol::MemberRecord> DepartedAgents::records(TimePoint now) const
{
    std::vector<protocol::MemberRecord> records;
    for (const auto &[id, entry] : m_agents) {
        if (protocol::hasUpstreamLeft(entry.record) && now - entry.addedAt < m_settings.validity) {
            records.push_back(entry.record);
        }
    }
    return records;
}

const protocol::MemberRecord *
earlierRun(const std::vector<protocol::MemberRecord> &records, std::uint64_t id, std::uint64_t incarnation)
{
    const protocol::MemberRecord *latest = nullptr;
    for (const protocol::MemberRecord &record : records) {
        if (record.id != id || record.incarnation >= incarnation) {
            continue;
        }
        if (latest == nullptr || isNewer(record, *latest)) {
            latest = &record;
        }
    }
    return latest;
}

bool isListed(const std::vector<protocol::MemberRecord> &records, std::uint64_t id, std::uint64_t incarnation)
{
    return std::ranges::any_of(records, [&](const protocol::MemberRecord &record) {
        return record.id == id && record.incarnation == incarnation && !protocol::hasUpstreamLeft(record);
    });
}

} // namespace samphireswitch::control
