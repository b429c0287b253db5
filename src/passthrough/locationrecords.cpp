#include "passthrough/locationrecords.h"

#include <utility>

namespace samphireswitch::passthrough {

LocationRecords::LocationRecords(const LocationRecordSettings &settings)
    : m_settings(settings)
{
}

void LocationRecords::store(const protocol::LocationRecords &message, TimePoint now)
{
    for (const flow::FlowKey &key : message.flows) {
        const bool hasRoom = m_records.size() < m_settings.capacity || m_records.contains(key);
        if (hasRoom) {
            m_records[key] = {message.owner, now};
        }
    }
}

std::optional<protocol::Candidate> LocationRecords::find(const flow::FlowKey &key, TimePoint now) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || isExpired(found->second, now)) {
        return std::nullopt;
    }
    return found->second.owner;
}

void LocationRecords::remove(const flow::FlowKey &key, AgentId owner)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.owner.agent == owner) {
        m_records.erase(found);
    }
}

void LocationRecords::removeAll(AgentId owner)
{
    std::erase_if(m_records, [owner](const auto &entry) { return entry.second.owner.agent == owner; });
}

std::vector<flow::FlowKey> LocationRecords::flowsOf(AgentId owner) const
{
    std::vector<flow::FlowKey> flows;
    for (const auto &[key, record] : m_records) {
        if (record.owner.agent == owner) {
            flows.push_back(key);
        }
    }
    return flows;
}

std::vector<protocol::LocationRecords> LocationRecords::byOwner() const
{
    std::unordered_map<AgentId, protocol::LocationRecords> owners;
    for (const auto &[key, record] : m_records) {
        protocol::LocationRecords &ofOwner = owners[record.owner.agent];
        ofOwner.owner = record.owner;
        ofOwner.flows.push_back(key);
    }
    std::vector<protocol::LocationRecords> records;
    records.reserve(owners.size());
    for (auto &[owner, ofOwner] : owners) {
        records.push_back(std::move(ofOwner));
    }
    return records;
}

void LocationRecords::expire(TimePoint now)
{
    std::erase_if(m_records, [this, now](const auto &entry) { return isExpired(entry.second, now); });
}

std::size_t LocationRecords::size() const
{
    return m_records.size();
}

bool LocationRecords::isExpired(const Record &record, TimePoint now) const
{
    return now - record.storedAt >= m_settings.lifetime;
}

} // namespace samphireswitch::passthrough
