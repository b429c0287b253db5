#include "balancer/callerresets.h"

#include "telemetry/logging.h"

#include <string>
#include <utility>

namespace samphireswitch::balancer {

CallerResets::CallerResets(PacketPathCounters &counters, telemetry::EventLog &events, Send send)
    : m_counters(counters)
    , m_events(events)
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
    const auto confirmedAgo = isCertain ? telemetry::toMilliseconds(now - confirmed.confirmation.at) : -1;
    if (packet.isFirstPacket()) {
        // The platform sends first packets to addresses without a route all the time.
        telemetry::logEvent(telemetry::Severity::Info,
                            isCertain ? "flow-refused" : "packet-dropped",
                            {{"flow", flow::toString(packet.key)},
                             {"reason", routing::dropReasonName(reason)},
                             {"generation", generation},
                             {"configuration_certain", isCertain},
                             {"confirmed_ms_ago", confirmedAgo}});
    } else if (isReset) {
        const TimePoint firstPacketAt = m_unserved.firstPacketAt(packet.key, now);
        m_events.flowResets().record(telemetry::Severity::Warning,
                                     "open-flow-reset",
                                     {{"flow", flow::toString(packet.key)},
                                      {"reason", routing::dropReasonName(reason)},
                                      {"generation", generation},
                                      {"content_hash", table != nullptr ? table->contentHash() : 0},
                                      {"configuration_certain", isCertain},
                                      {"confirmed_generation", confirmed.confirmation.generation},
                                      {"confirmed_hash", confirmed.confirmation.contentHash},
                                      {"confirmed_ms_ago", confirmedAgo},
                                      {"first_packet_ms_ago", telemetry::toMilliseconds(now - firstPacketAt)}});
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
    const bool isReset = judgement.verdict == routing::RefusalVerdict::Final;
    const std::string flow = flow::toString(refused.flow);
    const std::string last = toString(refused.lastAgent);
    const std::initializer_list<telemetry::LogField> fields {
        {"flow", flow},
        {"verdict", routing::verdictName(judgement.verdict)},
        {"copy", refused.copy},
        {"copies", judgement.copies},
        {"age_ms", judgement.age ? telemetry::toMilliseconds(*judgement.age) : -1},
        {"last", last}};
    if (isReset) {
        m_events.firstPacketResets().record(telemetry::Severity::Info, "first-packet-refused", fields);
        m_send(refused.flow, 0);
    } else {
        telemetry::logEvent(telemetry::Severity::Info, "first-packet-refused", fields);
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
