#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace samphireswitch::passthrough {

/** The reason for a decision on a packet. Written to logs and counted in PassthroughCounters. */
enum class Cause : std::uint8_t {
    /** The upstream holds the flow. */
    Owned,
    /** The upstream gets the first packet of a new flow. */
    Accepted,
    /** The packet is a copy of a first packet that the upstream already got; the copy is handed to the upstream too. */
    Repeated,
    /**
     * The agent does not know whether the upstream holds the flow, and passes the packet on. It hands the packet to its
     * upstream only if all other agents have denied the flow.
     */
    OwnerUnknown,
    /**
     * A location record names this agent as the owner of a flow that it has not seen since its start. The agent hands
     * the packet to its upstream, which returns it if it does not hold the flow.
     */
    Located,
    /** A location record names another agent as the owner of the flow, which gets the packet next. */
    Redirected,
    /** The upstream serves another pool. */
    WrongService,
    /** The upstream does not accept new flows: it starts, drains, has exited, or its reports are overdue. */
    NotReady,
    /** The failure domain of the upstream is evacuated. */
    Evacuated,
    /** The upstream has not answered the latest first packets, or an earlier copy of this one. */
    UpstreamSilent,
    /** All slots are in use, and another agent may have a free one. */
    Busy,
    /** The upstream has as many requests as its concurrency limit allows, and another agent may have a free slot. */
    Paced,
    /** The upstream is cold and may not get the packet yet: it goes to another agent, or is refused or dropped. */
    ColdLimit,
    /** The agent's configuration is not older than the balancer's and does not assign the address to the upstream. */
    NotServed,
    /** All slots of all agents that were asked are in use; the first packet waits at this agent for a free slot. */
    Held,
    /** A held first packet was handed to the upstream because a slot became free. */
    Released,
    /**
     * All slots are in use, and the request would get one too late to be answered before its deadline. It is refused on
     * arrival.
     */
    WouldBeLate,
    /** The queue of held first packets is full, and the packet has to give way to requests of a higher priority. */
    Displaced,
    /** The flow table of the agent is full. */
    TableFull,
    /** The upstream returned the first packet instead of answering it. */
    UpstreamDeclined,
    /** The upstream does not hold the flow. */
    NotOwned,
    /** The next agent of the search did not acknowledge the packet in time. */
    AgentSilent,
    /** This agent has already handled another copy of the same search. */
    SearchRepeated,
    /** No agent of the chain accepted the new flow. */
    NobodyAccepts,
    /** The search has ended, and no agent that was asked holds the flow. */
    NoOwner,
    /** The upstream held the flow, but has lost it or has ended. */
    UpstreamLostFlow,
    /** The upstream sent the packet to its caller. */
    FromUpstream,
    /** The upstream returned a packet whose envelope header the agent no longer has. */
    UnknownReturn,
};

/** Number of values of Cause. */
constexpr std::size_t s_causeCount = static_cast<std::size_t>(Cause::UnknownReturn) + 1;

/** The name of @p cause in logs and metrics, such as "owner-unknown". */
std::string_view causeName(Cause cause);

/** Hand the packet to the upstream, with a mark that the upstream sends back if it returns the packet. */
struct DeliverToUpstream
{
    /** Mark of the envelope header in ReturnablePackets; 0 if the header was not kept. */
    std::uint32_t mark = 0;
};

/** Send the packet to the caller. */
struct ForwardToCaller
{
    /** IPv4 address of the caller in host byte order. */
    std::uint32_t address = 0;
};

/** Send the packet to the agent at the current hop of the header, in an envelope with this header. */
struct PassToAgent
{
    protocol::EnvelopeHeader header;
    /** The agent has to acknowledge the packet. Without a receipt the packet goes to the next agent of the chain. */
    bool awaitsReceipt = false;
};

/**
 * Send the packet back to the balancer so that it repeats the search later. The chain of the header holds the agents
 * that did not acknowledge the packet, which may only be unavailable for a short time.
 */
struct ReturnSearch
{
    protocol::EnvelopeHeader header;
};

/** Tell the balancer that its exhaustive search ended without an owner. It decides whether the caller is reset. */
struct EndSearch
{
    /** Where the balancer receives messages of agents. */
    Endpoint to;
    protocol::SearchEnded message;
};

/** Tell the balancer that nobody accepts this copy of a first packet. It decides whether the caller is reset. */
struct RefuseFirstPacket
{
    /** Where the balancer receives messages of agents. */
    Endpoint to;
    protocol::FirstPacketRefused message;
};

/** Send the caller a TCP reset, because its flow has ended. */
struct ResetCaller
{
    /** Key of the flow, with the caller as the source. */
    flow::FlowKey flow;
    /** Sequence number of the reset. Callers ignore a reset whose number is far from the one that they expect. */
    std::uint32_t sequenceNumber = 0;
};

struct DropPacket
{
};

/**
 * Store the first packet until PassthroughAdmission::releaseHeld() returns a packet of its flow. A packet that has
 * expired is never released.
 */
struct HoldPacket
{
    /** Key of the flow, with the caller as the source. */
    flow::FlowKey flow;
};

using PacketAction = std::variant<DeliverToUpstream,
                                  ForwardToCaller,
                                  PassToAgent,
                                  ReturnSearch,
                                  EndSearch,
                                  RefuseFirstPacket,
                                  ResetCaller,
                                  DropPacket,
                                  HoldPacket>;

/** Tell the balancer that sent an envelope which agent owns the flow. */
struct SendHint
{
    Endpoint to;
    protocol::OwnerHint hint;
};

/** A packet that was handed to the upstream, which may return it. */
struct HandedPacket
{
    /** Of the envelope in which the packet arrived. */
    protocol::EnvelopeHeader header;
    /** Why the upstream got the packet. */
    Cause cause = Cause::Owned;
    TimePoint handedAt;
};

/** How to handle one packet, and why. */
struct Decision
{
    PacketAction action;
    Cause cause = Cause::Owned;
    /** Has a value if a balancer needs to learn the owner of the flow. */
    std::optional<SendHint> hint;
    /** Refusal of another first packet, which was held here and gave way to this one. */
    std::optional<RefuseFirstPacket> displaced {};
    /**
     * How the upstream came to the packet that it returned. Nothing if it returned none, or if the agent does not know:
     * packets of open flows are not kept.
     */
    std::optional<HandedPacket> returned {};
};

} // namespace samphireswitch::passthrough
