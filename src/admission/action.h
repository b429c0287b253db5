#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <variant>

namespace samphireswitch::admission {

/** Why a packet is discarded without an answer to the caller. */
enum class DropReason {
    /** The envelope names another service, or the packet is addressed to another address or port. */
    WrongService,
    /** This agent has not received the record of its service yet. */
    NoServiceRecord,
    /** The packet retransmits a first packet that is already parked at this agent. */
    Duplicate,
    /** No agent owns the flow, and AdmissionSettings::noOwnerGrace has not elapsed since that was first found. */
    NoOwnerYet,
    /** The packet is a TCP reset of a flow that no agent owns. */
    StrayReset,
    /** The envelope answers a slot offer that has expired. The caller retransmits the packet, which is decided anew. */
    OfferExpired,
};

/** Hand the current packet to the TCP stack, because this agent owns its flow. */
struct DeliverPacket
{
    flow::FlowKey key;
};

/** Create a half-open flow from the current packet, which is a first packet, and hand the packet to the TCP stack. */
struct AcceptFlow
{
    flow::FlowKey key;
    /**
     * Random offset that is added to the sequence numbers that the TCP stack sends and subtracted from the
     * acknowledgement numbers that it receives.
     */
    std::uint32_t sequenceOffset = 0;
};

/** Send the current packet in an envelope with @c header to the agent chain[hop] of that header. */
struct PassPacket
{
    protocol::EnvelopeHeader header;
};

/** Store the current packet, which is a first packet, under @c key until a later action names that key. */
struct ParkPacket
{
    flow::FlowKey key;
};

/**
 * Create a half-open flow from a parked packet and hand the packet to the TCP stack. The packet is no longer parked.
 */
struct AcceptParked
{
    flow::FlowKey key;
    /** Has the meaning of AcceptFlow::sequenceOffset. */
    std::uint32_t sequenceOffset = 0;
};

/** Send a parked packet in an envelope with @c header to the agent chain[hop] of that header, then discard it. */
struct HandOverParked
{
    flow::FlowKey key;
    protocol::EnvelopeHeader header;
};

/** Answer the current packet, which is a first packet, with a TCP reset. The request or feed was not started. */
struct RefusePacket
{
    flow::FlowKey key;
};

/** Answer a parked packet with a TCP reset and discard the packet. The request was not started. */
struct RefuseParked
{
    flow::FlowKey key;
};

/** Discard a parked packet without an answer to the caller. */
struct DropParked
{
    flow::FlowKey key;
};

/** Answer the current packet with a TCP reset, because no agent owns its flow. */
struct ResetUnowned
{
    flow::FlowKey key;
};

/** Discard the current packet without an answer to the caller. */
struct DropPacket
{
    DropReason reason = DropReason::WrongService;
};

/** Discard a half-open flow, also in the TCP stack, without sending anything to the caller. */
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
 * Open the upstream connection of a flow whose handshake is complete. The process opens upstream connections only on
 * this action, so that a request with a complete handshake can wait for a slot.
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

/** Report that the host has drained: its last flow has ended and no packet is parked. Returned once for each drain. */
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

/** Actions in the order in which the caller of FlowAdmission::handle() must carry them out. */
using Actions = boost::container::small_vector<Action, 2>;

} // namespace samphireswitch::admission
