#include "passthrough/locationrecords.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// Records of different owners that are kept for one key.
constexpr std::size_t s_ownersPerKey = 2;
// Distance in bytes of a packet's acknowledgement number from the recorded one, up to which both are of the same flow.
// The record of a flow with a longer answer does not count for its later packets, whose search goes on without it. A
// packet that was delayed lies before the recorded number.
constexpr std::uint32_t s_longestFlow = 1U << 24U;
constexpr std::uint32_t s_longestDelay = 1U << 17U;

} // namespace

LocationRecords::LocationRecords(const LocationRecordSettings &settings)
    : m_settings(settings)
{
}

void LocationRecords::store(const protocol::LocationRecords &message, TimePoint now)
{
    for (const protocol::LocatedFlow &located : message.flows) {
        if (m_records.size() < m_settings.capacity || m_records.contains(located.key)) {
            store(located.key, {message.owner, located.sequenceNumber, now});
        }
    }
}

void LocationRecords::store(const flow::FlowKey &key, const Record &record)
{
    const auto [begin, end] = m_records.equal_range(key);
    auto oldest = end;
    std::size_t count = 0;
    for (auto position = begin; position != end; ++position) {
        ++count;
        if (position->second.owner.agent == record.owner.agent) {
            position->second = record;
            return;
        }
        if (oldest == end || position->second.storedAt < oldest->second.storedAt) {
            oldest = position;
        }
    }
    if (count == s_ownersPerKey) {
        oldest->second = record;
        return;
    }
    m_records.emplace(key, record);
}

std::optional<protocol::Candidate> LocationRecords::find(const flow::Segment &packet, TimePoint now) const
{
    const auto [begin, end] = m_records.equal_range(packet.key);
    const Record *newest = nullptr;
    for (auto position = begin; position != end; ++position) {
        const Record &record = position->second;
        if (isExpired(record, now) || !canBelong(packet, record)) {
            continue;
        }
        if (newest == nullptr || newest->storedAt < record.storedAt) {
            newest = &record;
        }
    }
    return newest == nullptr ? std::nullopt : std::optional(newest->owner);
}

bool LocationRecords::names(const flow::FlowKey &key, AgentId owner, TimePoint now) const
{
    const auto [begin, end] = m_records.equal_range(key);
    return std::any_of(begin, end, [&](const auto &entry) {
        return entry.second.owner.agent == owner && !isExpired(entry.second, now);
    });
}

void LocationRecords::renew(AgentId owner, TimePoint now)
{
    for (auto &[key, record] : m_records) {
        record.storedAt = record.owner.agent == owner ? now : record.storedAt;
    }
}

void LocationRecords::remove(const flow::FlowKey &key, AgentId owner)
{
    const auto [begin, end] = m_records.equal_range(key);
    const auto found =
        std::find_if(begin, end, [owner](const auto &entry) { return entry.second.owner.agent == owner; });
    if (found != end) {
        m_records.erase(found);
    }
}

void LocationRecords::removeAll(AgentId owner)
{
    std::erase_if(m_records, [owner](const auto &entry) { return entry.second.owner.agent == owner; });
}

std::vector<protocol::LocatedFlow> LocationRecords::flowsOf(AgentId owner) const
{
    std::vector<protocol::LocatedFlow> flows;
    for (const auto &[key, record] : m_records) {
        if (record.owner.agent == owner) {
            flows.push_back({key, record.sequenceNumber});
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
        ofOwner.flows.push_back({key, record.sequenceNumber});
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

bool LocationRecords::canBelong(const flow::Segment &packet, const Record &record)
{
    if (!packet.ack || record.sequenceNumber == 0) {
        return true;
    }
    const std::uint32_t lowest = record.sequenceNumber - s_longestDelay;
    return packet.acknowledgementNumber - lowest < s_longestDelay + s_longestFlow;
}

} // namespace samphireswitch::passthrough
