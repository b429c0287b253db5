#pragma once

#include "base/endpoint.h"
#include "configuration/servicerecord.h"
#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace samphireswitch::control {

/** A control datagram arrived. Kinds that belong to the packet path are ignored. */
struct DatagramReceived
{
    Endpoint sender;
    protocol::Message message;
};

/** Configuration that a peer, the store or an operator's command gave. */
struct ConfigurationReceived
{
    configuration::ConfigurationDelta delta;
};

/** Member records that a peer gave in answer to PullMembers. */
struct MembersReceived
{
    std::vector<protocol::MemberRecord> records;
};

/** This process drains or leaves, or its upstream serves another service. */
struct SelfChanged
{
    protocol::MemberState state = protocol::MemberState::Active;
    /** Only of an agent, and only if it changed. */
    std::optional<ServiceId> service = std::nullopt;
};

/** Other control addresses of balancers to begin with. */
struct SeedsChanged
{
    std::vector<Endpoint> seeds;
};

/** Has to come at least every 100 ms. */
struct TimerExpired
{
};

using GossipEvent =
    std::variant<DatagramReceived, ConfigurationReceived, MembersReceived, SelfChanged, SeedsChanged, TimerExpired>;

struct SendDatagram
{
    Endpoint to;
    protocol::Message message;
};

/** Ask the peer by RPC for the configuration after generation @c since. */
struct PullConfiguration
{
    Endpoint from;
    Generation since = 0;
    /** Only the record of this service; value 0 for all. */
    ServiceId service;
};

/** Ask the peer by RPC for the member records of the buckets that differ. */
struct PullMembers
{
    Endpoint from;
    membership::BucketHashes hashes {};
};

/** GossipEngine::configuration() has changed. */
struct ConfigurationChanged
{
};

/** GossipEngine::members() has changed. */
struct MembershipChanged
{
};

using GossipAction =
    std::variant<SendDatagram, PullConfiguration, PullMembers, ConfigurationChanged, MembershipChanged>;
using GossipActions = std::vector<GossipAction>;

} // namespace samphireswitch::control
