#include "membership/membershiptable.h"

#include "base/hash.h"
#include "membership/registrarchoice.h"

#include <algorithm>

namespace samphireswitch::membership {

using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::MemberState;

namespace {

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

bool isDeadAgent(const MemberRecord &record)
{
    return record.role == MemberRole::Agent && record.liveness == Liveness::Dead;
}

// Members that do not report to this process, for each call of expire(). Each costs an iteration over all balancers. A
// table of 14,000 members is examined once every 30 s.
constexpr std::size_t s_membersExaminedPerCall = 50;

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
        // Earlier versions may send a record without an id.
        if (record.id == m_self || record.id == 0) {
            continue;
        }
        const auto found = m_entries.find(record.id);
        if (found == m_entries.end() && isGone(record)) {
            continue;
        }
        if (found != m_entries.end() && !isNewer(record, found->second.record)) {
            continue;
        }
        if (found != m_entries.end() && isDisputed(found->second, record, now)) {
            found->second.disputedLiveness = record.liveness;
            continue;
        }
        const bool onlyLivenessDiffers = found != m_entries.end()
            && record.incarnation == found->second.record.incarnation && record.version == found->second.record.version;
        Entry &entry = m_entries[record.id];
        if (!onlyLivenessDiffers) {
            // Another registrar has a newer record, so the member may report to that registrar instead of this process,
            // and missing heartbeats no longer indicate a failure.
            m_heardDirectly.erase(record.id);
            entry.lastHeard = now;
        }
        store(entry, record, now);
        changed.push_back(record);
    }
    return changed;
}

std::vector<MemberRecord> MembershipTable::addDeadAgents(const std::vector<MemberRecord> &records, TimePoint now)
{
    std::vector<MemberRecord> added;
    for (const MemberRecord &record : records) {
        if (!isDeadAgent(record) || record.id == m_self || m_entries.contains(record.id)) {
            continue;
        }
        Entry &entry = m_entries[record.id];
        entry.lastHeard = now;
        entry.wasLearnedDead = true;
        store(entry, record, now);
        added.push_back(record);
    }
    return added;
}

bool MembershipTable::announced(const MemberRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end() && record.incarnation < found->second.record.incarnation) {
        return false;
    }
    const bool known = found != m_entries.end();
    Entry &entry = m_entries[record.id];
    m_heardDirectly.insert(record.id);
    entry.lastHeard = now;
    if (known && !isNewer(record, entry.record)) {
        return false;
    }
    store(entry, record, now);
    return true;
}

bool MembershipTable::connectivityRestored(TimePoint now)
{
    bool changed = false;
    for (auto &[id, entry] : m_entries) {
        entry.lastHeard = now;
        if (!entry.livenessBeforeIsolation) {
            continue;
        }
        MemberRecord record = entry.record;
        record.liveness = *entry.livenessBeforeIsolation;
        store(entry, record, now);
        changed = true;
    }
    return changed;
}

std::optional<Liveness> MembershipTable::disputedLiveness(std::uint64_t id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : found->second.disputedLiveness;
}

std::vector<MemberRecord> MembershipTable::deadAgentsSince(TimePoint time) const
{
    std::vector<MemberRecord> agents;
    for (const auto &[id, entry] : m_entries) {
        if (isDeadAgent(entry.record) && entry.endedAt >= time) {
            agents.push_back(entry.record);
        }
    }
    return agents;
}

std::vector<MemberRecord> MembershipTable::suspectAgents() const
{
    std::vector<MemberRecord> agents;
    for (const auto &[id, entry] : m_entries) {
        const MemberRecord &record = entry.record;
        if (record.role == MemberRole::Agent && record.liveness == Liveness::Suspect && !isGone(record)) {
            agents.push_back(record);
        }
    }
    return agents;
}

std::vector<MemberRecord> MembershipTable::stoppingAgents() const
{
    std::vector<MemberRecord> agents;
    for (const auto &[id, entry] : m_entries) {
        const MemberRecord &record = entry.record;
        const bool mayHaveStopped =
            record.state == protocol::MemberState::Stopping || record.liveness == Liveness::Unconfirmed;
        if (record.role == MemberRole::Agent && mayHaveStopped && !isGone(record)) {
            agents.push_back(record);
        }
    }
    return agents;
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
    m_heardDirectly.insert(id);
    entry.lastHeard = now;
    // An unconfirmed record needs an announcement, which confirms it in this process and, through gossip, in others.
    return entry.record.version == version && entry.record.liveness != Liveness::Unconfirmed;
}

std::vector<MemberRecord> MembershipTable::expire(TimePoint now, SilenceCause silence)
{
    std::vector<MemberRecord> changed;
    for (const std::uint64_t id : m_heardDirectly) {
        updateLiveness(m_entries.at(id), now, silence, changed);
    }
    const std::size_t count = std::min(s_membersExaminedPerCall, m_entries.size());
    for (std::size_t examined = 0; examined < count && !m_entries.empty(); ++examined) {
        auto next = m_entries.upper_bound(m_lastExaminedId);
        if (next == m_entries.end()) {
            next = m_entries.begin();
        }
        m_lastExaminedId = next->first;
        Entry &entry = next->second;
        if (!isGone(entry.record)) {
            updateLiveness(entry, now, silence, changed);
            continue;
        }
        if (now - entry.endedAt < (entry.wasLearnedDead ? m_settings.forgetLearnedAfter : m_settings.forgetAfter)) {
            continue;
        }
        m_heardDirectly.erase(m_lastExaminedId);
        unindex(entry.record);
        m_entries.erase(next);
    }
    return changed;
}

const MemberRecord *MembershipTable::find(std::uint64_t id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::span<const std::uint64_t> MembershipTable::liveBalancers() const
{
    return m_liveBalancers;
}

std::span<const std::uint64_t> MembershipTable::unconfirmedBalancers() const
{
    return m_unconfirmedBalancers;
}

std::vector<MemberRecord> MembershipTable::reportSilent(std::uint64_t id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return {};
    }
    MemberRecord record = found->second.record;
    record.liveness = Liveness::Suspect;
    if (!isNewer(record, found->second.record) || isDisputed(found->second, record, now)) {
        return {};
    }
    store(found->second, record, now);
    return {record};
}

std::vector<MemberRecord> MembershipTable::agentsOf(ServiceId service) const
{
    std::vector<MemberRecord> agents;
    const auto found = m_agents.find(service);
    if (found == m_agents.end()) {
        return agents;
    }
    agents.reserve(found->second.size());
    for (const std::uint64_t id : found->second) {
        agents.push_back(m_entries.at(id).record);
    }
    return agents;
}

std::vector<MemberRecord> MembershipTable::agentsGoneSince(ServiceId service, TimePoint time) const
{
    std::vector<MemberRecord> agents;
    const auto found = m_goneAgents.find(service);
    if (found == m_goneAgents.end()) {
        return agents;
    }
    for (const std::uint64_t id : found->second) {
        const Entry &entry = m_entries.at(id);
        if (entry.endedAt >= time) {
            agents.push_back(entry.record);
        }
    }
    return agents;
}

std::vector<MemberRecord> MembershipTable::records() const
{
    std::vector<MemberRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.record);
    }
    return records;
}

std::vector<MemberRecord>
MembershipTable::recordsDiffering(const BucketHashes &hashes, const MemberRecord &self, TimePoint now) const
{
    const BucketHashes own = bucketHashes(self);
    std::vector<MemberRecord> records;
    for (const auto &[id, entry] : m_entries) {
        const bool hasJustDied = isDeadAgent(entry.record) && now - entry.endedAt < m_settings.forgetLearnedAfter;
        if (hashes[bucketOf(id)] != own[bucketOf(id)] || hasJustDied) {
            records.push_back(entry.record);
        }
    }
    if (hashes[bucketOf(self.id)] != own[bucketOf(self.id)]) {
        records.push_back(self);
    }
    return records;
}

BucketHashes MembershipTable::bucketHashes(const MemberRecord &self) const
{
    BucketHashes hashes = m_bucketHashes;
    if (!isGone(self)) {
        hashes[bucketOf(self.id)] ^= hashRecord(self);
    }
    return hashes;
}

std::uint64_t MembershipTable::hash(const MemberRecord &self) const
{
    std::uint64_t hash = 0;
    for (const std::uint64_t bucket : bucketHashes(self)) {
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
        unindex(entry.record);
    }
    entry.record = record;
    entry.wasLearnedDead = entry.wasLearnedDead && isGone(record);
    entry.disputedLiveness.reset();
    entry.livenessBeforeIsolation.reset();
    index(record);
    if (isGone(record)) {
        entry.endedAt = now;
    }
}

void MembershipTable::index(const MemberRecord &record)
{
    if (record.role == MemberRole::Agent) {
        agentIndexFor(record)[record.service].insert(record.id);
    }
    if (isGone(record)) {
        return;
    }
    m_bucketHashes[bucketOf(record.id)] ^= hashRecord(record);
    if (std::vector<std::uint64_t> *balancers = balancerIndexFor(record)) {
        balancers->insert(std::ranges::lower_bound(*balancers, record.id), record.id);
    }
}

void MembershipTable::unindex(const MemberRecord &record)
{
    if (record.role == MemberRole::Agent) {
        auto &index = agentIndexFor(record);
        auto &agents = index[record.service];
        agents.erase(record.id);
        if (agents.empty()) {
            index.erase(record.service);
        }
    }
    if (isGone(record)) {
        return;
    }
    m_bucketHashes[bucketOf(record.id)] ^= hashRecord(record);
    if (std::vector<std::uint64_t> *balancers = balancerIndexFor(record)) {
        balancers->erase(std::ranges::lower_bound(*balancers, record.id));
    }
}

std::vector<std::uint64_t> *MembershipTable::balancerIndexFor(const MemberRecord &record)
{
    if (record.role != MemberRole::Balancer || record.state != MemberState::Active) {
        return nullptr;
    }
    switch (record.liveness) {
    case Liveness::Alive:
        return &m_liveBalancers;
    case Liveness::Unconfirmed:
        return &m_unconfirmedBalancers;
    case Liveness::Suspect:
    case Liveness::Dead:
        break;
    }
    return nullptr;
}

std::map<ServiceId, std::set<std::uint64_t>> &MembershipTable::agentIndexFor(const MemberRecord &record)
{
    return isGone(record) ? m_goneAgents : m_agents;
}

void MembershipTable::updateLiveness(Entry &entry,
                                     TimePoint now,
                                     SilenceCause silence,
                                     std::vector<MemberRecord> &changed)
{
    if (isGone(entry.record)) {
        return;
    }
    updateExpectedSince(entry, now);
    const Liveness liveness = assessLiveness(entry, now);
    if (liveness <= entry.record.liveness) {
        return;
    }
    MemberRecord record = entry.record;
    record.liveness = liveness;
    const Liveness before = entry.livenessBeforeIsolation.value_or(entry.record.liveness);
    store(entry, record, now);
    if (silence == SilenceCause::LocalIsolation) {
        entry.livenessBeforeIsolation = before;
    }
    changed.push_back(record);
}

bool MembershipTable::isDisputed(const Entry &entry, const MemberRecord &record, TimePoint now) const
{
    return record.incarnation == entry.record.incarnation && record.version == entry.record.version
        && record.liveness > entry.record.liveness && record.state == entry.record.state
        && m_heardDirectly.contains(record.id) && now - entry.lastHeard < m_settings.suspectAfter;
}

bool MembershipTable::isChosenRegistrar(const Entry &entry) const
{
    std::vector<std::uint64_t> balancers(m_liveBalancers.begin(), m_liveBalancers.end());
    balancers.push_back(m_self);
    const auto registrars = chooseRegistrars(entry.record.id, balancers, m_settings.registrarCount);
    return std::find(registrars.begin(), registrars.end(), m_self) != registrars.end();
}

void MembershipTable::updateExpectedSince(Entry &entry, TimePoint now) const
{
    if (m_heardDirectly.contains(entry.record.id) || !isChosenRegistrar(entry)) {
        entry.expectedSince.reset();
    } else if (!entry.expectedSince) {
        entry.expectedSince = now;
    }
}

Liveness MembershipTable::assessLiveness(const Entry &entry, TimePoint now) const
{
    const auto silence = now - std::max(entry.lastHeard, entry.expectedSince.value_or(entry.lastHeard));
    if (m_heardDirectly.contains(entry.record.id)) {
        if (silence >= m_settings.deadAfter) {
            return Liveness::Dead;
        }
        return silence >= m_settings.suspectAfter ? Liveness::Suspect : Liveness::Alive;
    }
    if (entry.record.liveness == Liveness::Unconfirmed) {
        return entry.expectedSince && silence >= m_settings.unconfirmedAfter ? Liveness::Dead : Liveness::Unconfirmed;
    }
    if (!entry.expectedSince || silence < m_settings.orphanAfter) {
        return Liveness::Alive;
    }
    return silence >= m_settings.orphanAfter + m_settings.deadAfter ? Liveness::Dead : Liveness::Suspect;
}

} // namespace samphireswitch::membership
