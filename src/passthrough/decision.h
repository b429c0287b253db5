#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace samphireswitch::passthrough {

/** Why a packet was handled as it was; for logs and counters. */
enum class Cause : std::uint8_t {
    /** The upstream holds the flow. */
    Owned,
    /** The upstream takes the new flow. */
    Accepted,
    /** The caller repeated a first packet that the upstream has answered. */
    Repeated,
    /** It is not known whether the upstream holds the flow; the packet asks it once all other agents were asked. */
    OwnerUnknown,
    /** The upstream serves another pool. */
    WrongService,
    /** The upstream is not ready: it starts, drains, left, or its reports are missing. */
    NotReady,
    /** The upstream does not answer first packets. */
    UpstreamSilent,
    /** All slots are in use, and another agent may have a free one. */
    Busy,
    /** By a newer configuration than the balancer's, the upstream does not serve the address. */
    NotServed,
    /** All slots of all agents that were asked are in use; the first packet waits for one. */
    Held,
    /** A first packet that waited got a slot. */
    Released,
    /** The table of flows is full. */
    TableFull,
    /** The upstream gave the first packet back. */
    UpstreamDeclined,
    /** The upstream does not hold the flow. */
    NotOwned,
    /** The agent that a searched packet was passed to did not acknowledge it. */
    AgentSilent,
    /** Another copy of the search was here before. */
    SearchRepeated,
    /** No agent of the chain could take the new flow. */
    NobodyAccepts,
    /** No agent that is known holds the flow. */
    NoOwner,
    /** The upstream held the flow and does not any more, or does not run any more. */
    UpstreamLostFlow,
    /** A packet of the upstream for its caller. */
    FromUpstream,
    /** The upstream returned a packet that nothing is known of. */
    UnknownReturn,
};

/** Number of values of Cause. */
constexpr std::size_t s_causeCount = static_cast<std::size_t>(Cause::UnknownReturn) + 1;

std::string_view causeName(Cause cause);

/** Hand the packet to the upstream with this mark, which comes back with the packet if the upstream returns it. */
struct DeliverToUpstream
{
    /** 0 if nothing is kept for the packet's return. */
    std::uint32_t mark = 0;
};

/** Send the packet to the caller. */
struct ForwardToCaller
{
    /** IPv4 address of the caller in host byte order. */
    std::uint32_t address = 0;
};

/** Send the packet with this header to the agent at its hop. */
struct PassToAgent
{
    protocol::EnvelopeHeader header;
    /** If the agent does not acknowledge the packet, it goes to the next one. */
    bool awaitsReceipt = false;
};

/** Send the packet back to the balancer with this header: its agents did not acknowledge it, and may be back soon. */
struct ReturnSearch
{
    protocol::EnvelopeHeader header;
};

/** Tell the caller that the flow ended, or that it does not come to be. */
struct ResetCaller
{
    /** The caller's key. */
    flow::FlowKey flow;
    std::uint32_t sequenceNumber = 0;
};

struct DropPacket
{
};

/** Keep the packet; a later decision releases it, or it is forgotten. */
struct HoldPacket
{
    /** The caller's key. */
    flow::FlowKey flow;
};

using PacketAction =
    std::variant<DeliverToUpstream, ForwardToCaller, PassToAgent, ReturnSearch, ResetCaller, DropPacket, HoldPacket>;

/** Tell the balancer that sent an envelope who owns its flow. */
struct SendHint
{
    Endpoint to;
    protocol::OwnerHint hint;
};

struct Decision
{
    PacketAction action;
    Cause cause = Cause::Owned;
    std::optional<SendHint> hint;
};

} // namespace samphireswitch::passthrough
