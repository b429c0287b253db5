#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "flow/flowkey.h"

#include <boost/container/static_vector.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace samphireswitch::protocol {

/** Longest candidate chain of an envelope. A search for a flow's owner over more members goes on at the last agent. */
constexpr std::size_t s_maximumChainLength = 64;

/** Number of buckets in which membership tables are compared. */
constexpr std::size_t s_digestBucketCount = 64;

/** Largest datagram that is sent or accepted, in bytes: a UDP payload on IPv4. */
constexpr std::size_t s_maximumDatagramSize = 65507;

/** An agent and its data address. */
struct Candidate
{
    AgentId agent;
    Endpoint endpoint;

    bool operator==(const Candidate &) const = default;
};

using CandidateChain = boost::container::static_vector<Candidate, s_maximumChainLength>;

/** Why an agent does not own the flow that it was asked for. */
enum class OwnershipDenial : std::uint8_t {
    /** The agent knows all flows of its upstream. */
    KnowsItsFlows,
    /** The agent has restarted; its upstream was handed the packet and returned it. */
    ReturnedByUpstream,
    /** No upstream runs beside the agent. */
    NoUpstream,
};

/** The answers of the agents that an exhaustive search has asked, by number. For the log of the balancer. */
struct SearchAnswers
{
    std::uint8_t count = 0;
    /** How many of these answers are OwnershipDenial::ReturnedByUpstream. */
    std::uint8_t returned = 0;
    /** How many of these answers are OwnershipDenial::NoUpstream. */
    std::uint8_t noUpstream = 0;

    void add(OwnershipDenial denial)
    {
        ++count;
        returned += denial == OwnershipDenial::ReturnedByUpstream ? 1 : 0;
        noUpstream += denial == OwnershipDenial::NoUpstream ? 1 : 0;
    }

    bool operator==(const SearchAnswers &) const = default;
};

/** What the balancer that begins an exhaustive search notes, to judge it at its end. Only this process can read it. */
struct SearchStamp
{
    /** Time of the start. */
    std::uint64_t begun = 0;
    /** Version of the set of agents that forward packets. */
    std::uint32_t reachable = 0;
    /** Version of the set of agents that forward packets or are suspect; 0 if the search leaves out suspects. */
    std::uint32_t known = 0;

    bool operator==(const SearchStamp &) const = default;
};

/**
 * State of a search whose chain holds every agent that the balancer has to ask before it may count the flow as having
 * no owner. Without an owner, such a search ends at the balancer that began it.
 */
struct ExhaustiveSearch
{
    SearchStamp stamp;
    SearchAnswers answers;

    bool operator==(const ExhaustiveSearch &) const = default;
};

/** All of an envelope but the packet. */
struct EnvelopeHeader
{
    ServiceId service;
    /** Configuration generation of the balancer that made the envelope. */
    Generation generation = 0;
    /** Data address of the balancer that made the envelope; hints go there. */
    Endpoint origin;
    CandidateChain chain;
    /** The first so many candidates of the chain may take new work. */
    std::uint8_t eligible = 0;
    /** Index in the chain of the agent that the envelope is sent to. */
    std::uint8_t hop = 0;
    /** The feed or first packet was directed to this agent after the candidates were compared. */
    bool directed = false;
    /** Identity of the slot offer that this envelope answers, or 0. */
    std::uint64_t grant = 0;
    /** Number of candidates that passed because they had ejected themselves. */
    std::uint8_t ejected = 0;
    /**
     * Lowest figure of a candidate so far, and its index in the chain: the number of feeds held, or for first packets
     * the load or expected wait of a busy agent. 0 if there is none yet.
     */
    std::uint32_t leastFeeds = 0;
    std::uint8_t leastFeedsHop = 0;
    /** An agent replaced the chain by the members that it knows, because the first chain ended without the owner. */
    bool extended = false;
    /** Nothing if the chain may lack an agent that owns the flow. */
    std::optional<ExhaustiveSearch> exhaustive;
    /** Identity of a search for a flow's owner; 0 for a packet that is not searched. */
    std::uint64_t search = 0;
    /**
     * The last so many candidates before the unanswered ones do not know the flows of their upstreams. If there is only
     * one of them and allowsTrial is set, it is asked again after all others.
     */
    std::uint8_t deferred = 0;
    /** The last so many candidates of the chain did not acknowledge the packet. */
    std::uint8_t unanswered = 0;
    /** How often the search was repeated for its unanswered candidates. */
    std::uint8_t repeats = 0;
    /** Where the receipt for this envelope goes. */
    Endpoint sender;
    /** Number of the receipt that the sender waits for; 0 if it waits for none. */
    std::uint32_t receipt = 0;
    /** The agent that a location record named as the owner during this search; 0 if no record was used. */
    AgentId located;
    /**
     * The chain lists every agent that may own the flow, and none is away that may come back. If all of them but one
     * deny the flow, the one that cannot tell may hand the packet to its upstream.
     */
    bool allowsTrial = false;

    bool operator==(const EnvelopeHeader &) const = default;
};

struct Envelope
{
    EnvelopeHeader header;
    /** A whole IPv4 packet. Refers to the receive buffer. */
    std::span<const std::byte> packet;
};

/** An exhaustive search ended, and no agent owns the flow. Goes to the balancer that began the search. */
struct SearchEnded
{
    flow::FlowKey flow;
    /** Acknowledgement number of the caller's packet, which a reset of the flow repeats. */
    std::uint32_t acknowledgementNumber = 0;
    ExhaustiveSearch search;
    /** Data address of the agent that answered last. */
    Endpoint lastAgent;

    bool operator==(const SearchEnded &) const = default;
};

/**
 * Nobody who was asked accepts the first packet of a flow. Goes to the balancer that forwarded the packet, which knows
 * of the caller's other copies.
 */
struct FirstPacketRefused
{
    flow::FlowKey flow;
    /** Sequence number of the packet. */
    std::uint32_t sequenceNumber = 0;
    /** How often the caller had sent the packet before. */
    std::uint32_t copy = 0;
    /** Data address of the agent that answered last. */
    Endpoint lastAgent;

    bool operator==(const FirstPacketRefused &) const = default;
};

/** A searched packet arrived and is in the hands of its receiver. */
struct Receipt
{
    std::uint32_t number = 0;

    bool operator==(const Receipt &) const = default;
};

struct OwnerHint
{
    flow::FlowKey key;
    Candidate owner;
    /** Configuration generation of the agent. */
    Generation generation = 0;

    bool operator==(const OwnerHint &) const = default;
};

/** An open flow in the record of its owner. */
struct LocatedFlow
{
    flow::FlowKey key;
    /**
     * A sequence number that the upstream has used in the flow, which distinguishes it from other flows with the same
     * key; 0 if it is not known, as from an agent of an earlier version.
     */
    std::uint32_t sequenceNumber = 0;

    bool operator==(const LocatedFlow &) const = default;
};

/**
 * Names the owner of open flows to an agent that keeps the records of these flows. Also the answer to a
 * LocationRequest, with the requesting agent as the owner.
 */
struct LocationRecords
{
    Candidate owner;
    std::vector<LocatedFlow> flows;
    /** Data address of the agent that sent the message. */
    Endpoint sender;

    bool operator==(const LocationRecords &) const = default;
};

/** An agent that has started beside a running upstream asks for the records of the flows that it owned before. */
struct LocationRequest
{
    Candidate owner;

    bool operator==(const LocationRequest &) const = default;
};

struct Waiting
{
    ServiceId service;
    Candidate sender;
    std::uint32_t count = 0;
    std::chrono::microseconds oldestAge {0};

    bool operator==(const Waiting &) const = default;
};

struct SlotOffer
{
    ServiceId service;
    Candidate sender;
    std::uint64_t offer = 0;
    std::chrono::microseconds validity {0};

    bool operator==(const SlotOffer &) const = default;
};

struct OfferDeclined
{
    ServiceId service;
    Candidate sender;
    std::uint64_t offer = 0;

    bool operator==(const OfferDeclined &) const = default;
};

enum class MemberState : std::uint8_t {
    Active,
    Draining,
    Left,
    /** An agent was told to stop. Its upstream may live and hold flows, which are reached again when it is back. */
    Stopping,
};
/** Of two records with the same version, that with the higher liveness holds. */
enum class Liveness : std::uint8_t {
    /** Known from an earlier time only, and not heard from since. */
    Unconfirmed,
    Alive,
    Suspect,
    Dead,
};
enum class MemberRole : std::uint8_t { Agent, Balancer };

/** For logs and commands. */
constexpr std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Active:
        return "active";
    case MemberState::Draining:
        return "draining";
    case MemberState::Left:
        return "left";
    case MemberState::Stopping:
        return "stopping";
    }
    return "unknown";
}

/** For logs and commands. */
constexpr std::string_view livenessName(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Unconfirmed:
        return "unconfirmed";
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Dead:
        return "dead";
    }
    return "unknown";
}

/** What is known of an agent or a balancer. */
struct MemberRecord
{
    /** AgentId of an agent; hash of the name for a balancer. */
    std::uint64_t id = 0;
    MemberRole role = MemberRole::Agent;
    /** Higher for a process that started later. */
    std::uint64_t incarnation = 0;
    /** Raised by the member itself with each change. */
    std::uint64_t version = 0;
    MemberState state = MemberState::Active;
    Liveness liveness = Liveness::Alive;
    /** Service of an agent. */
    ServiceId service;
    Endpoint data;
    Endpoint control;
    std::string name;
    std::string failureDomain;
    /** Rate of a balancer's network link in kilobits a second; 0 if its settings do not tell. */
    std::uint32_t linkRate = 0;
    /** Share of a processor that a balancer gets, in thousandths; 0 if its settings do not tell. */
    std::uint32_t processorShare = 0;
    /**
     * When the upstream of an agent announced its exit, by the machine's time of day since the epoch, if no later run
     * has reported; 0 if it did not.
     */
    std::chrono::milliseconds upstreamLeftAt {0};

    bool operator==(const MemberRecord &) const = default;
};

/** Whether the upstream of an agent has announced its exit, and no later run has reported. */
inline bool hasUpstreamLeft(const MemberRecord &record)
{
    return record.upstreamLeftAt.count() != 0;
}

/** Whether a member died or left, so that nothing reaches it any more. */
inline bool isGone(const MemberRecord &record)
{
    return record.liveness == Liveness::Dead || record.state == MemberState::Left;
}

/** Whether @p candidate replaces @p current where both describe the same member. */
inline bool isNewer(const MemberRecord &candidate, const MemberRecord &current)
{
    return std::tie(candidate.incarnation, candidate.version, candidate.liveness)
        > std::tie(current.incarnation, current.version, current.liveness);
}

struct Announce
{
    MemberRecord member;
    /** Configuration generation in force at the sender. */
    Generation generation = 0;
    /** Hash of the records that the sender received last; the acknowledgement leaves out records that hash to it. */
    std::uint64_t viewHash = 0;
    /** The receiver is a registrar: heartbeats follow, and it may take their absence for a failure. */
    bool toRegistrar = false;

    bool operator==(const Announce &) const = default;
};

/** Sent in place of Announce while nothing changed, because it is a third of its size. */
struct Heartbeat
{
    std::uint64_t id = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    Generation generation = 0;
    std::uint64_t viewHash = 0;
    bool toRegistrar = false;
    /** The sender wants an answer even if the receiver has nothing new. */
    bool acknowledge = false;

    bool operator==(const Heartbeat &) const = default;
};

/** What a process says of the configuration in force there, beside its generation. */
struct ContentState
{
    /** Hash of the content of all services; 0 if unknown, as from a process of an earlier version. */
    std::uint64_t contentHash = 0;
    /** Time since the store last confirmed this content; nothing if that is not known. */
    std::optional<std::chrono::milliseconds> confirmedAge;

    bool operator==(const ContentState &) const = default;
};

/** Answer to Announce and Heartbeat. */
struct AnnounceAck
{
    Generation generation = 0;
    /** Empty, like members, if the sender's view hash is the current one. */
    std::vector<MemberRecord> balancers;
    /** Members of the sender's service, the sender included. */
    std::vector<MemberRecord> members;
    std::uint64_t viewHash = 0;
    /** The registrar does not know this incarnation and version; the member has to announce itself in full. */
    bool announceAgain = false;
    ContentState content {};

    bool operator==(const AnnounceAck &) const = default;
};

struct MemberUpdate
{
    std::vector<MemberRecord> records;

    bool operator==(const MemberUpdate &) const = default;
};

struct Digest
{
    /** Control address of the sender. */
    Endpoint sender;
    Generation generation = 0;
    std::uint64_t membershipHash = 0;
    ContentState content {};

    bool operator==(const Digest &) const = default;
};

/** Sent by a balancer that learns of a more recent confirmation of its configuration by the store. */
struct ConfirmationNotice
{
    Generation generation = 0;
    ContentState content {};

    bool operator==(const ConfirmationNotice &) const = default;
};

using Message = std::variant<Envelope,
                             OwnerHint,
                             Waiting,
                             SlotOffer,
                             OfferDeclined,
                             Announce,
                             AnnounceAck,
                             MemberUpdate,
                             Digest,
                             Heartbeat,
                             Receipt,
                             LocationRecords,
                             LocationRequest,
                             SearchEnded,
                             ConfirmationNotice,
                             FirstPacketRefused>;

/** A decoded message and the sender's Lamport time, which orders events over processes. */
struct Datagram
{
    Message message;
    std::uint64_t logicalTime = 0;
};

} // namespace samphireswitch::protocol
