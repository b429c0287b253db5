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

/** What an operator asked of the host. Draining and stopped hosts accept no new flow. */
enum class HostMode { Active, Draining, Stopped };

/** How a request or feed ended, as seen at the upstream's connection. */
enum class UpstreamOutcome {
    /** At least one byte of the answer was received before the upstream closed. */
    Answered,
    /** The upstream closed or reset the connection without a byte of an answer. */
    NoAnswer,
    /** The upstream refused the connection; nothing was sent. */
    Refused,
    /** The caller ended the flow first; says nothing about the upstream. */
    CallerGone,
};

/** The part of a service's record that admission needs. */
struct ServiceTerms
{
    ServiceId service;
    std::uint32_t address = 0;
    /** 0 if the service has no such port. */
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::chrono::milliseconds deadline {0};
    HostMode mode = HostMode::Active;
    /** True if the service's record names this host. A host that no record names accepts no new flow. */
    bool namesHost = false;
    Generation generation = 0;
};

/** A packet of a caller arrived in an envelope. The process keeps the bytes until the actions are done. */
struct PacketArrived
{
    protocol::EnvelopeHeader header;
    flow::FlowKey key;
    bool firstPacket = false;
    bool reset = false;
    bool hasAcknowledgement = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
};

/**
 * The TCP stack sent the SYN-ACK of an accepted flow. Has to be applied before the next packet of the flow: until then
 * no acknowledgement number is known to be the flow's own.
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

/** The upstream closed its side; a request's slot becomes free. */
struct UpstreamFinished
{
    flow::FlowKey key;
    UpstreamOutcome outcome = UpstreamOutcome::Answered;
};

/** The TCP state of the flow is gone; its packets are no longer consumed. */
struct FlowEnded
{
    flow::FlowKey key;
};

struct ServiceTermsChanged
{
    ServiceTerms terms;
};

/** The agents of the same service, this one included. */
struct MembersChanged
{
    /** Members that may take new work come first. */
    std::vector<protocol::Candidate> members;
    /** The first so many members may take new work. */
    std::size_t eligible = 0;
};

/** The process was told to stop (SIGTERM). Stays in force until the process exits. */
struct DrainOrdered
{
};

/** The time that FlowAdmission::nextTimer() named has come. Harmless when early. */
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
