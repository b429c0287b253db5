#pragma once

#include "trace/traceline.h"

#include <boost/describe/class.hpp>

// The fields of every structure of a trace. A field that is missing here is lost in a recording.

namespace samphireswitch::protocol {
BOOST_DESCRIBE_STRUCT(Candidate, (), (agent, endpoint))
BOOST_DESCRIBE_STRUCT(
    EnvelopeHeader,
    (),
    (service, generation, origin, chain, eligible, hop, directed, grant, ejected, leastFeeds, leastFeedsHop))
BOOST_DESCRIBE_STRUCT(Waiting, (), (service, sender, count, oldestAge))
BOOST_DESCRIBE_STRUCT(SlotOffer, (), (service, sender, offer, validity))
BOOST_DESCRIBE_STRUCT(OfferDeclined, (), (service, sender, offer))
} // namespace samphireswitch::protocol

namespace samphireswitch::flow {
BOOST_DESCRIBE_STRUCT(FlowKey, (), (source, destination))
} // namespace samphireswitch::flow

namespace samphireswitch::admission {
BOOST_DESCRIBE_STRUCT(AdmissionSettings,
                      (),
                      (halfOpenTimeout,
                       noOwnerGrace,
                       offerValidity,
                       failuresToEject,
                       probeInterval,
                       assumedServiceTime,
                       waitingInterval,
                       surgeDemand,
                       surgeWait,
                       unownedCapacity))
BOOST_DESCRIBE_STRUCT(
    ServiceTerms,
    (),
    (service, address, requestPort, feedPort, slots, connections, deadline, mode, namesHost, generation))
BOOST_DESCRIBE_STRUCT(PacketArrived,
                      (),
                      (header, key, firstPacket, reset, hasAcknowledgement, sequence, acknowledgement))
BOOST_DESCRIBE_STRUCT(HandshakeOffered, (), (key, sequence))
BOOST_DESCRIBE_STRUCT(HandshakeCompleted, (), (key))
BOOST_DESCRIBE_STRUCT(AnswerStarted, (), (key))
BOOST_DESCRIBE_STRUCT(UpstreamFinished, (), (key, outcome))
BOOST_DESCRIBE_STRUCT(FlowEnded, (), (key))
BOOST_DESCRIBE_STRUCT(ServiceTermsChanged, (), (terms))
BOOST_DESCRIBE_STRUCT(MembersChanged, (), (members, eligible))
BOOST_DESCRIBE_STRUCT(DrainOrdered, (), ())
BOOST_DESCRIBE_STRUCT(TimerExpired, (), ())
BOOST_DESCRIBE_STRUCT(DeliverPacket, (), (key))
BOOST_DESCRIBE_STRUCT(AcceptFlow, (), (key, sequenceOffset))
BOOST_DESCRIBE_STRUCT(PassPacket, (), (header))
BOOST_DESCRIBE_STRUCT(ParkPacket, (), (key))
BOOST_DESCRIBE_STRUCT(AcceptParked, (), (key, sequenceOffset))
BOOST_DESCRIBE_STRUCT(HandOverParked, (), (key, header))
BOOST_DESCRIBE_STRUCT(RefusePacket, (), (key))
BOOST_DESCRIBE_STRUCT(RefuseParked, (), (key))
BOOST_DESCRIBE_STRUCT(DropParked, (), (key))
BOOST_DESCRIBE_STRUCT(ResetUnowned, (), (key))
BOOST_DESCRIBE_STRUCT(DropPacket, (), (reason))
BOOST_DESCRIBE_STRUCT(CedeFlow, (), (key))
BOOST_DESCRIBE_STRUCT(SendHint, (), (origin, key))
BOOST_DESCRIBE_STRUCT(OpenUpstream, (), (key))
BOOST_DESCRIBE_STRUCT(SendToAgent, (), (agent, message))
BOOST_DESCRIBE_STRUCT(ReportDrained, (), ())
} // namespace samphireswitch::admission

namespace samphireswitch::trace {

BOOST_DESCRIBE_STRUCT(TraceHeader, (), (version, self, seed, settings, steadyStart, systemStart))
BOOST_DESCRIBE_STRUCT(TraceEntry, (), (sinceStart, event, actions))

/** Names of a variant's alternatives, in order. */
template<typename Variant>
struct AlternativeNames;

template<>
struct AlternativeNames<admission::Event>
{
    static constexpr std::array<const char *, std::variant_size_v<admission::Event>> names {"PacketArrived",
                                                                                            "HandshakeOffered",
                                                                                            "HandshakeCompleted",
                                                                                            "AnswerStarted",
                                                                                            "UpstreamFinished",
                                                                                            "FlowEnded",
                                                                                            "Waiting",
                                                                                            "SlotOffer",
                                                                                            "OfferDeclined",
                                                                                            "ServiceTermsChanged",
                                                                                            "MembersChanged",
                                                                                            "DrainOrdered",
                                                                                            "TimerExpired"};
};

template<>
struct AlternativeNames<admission::Action>
{
    static constexpr std::array<const char *, std::variant_size_v<admission::Action>> names {"DeliverPacket",
                                                                                             "AcceptFlow",
                                                                                             "PassPacket",
                                                                                             "ParkPacket",
                                                                                             "AcceptParked",
                                                                                             "HandOverParked",
                                                                                             "RefusePacket",
                                                                                             "RefuseParked",
                                                                                             "DropParked",
                                                                                             "ResetUnowned",
                                                                                             "DropPacket",
                                                                                             "CedeFlow",
                                                                                             "SendHint",
                                                                                             "OpenUpstream",
                                                                                             "SendToAgent",
                                                                                             "ReportDrained"};
};

template<>
struct AlternativeNames<std::variant<protocol::Waiting, protocol::SlotOffer, protocol::OfferDeclined>>
{
    static constexpr std::array<const char *, 3> names {"Waiting", "SlotOffer", "OfferDeclined"};
};

} // namespace samphireswitch::trace
