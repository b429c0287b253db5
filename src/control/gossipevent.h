#pragma once

#include "base/endpoint.h"
#include "configuration/configurationreplica.h"
#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace samphireswitch::control {

/** A control datagram arrived. Messages of the packet path are ignored. */
struct DatagramReceived
{
    Endpoint sender;
    protocol::Message message;
    /**
     * Whether the datagram may have waited while this process stood still. Ages in it are unknown then, and it does not
     * tell that the sender agrees with this process now.
     */
    bool mayHaveWaited = false;
};

/** Configuration was received from a peer, from the store or from an operator's command. */
using ConfigurationReceived = configuration::ConfigurationUpdate;

/** A read of the store found the configuration that is in force. */
using ConfigurationConfirmed = configuration::ConfigurationConfirmation;

/** Where member records come from. */
enum class MembersSource {
    /** The balancer directory, whose entries may lack members and outlive the process that wrote them. */
    Directory,
    /** A peer, in answer to PullMembers. */
    Peer,
};

/** Member records were received. */
struct MembersReceived
{
    std::vector<protocol::MemberRecord> records;
    MembersSource source = MembersSource::Directory;
};

/** The state of this process changed, because it drains or leaves, or its upstream now serves another service. */
struct SelfChanged
{
    protocol::MemberState state = protocol::MemberState::Active;
    /** The new service of an agent. Nothing if the service is unchanged, and for balancers. */
    std::optional<ServiceId> service = std::nullopt;
    /** As in protocol::MemberRecord. */
    std::chrono::milliseconds upstreamLeftAt {0};

    bool operator==(const SelfChanged &) const = default;
};

/** The settings name other seeds, which are control addresses of balancers. They replace the former seeds. */
struct SeedsChanged
{
    std::vector<Endpoint> seeds;
};

/** The periodic timer expired. This event has to occur at least every 100 ms. */
struct TimerExpired
{
};

using GossipEvent = std::variant<DatagramReceived,
                                 ConfigurationReceived,
                                 ConfigurationConfirmed,
                                 MembersReceived,
                                 SelfChanged,
                                 SeedsChanged,
                                 TimerExpired>;

/** Sends @c message to the control address @c to. */
struct SendDatagram
{
    Endpoint to;
    protocol::Message message;
};

/** Requests by RPC the configuration of a peer in the buckets whose hash there differs from @c hashes. */
struct PullConfiguration
{
    Endpoint from;
    /** Generation in force, by which a peer of an earlier version chooses the changes that it sends. */
    Generation since = 0;
    /** Limits the request to the record of this service. The value 0 stands for all services. */
    ServiceId service;
    configuration::ContentHashes hashes {};
};

/** Requests by RPC the member records in the buckets whose hash at the peer differs from @c hashes. */
struct PullMembers
{
    Endpoint from;
    membership::BucketHashes hashes {};
};

/** Reports that GossipEngine::configuration() has changed. */
struct ConfigurationChanged
{
    /** The generation is the same as before, whose content was wrong in this process. */
    bool isRepair = false;
};

/** Reports that GossipEngine::members() has changed. */
struct MembershipChanged
{
};

using GossipAction =
    std::variant<SendDatagram, PullConfiguration, PullMembers, ConfigurationChanged, MembershipChanged>;
using GossipActions = std::vector<GossipAction>;

} // namespace samphireswitch::control
