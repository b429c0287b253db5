#include "control/gossipengine.h"

#include "base/hash.h"
#include "membership/registrarchoice.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::control {

using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberRole;

namespace {

// Maximum number of balancer records in an acknowledgement. It limits them to a few hundred bytes.
constexpr std::size_t s_balancersInAcknowledgement = 8;
// Number of heartbeat rounds after which an announcement is also sent to a seed or to a balancer that is not considered
// alive. It lets the two sides of a network partition find each other again.
constexpr std::uint64_t s_roundsBetweenPartitionProbes = 8;
// Number of heartbeat rounds after which a registrar without news has to answer. This halves the control traffic.
constexpr std::uint64_t s_roundsBetweenAcknowledgements = 3;
// Keeps a member update within one Ethernet frame.
constexpr std::size_t s_recordsInUpdate = 8;
// For this long after its start, a balancer compares its members with those of its peers more often, because it serves
// callers of lost flows only once the members agree.
constexpr std::chrono::milliseconds s_startupPeriod {2000};
constexpr std::chrono::milliseconds s_startupDigestInterval {100};
constexpr std::chrono::seconds s_maximumRequestInterval {10};
// Limits the memory used for peers that no longer exist.
constexpr std::size_t s_maximumPeers = 256;
// Time for which acknowledgements report agents that died or left to their peers. It exceeds the time after which
// registrars consider an unreachable agent dead, so that an agent that reconnects earlier still receives the report.
constexpr std::chrono::seconds s_departureReportPeriod {60};

std::uint64_t hashView(const protocol::AnnounceAck &acknowledgement)
{
    std::uint64_t hash = 1;
    for (const auto *records : {&acknowledgement.balancers, &acknowledgement.members}) {
        for (const MemberRecord &record : *records) {
            hash = mixHash(hash, record.id);
            hash = mixHash(hash, record.incarnation);
            hash = mixHash(hash, record.version);
            hash = mixHash(hash, static_cast<std::uint64_t>(record.liveness));
        }
    }
    return hash;
}

/** Visitor that removes from a message what holds only at the moment it was sent. */
struct RemoveTimes
{
    void operator()(protocol::Digest &message) const
    {
        message.membershipHash = 0;
        message.content.confirmedAge.reset();
    }

    void operator()(protocol::AnnounceAck &message) const
    {
        message.content.confirmedAge.reset();
    }

    void operator()(protocol::ConfirmationNotice &message) const
    {
        message.content.confirmedAge.reset();
    }

    void operator()(const auto &) const
    {
    }
};

protocol::Message withoutTimes(protocol::Message message)
{
    std::visit(RemoveTimes {}, message);
    return message;
}

/** The records without a claim that their members run: a directory entry outlives the process that wrote it. */
std::vector<MemberRecord> asUnconfirmed(std::vector<MemberRecord> records)
{
    for (MemberRecord &record : records) {
        record.liveness = isGone(record) ? record.liveness : Liveness::Unconfirmed;
    }
    return records;
}

} // namespace

GossipEngine::GossipEngine(const GossipSettings &settings,
                           const MemberRecord &self,
                           std::vector<Endpoint> seeds,
                           std::mt19937_64 randomEngine)
    : m_settings(settings)
    , m_self(self)
    , m_seeds(std::move(seeds))
    , m_random(randomEngine)
    , m_members(settings.membership, self.id)
{
    std::erase(m_seeds, self.control);
}

GossipActions GossipEngine::handle(const GossipEvent &event, TimePoint now)
{
    return std::visit([this, now](const auto &kind) { return on(kind, now); }, event);
}

const configuration::ConfigurationTable &GossipEngine::configuration() const
{
    return m_replica.table();
}

const std::optional<TimePoint> &GossipEngine::configurationConfirmedAt() const
{
    return m_replica.confirmedAt();
}

std::uint64_t GossipEngine::configurationConflicts() const
{
    return m_configurationConflicts;
}

const membership::MembershipTable &GossipEngine::members() const
{
    return m_members;
}

const MemberRecord &GossipEngine::self() const
{
    return m_self;
}

GossipActions GossipEngine::on(const DatagramReceived &event, TimePoint now)
{
    if (event.mayHaveWaited) {
        return on(DatagramReceived {event.sender, withoutTimes(event.message)}, now);
    }
    const bool hasRegainedContact = isCutOff(now) && m_members.connectivityRestored(now);
    m_lastReceived = now;
    const MemberRecord *probed = m_probe.target() ? m_members.find(*m_probe.target()) : nullptr;
    if (probed != nullptr && probed->control == event.sender) {
        m_probe.answered();
    }
    GossipActions actions = std::visit(
        [this, &event, now](const auto &message) {
            if constexpr (requires { onMessage(event.sender, message, now); }) {
                return onMessage(event.sender, message, now);
            } else {
                return GossipActions {};
            }
        },
        event.message);
    if (hasRegainedContact) {
        actions.emplace_back(MembershipChanged {});
    }
    return actions;
}

GossipActions GossipEngine::on(const ConfigurationReceived &event, TimePoint now)
{
    using Outcome = configuration::ConfigurationReplica::Outcome;
    GossipActions actions;
    // A mismatch needs no action: the next digest or acknowledgement leads to another request.
    const Outcome outcome = m_replica.receive(event);
    if (outcome == Outcome::Unchanged || outcome == Outcome::Mismatched) {
        passOnConfirmation(now, actions);
        return actions;
    }
    actions.emplace_back(ConfigurationChanged {outcome == Outcome::Repaired});
    if (!isBalancer()) {
        return actions;
    }
    m_passedOnConfirmation = m_replica.confirmedAt();
    for (const Endpoint &peer : randomBalancers(m_settings.fanout)) {
        sendDigest(peer, now, actions);
    }
    return actions;
}

GossipActions GossipEngine::on(const ConfigurationConfirmed &event, TimePoint now)
{
    GossipActions actions;
    m_replica.confirm(event);
    passOnConfirmation(now, actions);
    return actions;
}

GossipActions GossipEngine::on(const MembersReceived &event, TimePoint now)
{
    GossipActions actions;
    if (event.source == MembersSource::Peer) {
        const bool isFirstAnswer = !std::exchange(m_hasPeerAnswered, true);
        mergeRecords(event.records, now, actions);
        // Afterwards this process sees itself which agents die. Records of earlier failures would never be discarded,
        // if processes that discarded them took them from each other again.
        if ((isFirstAnswer || isStarting(now)) && !m_members.addDeadAgents(event.records, now).empty()) {
            actions.emplace_back(MembershipChanged {});
        }
        return actions;
    }
    const bool knewBalancers = !m_members.unconfirmedBalancers().empty() || !m_members.liveBalancers().empty();
    mergeRecords(asUnconfirmed(event.records), now, actions);
    if (!knewBalancers && !m_members.unconfirmedBalancers().empty()) {
        m_nextAnnouncement = now;
        requestMembers(actions);
    }
    return actions;
}

GossipActions GossipEngine::on(const SelfChanged &event, TimePoint now)
{
    GossipActions actions;
    const ServiceId service = event.service.value_or(m_self.service);
    if (m_self.state == event.state && m_self.service == service && m_self.upstreamLeftAt == event.upstreamLeftAt) {
        return actions;
    }
    m_self.state = event.state;
    m_self.service = service;
    m_self.upstreamLeftAt = event.upstreamLeftAt;
    ++m_self.version;
    for (const Endpoint &registrar : registrars(now)) {
        sendAnnouncement(registrar, true, actions);
    }
    if (isBalancer()) {
        sendRecords({m_self}, randomBalancers(m_settings.fanout), actions);
    }
    return actions;
}

GossipActions GossipEngine::on(const SeedsChanged &event, TimePoint)
{
    m_seeds = event.seeds;
    std::erase(m_seeds, m_self.control);
    return {};
}

GossipActions GossipEngine::on(const TimerExpired &, TimePoint now)
{
    GossipActions actions;
    if (now >= m_nextAnnouncement) {
        m_nextAnnouncement = now + m_settings.announceInterval;
        sendHeartbeats(now, actions);
    }
    if (!isBalancer()) {
        return actions;
    }
    m_startedAt = m_startedAt.value_or(now);
    requestConfirmation(now, actions);
    if (now >= m_nextDigest) {
        m_nextDigest = now + digestInterval(now);
        for (const Endpoint &peer : randomBalancers(1)) {
            sendDigest(peer, now, actions);
        }
    }
    using Silence = membership::MembershipTable::SilenceCause;
    if (m_self.state != protocol::MemberState::Active) {
        // Members stop sending heartbeats to a balancer that leaves, so their silence does not mean that they failed.
        return actions;
    }
    const Silence silence = isCutOff(now) ? Silence::LocalIsolation : Silence::RemoteFailure;
    const auto expired = m_members.expire(now, silence);
    if (!expired.empty()) {
        if (silence == Silence::RemoteFailure) {
            sendRecords(expired, randomBalancers(m_settings.fanout), actions);
        }
        actions.emplace_back(MembershipChanged {});
    }
    return actions;
}

GossipActions GossipEngine::onMessage(const Endpoint &sender, const protocol::Announce &message, TimePoint now)
{
    GossipActions actions;
    if (!isBalancer() || message.member.id == m_self.id) {
        return actions;
    }
    if (!message.toRegistrar) {
        mergeRecords({message.member}, now, actions);
    } else if (m_members.announced(message.member, now)) {
        // The record goes to all live balancers, because one that does not know a new agent resets its flows. A random
        // selection would miss some.
        sendRecords({message.member}, randomBalancers(m_members.liveBalancers().size()), actions);
        actions.emplace_back(MembershipChanged {});
    }
    actions.emplace_back(
        acknowledgement(sender, message.member.id, message.member.incarnation, message.viewHash, false, now));
    if (message.member.role == MemberRole::Balancer && message.generation > m_replica.table().generation()) {
        actions.emplace_back(configurationRequest(sender));
    }
    return actions;
}

GossipActions GossipEngine::onMessage(const Endpoint &sender, const protocol::Heartbeat &message, TimePoint now)
{
    GossipActions actions;
    if (!isBalancer() || message.id == m_self.id) {
        return actions;
    }
    const bool known = m_members.heartbeat(message.id, message.incarnation, message.version, now);
    SendDatagram answer = acknowledgement(sender, message.id, message.incarnation, message.viewHash, !known, now);
    const auto &content = std::get<protocol::AnnounceAck>(answer.message);
    const bool hasNews =
        !known || !content.balancers.empty() || !content.members.empty() || content.generation > message.generation;
    if (hasNews || message.acknowledge) {
        actions.emplace_back(std::move(answer));
    }
    const MemberRecord *record = m_members.find(message.id);
    if (record != nullptr && record->role == MemberRole::Balancer
        && message.generation > m_replica.table().generation()) {
        actions.emplace_back(configurationRequest(sender));
    }
    return actions;
}

GossipActions GossipEngine::onMessage(const Endpoint &sender, const protocol::AnnounceAck &message, TimePoint now)
{
    GossipActions actions;
    Peer &peer = m_peers[sender];
    peer.awaitingAnswer = false;
    peer.excludedUntil = {};
    if (message.announceAgain) {
        peer.announcedVersion = 0;
    }
    const MemberRecord before = m_self;
    refute(message.members);
    mergeRecords(message.balancers, now, actions);
    mergeRecords(message.members, now, actions);
    if (!message.balancers.empty()) {
        m_viewHash = message.viewHash;
    }
    if (message.announceAgain || m_self != before) {
        const bool toRegistrar =
            std::find(m_lastRegistrars.begin(), m_lastRegistrars.end(), sender) != m_lastRegistrars.end();
        sendAnnouncement(sender, toRegistrar, actions);
    }
    followConfiguration(sender, message.generation, message.content, now, actions);
    return actions;
}

GossipActions GossipEngine::onMessage(const Endpoint &, const protocol::MemberUpdate &message, TimePoint now)
{
    GossipActions actions;
    refute(message.records);
    mergeRecords(message.records, now, actions);
    return actions;
}

GossipActions GossipEngine::onMessage(const Endpoint &, const protocol::Digest &message, TimePoint now)
{
    GossipActions actions;
    if (!isBalancer() || message.sender == m_self.control) {
        return actions;
    }
    const Standing standing = followConfiguration(message.sender, message.generation, message.content, now, actions);
    if (standing == Standing::Older) {
        sendDigest(message.sender, now, actions);
    }
    // The hash covers the states of the members too. Comparing only the set of agents is not enough: while changes of
    // state are still being disseminated, so may be the record of an agent that has just started.
    if (message.membershipHash == m_members.hash(m_self)) {
        m_agreedAt = now;
    } else {
        m_agreedAt.reset();
        actions.emplace_back(PullMembers {message.sender, m_members.bucketHashes(m_self)});
    }
    return actions;
}

GossipActions
GossipEngine::onMessage(const Endpoint &sender, const protocol::ConfirmationNotice &message, TimePoint now)
{
    GossipActions actions;
    if (!isBalancer()) {
        return actions;
    }
    const Standing standing = followConfiguration(sender, message.generation, message.content, now, actions);
    const bool isOutdated = standing == Standing::Equal && hasLaterConfirmation(message.content, now);
    if (standing == Standing::Older || isOutdated) {
        actions.emplace_back(SendDatagram {sender, confirmationNotice(now)});
    }
    return actions;
}

const std::optional<TimePoint> &GossipEngine::agreedAt() const
{
    return m_agreedAt;
}

bool GossipEngine::hasPeerAnswered() const
{
    return m_hasPeerAnswered;
}

bool GossipEngine::isCutOff(TimePoint now) const
{
    return now - m_lastReceived >= m_settings.membership.suspectAfter / 2;
}

bool GossipEngine::isBalancer() const
{
    return m_self.role == MemberRole::Balancer;
}

bool GossipEngine::hasWholeConfiguration() const
{
    return isBalancer() || m_settings.wholeConfiguration;
}

protocol::ContentState GossipEngine::contentState(TimePoint now) const
{
    if (!hasWholeConfiguration()) {
        return {};
    }
    const configuration::ReplicaSummary summary = m_replica.summary(now);
    return {summary.contentHash, summary.confirmedAge};
}

PullConfiguration GossipEngine::configurationRequest(const Endpoint &from) const
{
    const ServiceId service = hasWholeConfiguration() ? ServiceId {} : m_self.service;
    return {from, m_replica.table().generation(), service, m_replica.requestHashes()};
}

GossipEngine::Standing GossipEngine::followConfiguration(const Endpoint &sender,
                                                         Generation generation,
                                                         const protocol::ContentState &content,
                                                         TimePoint now,
                                                         GossipActions &actions)
{
    // A process that follows one service cannot compare its content with that of all services.
    const std::uint64_t contentHash = hasWholeConfiguration() ? content.contentHash : 0;
    const configuration::ReplicaSummary peer {generation, contentHash, content.confirmedAge};
    m_replica.confirm(peer, now);
    const Standing standing = m_replica.compare(peer, now);
    const bool isConflict = generation == m_replica.table().generation() && standing != Standing::Equal;
    m_configurationConflicts += isConflict ? 1 : 0;
    if (standing == Standing::Newer) {
        actions.emplace_back(configurationRequest(sender));
    }
    passOnConfirmation(now, actions);
    return standing;
}

void GossipEngine::passOnConfirmation(TimePoint now, GossipActions &actions)
{
    const std::optional<TimePoint> &confirmedAt = m_replica.confirmedAt();
    if (!isBalancer() || !confirmedAt) {
        return;
    }
    if (m_passedOnConfirmation && *confirmedAt - *m_passedOnConfirmation < m_settings.confirmationInterval) {
        return;
    }
    m_passedOnConfirmation = confirmedAt;
    sendConfirmation(now, actions);
}

void GossipEngine::requestConfirmation(TimePoint now, GossipActions &actions)
{
    const auto age = now - m_replica.confirmedAt().value_or(*m_startedAt);
    if (age < m_settings.confirmationRequestAge) {
        m_nextConfirmationRequest = {};
        return;
    }
    if (now < m_nextConfirmationRequest) {
        return;
    }
    // The interval grows with the age, so that an outage of the store adds little traffic.
    m_nextConfirmationRequest = now + std::min<Clock::duration>(age, s_maximumRequestInterval);
    sendConfirmation(now, actions);
}

void GossipEngine::sendConfirmation(TimePoint now, GossipActions &actions)
{
    for (const Endpoint &peer : randomBalancers(m_settings.confirmationFanout)) {
        actions.emplace_back(SendDatagram {peer, confirmationNotice(now)});
    }
}

bool GossipEngine::hasLaterConfirmation(const protocol::ContentState &peer, TimePoint now) const
{
    const auto ownAge = m_replica.summary(now).confirmedAge;
    return ownAge && (!peer.confirmedAge || *peer.confirmedAge - *ownAge >= m_settings.confirmationInterval);
}

protocol::ConfirmationNotice GossipEngine::confirmationNotice(TimePoint now) const
{
    return {m_replica.table().generation(), contentState(now)};
}

void GossipEngine::mergeRecords(const std::vector<MemberRecord> &records, TimePoint now, GossipActions &actions)
{
    const bool knewBalancers = !m_members.liveBalancers().empty();
    const auto changed = m_members.merge(records, now);
    if (changed.empty()) {
        return;
    }
    if (!knewBalancers && !m_members.liveBalancers().empty()) {
        // A process that has just started pulls the missing members from the first balancers it learns of.
        m_nextAnnouncement = now;
        requestMembers(actions);
    }
    actions.emplace_back(MembershipChanged {});
    if (isBalancer()) {
        sendRecords(changed, randomBalancers(m_settings.fanout), actions);
    }
}

void GossipEngine::requestMembers(GossipActions &actions)
{
    if (!isBalancer()) {
        return;
    }
    std::vector<Endpoint> peers = randomBalancers(m_settings.fanout);
    if (peers.empty()) {
        peers = randomOf(m_members.unconfirmedBalancers(), m_settings.fanout);
    }
    for (const Endpoint &peer : peers) {
        actions.emplace_back(PullMembers {peer, m_members.bucketHashes(m_self)});
    }
}

void GossipEngine::probeBalancer(TimePoint now, GossipActions &actions)
{
    const bool isJudge = isBalancer() && m_self.state == protocol::MemberState::Active && !isCutOff(now);
    if (!isJudge) {
        m_probe.answered();
        return;
    }
    const auto target = m_probe.startRound(m_members.liveBalancers(), m_random);
    if (target) {
        sendAnnouncement(m_members.find(*target)->control, false, actions);
    }
    if (!m_probe.silentBalancer()) {
        return;
    }
    const auto changed = m_members.reportSilent(*m_probe.silentBalancer(), now);
    if (!changed.empty()) {
        sendRecords(changed, randomBalancers(m_settings.fanout), actions);
        actions.emplace_back(MembershipChanged {});
    }
}

void GossipEngine::refute(const std::vector<MemberRecord> &records)
{
    for (const MemberRecord &record : records) {
        if (record.id != m_self.id || record.incarnation < m_self.incarnation) {
            continue;
        }
        if (record.incarnation > m_self.incarnation) {
            // An earlier run of this process had a higher incarnation, since the clock has been set back in the
            // meantime.
            m_self.incarnation = record.incarnation + 1;
            continue;
        }
        if (record.liveness <= Liveness::Alive || record.version < m_self.version) {
            continue;
        }
        m_self.version = record.version + 1;
    }
}

void GossipEngine::sendRecords(const std::vector<MemberRecord> &records,
                               const std::vector<Endpoint> &recipients,
                               GossipActions &actions)
{
    for (const Endpoint &peer : recipients) {
        for (std::size_t first = 0; first < records.size(); first += s_recordsInUpdate) {
            const auto begin = records.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(s_recordsInUpdate, records.size() - first);
            protocol::MemberUpdate update {{begin, begin + static_cast<std::ptrdiff_t>(count)}};
            actions.emplace_back(SendDatagram {peer, std::move(update)});
        }
    }
}

void GossipEngine::sendHeartbeats(TimePoint now, GossipActions &actions)
{
    ++m_heartbeatRounds;
    const std::vector<Endpoint> targets = registrars(now);
    if (!m_lastRegistrars.empty() && targets != m_lastRegistrars) {
        // The former registrar receives the new version from other balancers before it considers this process failed
        // for lack of heartbeats.
        ++m_self.version;
    }
    m_lastRegistrars = targets;
    if (m_heartbeatRounds % s_roundsBetweenPartitionProbes == 0) {
        const Endpoint target = partitionProbeTarget();
        if (target != Endpoint {} && std::find(targets.begin(), targets.end(), target) == targets.end()) {
            sendAnnouncement(target, false, actions);
        }
    }
    probeBalancer(now, actions);
    for (const Endpoint &target : targets) {
        Peer &peer = m_peers[target];
        const bool acknowledge = peer.awaitingAnswer || m_heartbeatRounds % s_roundsBetweenAcknowledgements == 0;
        if (acknowledge && !peer.awaitingAnswer) {
            peer.awaitingAnswer = true;
            peer.firstUnanswered = now;
        }
        if (peer.announcedVersion != m_self.version) {
            sendAnnouncement(target, true, actions);
            continue;
        }
        protocol::Heartbeat heartbeat {m_self.id,
                                       m_self.incarnation,
                                       m_self.version,
                                       m_replica.table().generation(),
                                       m_viewHash,
                                       true,
                                       acknowledge};
        actions.emplace_back(SendDatagram {target, heartbeat});
    }
}

void GossipEngine::sendAnnouncement(const Endpoint &to, bool toRegistrar, GossipActions &actions)
{
    if (toRegistrar) {
        m_peers[to].announcedVersion = m_self.version;
    }
    actions.emplace_back(
        SendDatagram {to, protocol::Announce {m_self, m_replica.table().generation(), m_viewHash, toRegistrar}});
}

void GossipEngine::sendDigest(const Endpoint &to, TimePoint now, GossipActions &actions) const
{
    const protocol::Digest digest {
        m_self.control, m_replica.table().generation(), m_members.hash(m_self), contentState(now)};
    actions.emplace_back(SendDatagram {to, digest});
}

bool GossipEngine::isStarting(TimePoint now) const
{
    return m_startedAt && now - *m_startedAt < s_startupPeriod;
}

std::chrono::milliseconds GossipEngine::digestInterval(TimePoint now) const
{
    return isStarting(now) ? std::min(s_startupDigestInterval, m_settings.digestInterval) : m_settings.digestInterval;
}

SendDatagram GossipEngine::acknowledgement(const Endpoint &to,
                                           std::uint64_t member,
                                           std::uint64_t incarnation,
                                           std::uint64_t viewHash,
                                           bool announceAgain,
                                           TimePoint now) const
{
    protocol::AnnounceAck acknowledgement;
    acknowledgement.generation = m_replica.table().generation();
    acknowledgement.announceAgain = announceAgain;
    acknowledgement.content = contentState(now);
    std::vector<std::uint64_t> balancers(m_members.liveBalancers().begin(), m_members.liveBalancers().end());
    balancers.push_back(m_self.id);
    for (const std::uint64_t id : membership::chooseRegistrars(member, balancers, s_balancersInAcknowledgement)) {
        acknowledgement.balancers.push_back(id == m_self.id ? m_self : *m_members.find(id));
    }
    const MemberRecord *record = m_members.find(member);
    if (record != nullptr && record->role == MemberRole::Agent) {
        acknowledgement.members = m_members.agentsOf(record->service);
        const auto departed = m_members.agentsGoneSince(record->service, now - s_departureReportPeriod);
        acknowledgement.members.insert(acknowledgement.members.end(), departed.begin(), departed.end());
    }
    acknowledgement.viewHash = hashView(acknowledgement);
    if (acknowledgement.viewHash == viewHash) {
        acknowledgement.balancers.clear();
        acknowledgement.members.clear();
    }
    // A member can refute a false report of its failure only if it receives the report.
    const auto disputed = m_members.disputedLiveness(member);
    if (record != nullptr && (record->liveness != Liveness::Alive || disputed || record->incarnation > incarnation)) {
        std::erase_if(acknowledgement.members, [member](const MemberRecord &other) { return other.id == member; });
        acknowledgement.members.push_back(*record);
        acknowledgement.members.back().liveness = disputed.value_or(record->liveness);
    }
    return {to, std::move(acknowledgement)};
}

std::vector<Endpoint> GossipEngine::registrars(TimePoint now)
{
    if (m_peers.size() > s_maximumPeers) {
        m_peers.clear();
    }
    for (auto &[endpoint, peer] : m_peers) {
        if (!peer.awaitingAnswer || now - peer.firstUnanswered < m_settings.registrarTimeout) {
            continue;
        }
        peer.awaitingAnswer = false;
        peer.excludedUntil = now + m_settings.registrarBackoff;
    }
    std::vector<Endpoint> chosen =
        chooseAnswering({m_members.liveBalancers().begin(), m_members.liveBalancers().end()}, now);
    if (!chosen.empty()) {
        return chosen;
    }
    const auto unconfirmed = m_members.unconfirmedBalancers();
    chosen = chooseAnswering({unconfirmed.begin(), unconfirmed.end()}, now);
    for (const Endpoint &seed : m_seeds) {
        if (std::ranges::find(chosen, seed) == chosen.end()) {
            chosen.push_back(seed);
        }
    }
    return chosen;
}

std::vector<Endpoint> GossipEngine::chooseAnswering(std::vector<std::uint64_t> balancers, TimePoint now) const
{
    std::erase_if(balancers, [&](std::uint64_t balancer) {
        const auto found = m_peers.find(m_members.find(balancer)->control);
        return found != m_peers.end() && now < found->second.excludedUntil;
    });
    std::vector<Endpoint> chosen;
    for (const std::uint64_t id :
         membership::chooseRegistrars(m_self.id, balancers, m_settings.membership.registrarCount)) {
        chosen.push_back(m_members.find(id)->control);
    }
    return chosen;
}

std::vector<Endpoint> GossipEngine::randomBalancers(std::size_t count)
{
    return randomOf(m_members.liveBalancers(), count);
}

std::vector<Endpoint> GossipEngine::randomOf(std::span<const std::uint64_t> balancers, std::size_t count)
{
    std::vector<std::uint64_t> chosen;
    std::sample(balancers.begin(), balancers.end(), std::back_inserter(chosen), count, m_random);
    std::vector<Endpoint> endpoints;
    endpoints.reserve(chosen.size());
    for (const std::uint64_t balancer : chosen) {
        endpoints.push_back(m_members.find(balancer)->control);
    }
    return endpoints;
}

Endpoint GossipEngine::partitionProbeTarget()
{
    std::vector<Endpoint> candidates = m_seeds;
    for (const MemberRecord &record : m_members.records()) {
        if (record.role != MemberRole::Balancer || record.liveness == Liveness::Alive) {
            continue;
        }
        candidates.push_back(record.control);
    }
    if (candidates.empty()) {
        return {};
    }
    return candidates[m_random() % candidates.size()];
}

} // namespace samphireswitch::control
