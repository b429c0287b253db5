#pragma once

#include "base/time.h"
#include "configuration/configurationreplica.h"
#include "control/gossipevent.h"
#include "membership/balancerprobe.h"
#include "membership/membershiptable.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace samphireswitch::control {

/** Timing and extent of announcements, heartbeats and gossip. */
struct GossipSettings
{
    /** Time between two heartbeats to a registrar. */
    std::chrono::milliseconds announceInterval {900};
    /** Time between two digests, each of which a balancer sends to one random balancer. */
    std::chrono::milliseconds digestInterval {2000};
    /** A registrar that has not acknowledged a heartbeat for this long is replaced by another balancer. */
    std::chrono::milliseconds registrarTimeout {2000};
    /** Time for which a registrar that did not answer is excluded from the selection. */
    std::chrono::milliseconds registrarBackoff {10000};
    /**
     * Number of random balancers to which a change is sent immediately. A registrar sends the announcement of a member
     * to all live balancers instead.
     */
    std::size_t fanout = 3;
    /**
     * A confirmation of the configuration by the store is passed on if it is more recent by this than the last one that
     * was. It limits the traffic of a balancer, however many others read the store.
     */
    std::chrono::milliseconds confirmationInterval {1000};
    /** Number of random balancers to which a confirmation is passed on, and that are asked for one. */
    std::size_t confirmationFanout = 2;
    /** A balancer whose last confirmation is older than this asks others for a more recent one. */
    std::chrono::milliseconds confirmationRequestAge {1700};
    /** Whether an agent pulls the records of all services, as balancers do, and not only that of its own service. */
    bool wholeConfiguration = false;
    membership::MembershipSettings membership;
};

/**
 * The gossip protocol of agents and balancers: chooses the registrars of this process, sends them heartbeats, merges
 * member records and configuration, and disseminates changes. The class does no input or output and reads no clock:
 * handle() takes events and returns the actions that the caller has to carry out. It must be used by one thread only.
 */
class GossipEngine
{
public:
    /**
     * @p self is the record of this process. @p seeds are the control addresses of balancers to contact while no live
     * balancer is known; the address of this process is ignored among them. @p randomEngine selects the recipients of
     * gossip.
     */
    GossipEngine(const GossipSettings &settings,
                 const protocol::MemberRecord &self,
                 std::vector<Endpoint> seeds,
                 std::mt19937_64 randomEngine);

    /** Applies @p event, which occurred at @p now, and returns the actions to carry out, in order. */
    GossipActions handle(const GossipEvent &event, TimePoint now);

    const configuration::ConfigurationTable &configuration() const;
    /** When the store last confirmed the configuration in force, as far as this process has learned. */
    const std::optional<TimePoint> &configurationConfirmedAt() const;
    /** Number of messages of peers with the same generation and another content, since the start. */
    std::uint64_t configurationConflicts() const;
    /** All known members except this process. */
    const membership::MembershipTable &members() const;
    /** The record of this process, in its current version. */
    const protocol::MemberRecord &self() const;
    /**
     * Time of the last digest whose membership hash equalled that of this process. Nothing if the most recent digest
     * had a different hash, or if none has arrived. Only balancers process digests.
     */
    const std::optional<TimePoint> &agreedAt() const;
    /** Whether a peer has answered a request for its members since the start of this process. */
    bool hasPeerAnswered() const;

private:
    using Standing = configuration::ConfigurationReplica::Standing;

    /** State of the exchange with a peer to which heartbeats or announcements are sent. */
    struct Peer
    {
        /** When the first message without an answer was sent. Meaningful only while awaitingAnswer is set. */
        TimePoint firstUnanswered;
        bool awaitingAnswer = false;
        /** The peer is not selected as a registrar before this time. */
        TimePoint excludedUntil;
        /** Version of the own record that was last announced to this registrar, or 0 if it must be announced again. */
        std::uint64_t announcedVersion = 0;
    };

    GossipActions on(const DatagramReceived &event, TimePoint now);
    GossipActions on(const ConfigurationReceived &event, TimePoint now);
    GossipActions on(const ConfigurationConfirmed &event, TimePoint now);
    GossipActions on(const MembersReceived &event, TimePoint now);
    GossipActions on(const SelfChanged &event, TimePoint now);
    GossipActions on(const SeedsChanged &event, TimePoint now);
    GossipActions on(const TimerExpired &event, TimePoint now);

    GossipActions onMessage(const Endpoint &sender, const protocol::Announce &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::Heartbeat &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::AnnounceAck &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::MemberUpdate &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::Digest &message, TimePoint now);
    GossipActions onMessage(const Endpoint &sender, const protocol::ConfirmationNotice &message, TimePoint now);

    /**
     * Whether this process has received no datagram for so long that the silence of the members is attributed to its
     * own loss of connectivity.
     */
    bool isCutOff(TimePoint now) const;
    bool isBalancer() const;
    /** Whether this process holds the records of all services. */
    bool hasWholeConfiguration() const;
    /** What this process says of its configuration, beside the generation. */
    protocol::ContentState contentState(TimePoint now) const;
    /** The request for the configuration of the peer @p from. */
    PullConfiguration configurationRequest(const Endpoint &from) const;
    /**
     * Adopts the confirmation in a message and passes it on, requests the sender's configuration if it is newer, and
     * returns how that relates to the own one.
     */
    Standing followConfiguration(const Endpoint &sender,
                                 Generation generation,
                                 const protocol::ContentState &content,
                                 TimePoint now,
                                 GossipActions &actions);
    /** Sends the last confirmation by the store to random balancers if it is more recent than the last one sent. */
    void passOnConfirmation(TimePoint now, GossipActions &actions);
    /** Asks random balancers for a more recent confirmation if the last one is old: passing on misses some balancers.
     */
    void requestConfirmation(TimePoint now, GossipActions &actions);
    void sendConfirmation(TimePoint now, GossipActions &actions);
    /** Whether the store has confirmed the own configuration later than that of a peer with the same content. */
    bool hasLaterConfirmation(const protocol::ContentState &peer, TimePoint now) const;
    protocol::ConfirmationNotice confirmationNotice(TimePoint now) const;
    /** Merges @p records into the membership. A balancer disseminates those that changed it. */
    void mergeRecords(const std::vector<protocol::MemberRecord> &records, TimePoint now, GossipActions &actions);
    /** Pulls the members from random balancers, live ones if any are known. Does nothing on an agent. */
    void requestMembers(GossipActions &actions);
    /** Asks a balancer for a sign of life, and marks one as suspect that did not answer several times. */
    void probeBalancer(TimePoint now, GossipActions &actions);
    /**
     * Raises the version or the incarnation of this process if @p records report it as suspect or dead or hold a later
     * incarnation, so that its own record takes precedence over them.
     */
    void refute(const std::vector<protocol::MemberRecord> &records);
    /** Sends @p records to each of @p recipients, in datagrams of limited size. */
    static void sendRecords(const std::vector<protocol::MemberRecord> &records,
                            const std::vector<Endpoint> &recipients,
                            GossipActions &actions);
    /** Sends a heartbeat to each registrar, or an announcement if the registrar lacks the current record. */
    void sendHeartbeats(TimePoint now, GossipActions &actions);
    void sendAnnouncement(const Endpoint &to, bool toRegistrar, GossipActions &actions);
    void sendDigest(const Endpoint &to, TimePoint now, GossipActions &actions) const;
    /** Whether this process started less than s_startupPeriod ago. */
    bool isStarting(TimePoint now) const;
    /** Time until the next digest, which is shorter during the first seconds after the start. */
    std::chrono::milliseconds digestInterval(TimePoint now) const;
    /**
     * The answer to an announcement or a heartbeat of @p member. It omits the member records if their hash equals
     * @p viewHash, which the member received with an earlier answer. @p announceAgain asks for the complete record.
     */
    SendDatagram acknowledgement(const Endpoint &to,
                                 std::uint64_t member,
                                 std::uint64_t incarnation,
                                 std::uint64_t viewHash,
                                 bool announceAgain,
                                 TimePoint now) const;
    /**
     * The control addresses of the registrars of this process. If no live balancer is available, the seeds and some of
     * the balancers that only the directory named. Excludes registrars that did not answer in time.
     */
    std::vector<Endpoint> registrars(TimePoint now);
    /** The control addresses of up to registrarCount of @p balancers, without those that did not answer in time. */
    std::vector<Endpoint> chooseAnswering(std::vector<std::uint64_t> balancers, TimePoint now) const;
    std::vector<Endpoint> randomBalancers(std::size_t count);
    /** The control addresses of @p count of @p balancers, chosen at random. */
    std::vector<Endpoint> randomOf(std::span<const std::uint64_t> balancers, std::size_t count);
    /** A random seed or balancer that is not considered alive. The default endpoint if there is none. */
    Endpoint partitionProbeTarget();

    GossipSettings m_settings;
    protocol::MemberRecord m_self;
    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    configuration::ConfigurationReplica m_replica;
    std::uint64_t m_configurationConflicts = 0;
    /** The confirmation that was last passed on. */
    std::optional<TimePoint> m_passedOnConfirmation;
    TimePoint m_nextConfirmationRequest;
    membership::MembershipTable m_members;
    std::map<Endpoint, Peer> m_peers;
    std::vector<Endpoint> m_lastRegistrars;
    membership::BalancerProbe m_probe;
    std::optional<TimePoint> m_agreedAt;
    bool m_hasPeerAnswered = false;
    /** When the last control datagram arrived. */
    TimePoint m_lastReceived;
    TimePoint m_nextAnnouncement;
    TimePoint m_nextDigest;
    /** When the timer expired for the first time. Set on balancers only. */
    std::optional<TimePoint> m_startedAt;
    /** Hash of the member records in the last acknowledgement that contained balancers. */
    std::uint64_t m_viewHash = 0;
    std::uint64_t m_heartbeatRounds = 0;
};

} // namespace samphireswitch::control
