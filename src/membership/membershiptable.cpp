#include "membership/membershiptable.h"

#include "base/hash.h"
#include "membership/registrarchoice.h"

#include <algorithm>
#include <tuple>

namespace samphireswitch::membership {

using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::MemberState;

namespace {

bool isNewer(const MemberRecord &candidate, const MemberRecord &current)
{
    return std::tie(candidate.incarnation, candidate.version, candidate.liveness)
        > std::tie(current.incarnation, current.version, current.liveness);
}

bool isGone(const MemberRecord &record)
{
    return record.liveness == Liveness::Dead || record.state == MemberState::Left;
}

std::uint64_t hashRecord(const MemberRecord &record)
{
    std::uint64_t hash = mixHash(record.id, record.incarnation);
    hash = mixHash(hash, record.version);
    return mixHash(hash, static_cast<std::uint64_t>(record.liveness));
}

std::size_t bucketOf(std::uint64_t id)
{
    return id % protocol::s_digestBucketCount;
}

void sortById(std::vector<MemberRecord> &records)
{
    std::sort(records.begin(), records.end(), [](const MemberRecord &left, const MemberRecord &right) {
        return left.id < right.id;
    });
}

} // namespace

MembershipTable::MembershipTable(const MembershipSettings &settings, std::uint64_t self)
    : m_settings(settings)
    , m_self(self)
{
}

std::vector<MemberRecord> MembershipTable::merge(const std::vector<MemberRecord> &records, TimePoint now)
{
    std::vector<MemberRecord> changed;
    for (const MemberRecord &record : records) {
        if (record.id == m_self) {
            continue;
        }
        const auto found = m_entries.find(record.id);
        if (found == m_entries.end() && isGone(record)) {
            continue;
        }
        if (found != m_entries.end() && !isNewer(record, found->second.record)) {
            continue;
        }
        const bool onlyVerdict = found != m_entries.end() && record.incarnation == found->second.record.incarnation
            && record.version == found->second.record.version;
        Entry &entry = m_entries[record.id];
        if (!onlyVerdict) {
            // Another registrar heard from the member after this process did, so silence here proves nothing any more.
            entry.heardDirectly = false;
            entry.lastHeard = now;
        }
        store(entry, record, now);
        changed.push_back(record);
    }
    return changed;
}

bool MembershipTable::announced(const MemberRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end() && record.incarnation < found->second.record.incarnation) {
        return false;
    }
    const bool known = found != m_entries.end();
    Entry &entry = m_entries[record.id];
    entry.heardDirectly = true;
    entry.lastHeard = now;
    if (known && !isNewer(record, entry.record)) {
        return false;
    }
    store(entry, record, now);
    return true;
}

bool MembershipTable::heartbeat(std::uint64_t id, std::uint64_t incarnation, std::uint64_t version, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    Entry &entry = found->second;
    if (entry.record.incarnation != incarnation) {
        return false;
    }
    entry.heardDirectly = true;
    entry.lastHeard = now;
    return entry.record.version == version;
}

std::vector<MemberRecord> MembershipTable::expire(TimePoint now)
{
    const auto balancers = liveBalancers();
    std::vector<MemberRecord> changed;
    for (auto iterator = m_entries.begin(); iterator != m_entries.end();) {
        Entry &entry = iterator->second;
        if (isGone(entry.record)) {
            if (now - entry.endedAt >= m_settings.forgetAfter) {
                iterator = m_entries.erase(iterator);
                continue;
            }
            ++iterator;
            continue;
        }
        const Liveness liveness = verdict(entry, balancers, now);
        if (liveness > entry.record.liveness) {
            MemberRecord record = entry.record;
            record.liveness = liveness;
            store(entry, record, now);
            changed.push_back(record);
        }
        ++iterator;
    }
    return changed;
}

const MemberRecord *MembershipTable::find(std::uint64_t id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> MembershipTable::liveBalancers() const
{
    std::vector<MemberRecord> balancers;
    for (const auto &[id, entry] : m_entries) {
        const MemberRecord &record = entry.record;
        if (record.role != MemberRole::Balancer || record.liveness != Liveness::Alive
            || record.state != MemberState::Active) {
            continue;
        }
        balancers.push_back(record);
    }
    sortById(balancers);
    return balancers;
}

std::vector<MemberRecord> MembershipTable::agentsOf(ServiceId service) const
{
    std::vector<MemberRecord> agents;
    for (const auto &[id, entry] : m_entries) {
        const MemberRecord &record = entry.record;
        if (record.role != MemberRole::Agent || record.service != service || isGone(record)) {
            continue;
        }
        agents.push_back(record);
    }
    sortById(agents);
    return agents;
}

std::vector<MemberRecord> MembershipTable::records() const
{
    std::vector<MemberRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.record);
    }
    sortById(records);
    return records;
}

std::vector<MemberRecord> MembershipTable::recordsDiffering(const BucketHashes &hashes) const
{
    std::vector<MemberRecord> records;
    for (const auto &[id, entry] : m_entries) {
        const std::size_t bucket = bucketOf(id);
        if (hashes[bucket] == m_bucketHashes[bucket]) {
            continue;
        }
        records.push_back(entry.record);
    }
    sortById(records);
    return records;
}

const BucketHashes &MembershipTable::bucketHashes() const
{
    return m_bucketHashes;
}

std::uint64_t MembershipTable::hash() const
{
    std::uint64_t hash = 0;
    for (const std::uint64_t bucket : m_bucketHashes) {
        hash = mixHash(hash, bucket);
    }
    return hash;
}

std::size_t MembershipTable::size() const
{
    return m_entries.size();
}

void MembershipTable::store(Entry &entry, const MemberRecord &record, TimePoint now)
{
    if (entry.record.id != 0) {
        toggleHash(entry.record);
    }
    entry.record = record;
    toggleHash(record);
    if (isGone(record)) {
        entry.endedAt = now;
    }
}

void MembershipTable::toggleHash(const MemberRecord &record)
{
    if (isGone(record)) {
        return;
    }
    m_bucketHashes[bucketOf(record.id)] ^= hashRecord(record);
}

bool MembershipTable::isOrphan(const Entry &entry, const std::vector<MemberRecord> &balancers) const
{
    std::vector<MemberRecord> all = balancers;
    MemberRecord self;
    self.id = m_self;
    all.push_back(self);
    for (const MemberRecord &registrar : chooseRegistrars(entry.record.id, all, m_settings.registrarCount)) {
        if (registrar.id == m_self) {
            return true;
        }
    }
    return false;
}

Liveness MembershipTable::verdict(const Entry &entry, const std::vector<MemberRecord> &balancers, TimePoint now) const
{
    const auto silence = now - entry.lastHeard;
    if (entry.heardDirectly) {
        if (silence >= m_settings.deadAfter) {
            return Liveness::Dead;
        }
        return silence >= m_settings.suspectAfter ? Liveness::Suspect : Liveness::Alive;
    }
    if (silence < m_settings.orphanAfter || !isOrphan(entry, balancers)) {
        return Liveness::Alive;
    }
    return silence >= m_settings.orphanAfter + m_settings.deadAfter ? Liveness::Dead : Liveness::Suspect;
}

} // namespace samphireswitch::membership
