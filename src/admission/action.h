#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <variant>

namespace samphireswitch::admission {

enum class DropReason {
    /** The envelope is for another service or another address and port. */
    WrongService,
    /** No service record is known yet. */
    NoServiceRecord,
    /** Retransmission of a first packet that is already parked or accepted here. */
    Duplicate,
    /** No agent owns the flow, and the grace period has not ended. */
    NoOwnerYet,
    /** A reset packet of a flow that no agent owns. */
    StrayReset,
    /** The envelope answers an offer that has expired; the caller's retransmission finds a slot. */
    OfferExpired,
};

/** Hand the current packet to the TCP stack; the flow is owned here. */
struct DeliverPacket
{
    flow::FlowKey key;
};

/** Create a half-open flow and hand the current packet, a first packet, to the TCP stack. */
struct AcceptFlow
{
    flow::FlowKey key;
    /** Added to the sequence numbers that the TCP stack sends, subtracted from the acknowledgements it receives. */
    std::uint32_t sequenceOffset = 0;
};

/** Send the current packet on in an envelope with this header, to chain[hop]. */
struct PassPacket
{
    protocol::EnvelopeHeader header;
};

/** Keep the current packet, a first packet, under its key. */
struct ParkPacket
{
    flow::FlowKey key;
};

/** As AcceptFlow, for a parked packet. */
struct AcceptParked
{
    flow::FlowKey key;
    std::uint32_t sequenceOffset = 0;
};

/** Send a parked packet in an envelope with this header, to chain[hop], and forget it. */
struct HandOverParked
{
    flow::FlowKey key;
    protocol::EnvelopeHeader header;
};

/** Reset in answer to the current first packet: the request was not run. */
struct RefusePacket
{
    flow::FlowKey key;
};

/** As RefusePacket, for a parked packet, which is forgotten. */
struct RefuseParked
{
    flow::FlowKey key;
};

/** Forget a parked packet without an answer. */
struct DropParked
{
    flow::FlowKey key;
};

/** Reset in answer to the current packet, whose flow no agent owns. */
struct ResetUnowned
{
    flow::FlowKey key;
};

struct DropPacket
{
    DropReason reason = DropReason::WrongService;
};

/** Discard a half-open flow without sending anything to the caller. */
struct CedeFlow
{
    flow::FlowKey key;
};

/** Tell the balancer at @c origin that this agent owns the flow. */
struct SendHint
{
    Endpoint origin;
    flow::FlowKey key;
};

/**
 * Open the upstream connection of a flow whose handshake is complete. The process opens no upstream connection without
 * this action, so that a completed handshake may wait for a slot.
 */
struct OpenUpstream
{
    flow::FlowKey key;
};

/** Send a message to another agent of the service. */
struct SendToAgent
{
    protocol::Candidate agent;
    std::variant<protocol::Waiting, protocol::SlotOffer, protocol::OfferDeclined> message;
};

/** The host drains and its last flow has ended. Reported once for each drain. */
struct ReportDrained
{
};

using Action = std::variant<DeliverPacket,
                            AcceptFlow,
                            PassPacket,
                            ParkPacket,
                            AcceptParked,
                            HandOverParked,
                            RefusePacket,
                            RefuseParked,
                            DropParked,
                            ResetUnowned,
                            DropPacket,
                            CedeFlow,
                            SendHint,
                            OpenUpstream,
                            SendToAgent,
                            ReportDrained>;

/** Actions in the order in which they have to be done. */
using Actions = boost::container::small_vector<Action, 2>;

} // namespace samphireswitch::admission
