#pragma once

#include "base/time.h"
#include "configuration/configurationtable.h"
#include "control/gossipevent.h"
#include "membership/membershiptable.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace samphireswitch::control {

struct GossipSettings
{
    /** Time between heartbeats to a registrar. */
    std::chrono::milliseconds announceInterval {900};
    /** Time between digests to a random balancer. */
    std::chrono::milliseconds digestInterval {2000};
    /** A registrar that does not answer for this long is replaced. */
    std::chrono::milliseconds registrarTimeout {2000};
    /** How long a registrar that did not answer is left out of the choice. */
    std::chrono::milliseconds registrarBackoff {10000};
    /** Number of random balancers that a change is sent to at once; a registrar sends what it hears to all. */
    std::size_t fanout = 3;
    /** An agent asks for all records and not only for that of its own service. Balancers always do. */
    bool wholeConfiguration = false;
    membership::MembershipSettings membership;
};

/**
 * The decisions of the control thread, for agents and balancers: whom to announce to, which records and which
 * configuration to accept, and whom to tell. Has no input or output of its own.
 */
class GossipEngine
{
public:
    /** @p self describes this process; @p seeds are control addresses of balancers to begin with. */
    GossipEngine(const GossipSettings &settings,
                 const protocol::MemberRecord &self,
                 std::vector<Endpoint> seeds,
                 std::mt19937_64 randomEngine);

    /** Applies @p event and returns what has to be done, in order. */
    GossipActions handle(const GossipEvent &event, TimePoint now);

    const configuration::ConfigurationTable &configuration() const;
    const membership::MembershipTable &members() const;
    const protocol::MemberRecord &self() const;
    /** When a peer last had the same members; nothing if the last one to tell had others. */
    const std::optional<TimePoint> &agreedAt() const;

private:
    struct Peer
    {
        TimePoint firstUnanswered;
        bool awaitingAnswer = false;
        TimePoint leftOutUntil;
        /** Version that was sent to this peer in full, or 0. */
        std::uint64_t announcedVersion = 0;
    };

    GossipActions on(const DatagramReceived &event, TimePoint now);
    GossipActions on(const ConfigurationReceived &event, TimePoint now);
    GossipActions on(const MembersReceived &event, TimePoint now);
    GossipActions on(const SelfChanged &event, TimePoint now);
    GossipActions on(const SeedsChanged &event, TimePoint now);
    GossipActions on(const TimerExpired &event, TimePoint now);

    GossipActions onMessage(const Endpoint &sender, const protocol::Announce &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::Heartbeat &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::AnnounceAck &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::MemberUpdate &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::Digest &message, TimePoint now);

    /** Nothing was heard for so long that this process must be the one that is cut off. */
    bool isCutOff(TimePoint now) const;
    bool isBalancer() const;
    void mergeRecords(const std::vector<protocol::MemberRecord> &records, TimePoint now, GossipActions &actions);
    void askForMembers(GossipActions &actions);
    void refute(const std::vector<protocol::MemberRecord> &records);
    /** Sends @p records to @p recipients. */
    static void spread(const std::vector<protocol::MemberRecord> &records,
                       const std::vector<Endpoint> &recipients,
                       GossipActions &actions);
    void sendHeartbeats(TimePoint now, GossipActions &actions);
    void sendAnnouncement(const Endpoint &to, bool toRegistrar, GossipActions &actions);
    void sendDigest(const Endpoint &to, GossipActions &actions) const;
    std::chrono::milliseconds digestInterval(TimePoint now) const;
    SendDatagram acknowledgement(const Endpoint &to,
                                 std::uint64_t member,
                                 std::uint64_t incarnation,
                                 std::uint64_t viewHash,
                                 bool announceAgain,
                                 TimePoint now) const;
    std::vector<Endpoint> registrars(TimePoint now);
    std::vector<Endpoint> randomBalancers(std::size_t count);
    Endpoint occasionalTarget();

    GossipSettings m_settings;
    protocol::MemberRecord m_self;
    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    configuration::ConfigurationTable m_configuration;
    membership::MembershipTable m_members;
    std::map<Endpoint, Peer> m_peers;
    std::vector<Endpoint> m_lastRegistrars;
    std::optional<TimePoint> m_agreedAt;
    /** When the last datagram of another process arrived. */
    TimePoint m_lastReceived;
    TimePoint m_nextAnnouncement;
    TimePoint m_nextDigest;
    /** When the first timer expired. */
    std::optional<TimePoint> m_startedAt;
    std::uint64_t m_viewHash = 0;
    std::uint64_t m_heartbeatRounds = 0;
};

} // namespace samphireswitch::control
