#include "balancer/callerresets.h"

#include "telemetry/logging.h"

#include <string>
#include <utility>

namespace samphireswitch::balancer {

namespace {

/** Returns the event that a dropped packet is logged as. */
const char *dropEvent(const flow::Segment &packet, bool isCertain)
{
    if (!packet.isFirstPacket()) {
        return "open-flow-reset";
    }
    return isCertain ? "flow-refused" : "packet-dropped";
}

} // namespace

CallerResets::CallerResets(PacketPathCounters &counters, Send send)
    : m_counters(counters)
    , m_send(std::move(send))
{
}

void CallerResets::firstPacketArrived(const flow::Segment &packet, TimePoint notBefore, bool isForwarded)
{
    m_opening.arrived(packet, notBefore, isForwarded);
}

void CallerResets::handleDropped(const flow::Segment &packet,
                                 routing::DropReason reason,
                                 const routing::RoutingTable *table,
                                 const TimedConfirmation &confirmed)
{
    const TimePoint now = Clock::now();
    const Generation generation = table != nullptr ? table->generation() : 0;
    const bool isConfirmed = confirmed.confirms(generation, table != nullptr ? table->contentHash() : 0, now);
    // An evacuation is part of the configuration, so that its confirmation makes the lack of agents certain too.
    const bool isDeclared = reason == routing::DropReason::NoService || reason == routing::DropReason::Evacuated;
    const bool isCertain = isDeclared && isConfirmed;
    const bool isReset = isCertain && mayResetUnserved(packet, confirmed.confirmation, now);
    // The platform sends first packets to addresses without a route all the time. Resets of open flows are events of
    // their own, so that their lines are not suppressed with those.
    if (packet.isFirstPacket() || isReset) {
        telemetry::logEvent(
            telemetry::Severity::Info,
            dropEvent(packet, isCertain),
            {{"flow", flow::toString(packet.key)},
             {"reason", std::string(routing::dropReasonName(reason))},
             {"generation", generation},
             {"configuration_certain", isCertain},
             {"confirmed_ms_ago", isCertain ? telemetry::toMilliseconds(now - confirmed.confirmation.at) : -1}});
    }
    if (isReset) {
        m_counters.resetsNoService.add(1);
        m_send(packet.key, packet.isFirstPacket() ? 0 : packet.acknowledgementNumber);
    }
}

void CallerResets::handleRefused(const protocol::FirstPacketRefused &refused)
{
    // Not the time of the batch: the message may have waited while this process stood still.
    const auto judgement = m_opening.refused(refused.flow, refused.sequenceNumber, refused.copy, Clock::now());
    m_counters.refusedFirstPackets[static_cast<std::size_t>(judgement.verdict)].add(1);
    telemetry::logEvent(telemetry::Severity::Info,
                        "first-packet-refused",
                        {{"flow", flow::toString(refused.flow)},
                         {"verdict", routing::verdictName(judgement.verdict)},
                         {"copy", refused.copy},
                         {"copies", judgement.copies},
                         {"age_ms", judgement.age ? telemetry::toMilliseconds(*judgement.age) : -1},
                         {"last", toString(refused.lastAgent)}});
    if (judgement.verdict == routing::RefusalVerdict::Final) {
        m_send(refused.flow, 0);
    }
}

bool CallerResets::mayResetUnserved(const flow::Segment &packet, const StoreConfirmation &confirmed, TimePoint now)
{
    if (packet.isFirstPacket()) {
        return m_opening.notForwarded(packet, now).verdict == routing::RefusalVerdict::Final;
    }
    return !packet.rst && m_unserved.firstPacketAt(packet.key, now) < confirmed.at;
}

} // namespace samphireswitch::balancer
