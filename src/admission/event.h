#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace samphireswitch::admission {

/** The mode that an operator has set for the host. Draining and stopped hosts accept no new flow. */
enum class HostMode { Active, Draining, Stopped };

/** How the upstream connection of a request or feed ended. */
enum class UpstreamOutcome {
    /** The upstream sent at least one byte of an answer before it closed the connection. */
    Answered,
    /** The upstream closed or reset the connection before it sent a byte of an answer. */
    NoAnswer,
    /** The upstream refused the connection, so that nothing of the request was sent to it. */
    Refused,
    /** The caller ended the flow first. Counts neither as a success nor as a failure of the upstream. */
    CallerGone,
};

/** The part of the service record that admission depends on. */
struct ServiceTerms
{
    ServiceId service;
    /** IPv4 address of the service. */
    std::uint32_t address = 0;
    /** 0 if the service takes no requests. */
    std::uint16_t requestPort = 0;
    /** 0 if the service takes no feeds. */
    std::uint16_t feedPort = 0;
    /** Requests that this host may serve at the same time. */
    std::uint32_t slots = 0;
    /** Flows, requests and feeds together, that this host may hold at the same time. */
    std::uint32_t connections = 0;
    /** Time within which a request has to be served; 0 if the record sets no deadline. */
    std::chrono::milliseconds deadline {0};
    HostMode mode = HostMode::Active;
    /** True if the service record names this host. A host that the record does not name accepts no new flow. */
    bool namesHost = false;
    /** Configuration generation of the record. Terms of an older generation than the current one are ignored. */
    Generation generation = 0;
};

/**
 * A packet of a caller arrived in an envelope. The process keeps the bytes of the packet until it has carried out the
 * actions that FlowAdmission::handle() returns.
 */
struct PacketArrived
{
    protocol::EnvelopeHeader header;
    flow::FlowKey key;
    /** The packet opens a connection (SYN without ACK). */
    bool firstPacket = false;
    bool reset = false;
    bool hasAcknowledgement = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
};

/**
 * The TCP stack sent the SYN-ACK of an accepted flow. This event must precede the next PacketArrived of the flow:
 * without the initial sequence number, no acknowledgement can be recognised as one of this flow, and the agent
 * cedes the flow.
 */
struct HandshakeOffered
{
    flow::FlowKey key;
    /** Initial sequence number of the TCP stack, before the flow's sequence offset is added. */
    std::uint32_t sequence = 0;
};

/** The TCP stack completed the handshake of an accepted flow. */
struct HandshakeCompleted
{
    flow::FlowKey key;
};

/** The first byte of the upstream's answer was received. */
struct AnswerStarted
{
    flow::FlowKey key;
};

/** The upstream closed its side of the connection. A request releases its slot. */
struct UpstreamFinished
{
    flow::FlowKey key;
    UpstreamOutcome outcome = UpstreamOutcome::Answered;
};

/** The TCP stack has discarded the state of the flow, so the agent no longer owns it. */
struct FlowEnded
{
    flow::FlowKey key;
};

/** A service record was received. */
struct ServiceTermsChanged
{
    ServiceTerms terms;
};

/** The known agents of the service, including this agent, have changed. */
struct MembersChanged
{
    /** All members; those that may take new work come first. */
    std::vector<protocol::Candidate> members;
    /** Number of members, from the start of @c members, that may take new work. */
    std::size_t eligible = 0;
};

/** The process received SIGTERM. The drain that this event starts lasts until the process exits. */
struct DrainOrdered
{
};

/** The time that FlowAdmission::nextTimer() returned has come. An early TimerExpired does no harm. */
struct TimerExpired
{
};

using Event = std::variant<PacketArrived,
                           HandshakeOffered,
                           HandshakeCompleted,
                           AnswerStarted,
                           UpstreamFinished,
                           FlowEnded,
                           protocol::Waiting,
                           protocol::SlotOffer,
                           protocol::OfferDeclined,
                           ServiceTermsChanged,
                           MembersChanged,
                           DrainOrdered,
                           TimerExpired>;

} // namespace samphireswitch::admission
