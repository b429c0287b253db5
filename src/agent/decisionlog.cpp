#include "agent/decisionlog.h"

#include "telemetry/logging.h"

#include <utility>
#include <variant>

namespace samphireswitch::agent {

namespace {

using passthrough::Cause;
using passthrough::Decision;

/** Whether decisions with @p cause are logged: those that concern a new flow, end a flow or search for its owner. */
bool isLogged(Cause cause)
{
    return cause != Cause::Owned && cause != Cause::FromUpstream;
}

const char *actionName(const passthrough::PacketAction &action)
{
    struct Name
    {
        const char *operator()(const passthrough::DeliverToUpstream &) const
        {
            return "deliver";
        }
        const char *operator()(const passthrough::ForwardToCaller &) const
        {
            return "forward";
        }
        const char *operator()(const passthrough::PassToAgent &) const
        {
            return "pass";
        }
        const char *operator()(const passthrough::ReturnSearch &) const
        {
            return "return";
        }
        const char *operator()(const passthrough::EndSearch &) const
        {
            return "end-search";
        }
        const char *operator()(const passthrough::RefuseFirstPacket &) const
        {
            return "refuse";
        }
        const char *operator()(const passthrough::ResetCaller &) const
        {
            return "reset";
        }
        const char *operator()(const passthrough::DropPacket &) const
        {
            return "drop";
        }
        const char *operator()(const passthrough::HoldPacket &) const
        {
            return "hold";
        }
    };
    return std::visit(Name {}, action);
}

/** Returns the address of the agent that the packet is passed to; empty if the packet is not passed. */
std::string nextAgent(const passthrough::PacketAction &action)
{
    const auto *pass = std::get_if<passthrough::PassToAgent>(&action);
    return pass == nullptr ? std::string() : toString(pass->header.chain[pass->header.hop].endpoint);
}

const char *outcomeName(passthrough::RegistrationOutcome outcome)
{
    using passthrough::RegistrationOutcome;
    switch (outcome) {
    case RegistrationOutcome::Refreshed:
        return "refreshed";
    case RegistrationOutcome::Changed:
        return "changed";
    case RegistrationOutcome::NewRun:
        return "new-run";
    case RegistrationOutcome::Late:
        return "late";
    case RegistrationOutcome::Superseded:
        return "superseded";
    }
    return "unknown";
}

} // namespace

DecisionLog::DecisionLog(const passthrough::PassthroughAdmission &admission,
                         telemetry::EventLog &events,
                         std::string host)
    : m_admission(admission)
    , m_events(events)
    , m_host(std::move(host))
{
}

void DecisionLog::decided(const Decision &decision,
                          const flow::Segment &packet,
                          const protocol::EnvelopeHeader *header,
                          TimePoint now)
{
    if (packet.returned && !packet.isFirstPacket()) {
        recordReturned(decision, packet, now);
    }
    if (!isLogged(decision.cause)) {
        return;
    }
    const flow::FlowKey caller = packet.key;
    const passthrough::FlowKnowledge &knowledge = m_admission.knowledge();
    telemetry::logEvent(telemetry::Severity::Info,
                        "flow-" + std::string(passthrough::causeName(decision.cause)),
                        {{"flow", flow::toString(caller)},
                         {"action", actionName(decision.action)},
                         {"first_packet", packet.isFirstPacket()},
                         {"copy", packet.synRetransmissions},
                         {"hop", header == nullptr ? 0U : header->hop},
                         {"chain", header == nullptr ? std::size_t {0} : header->chain.size()},
                         {"generation", header == nullptr ? 0U : header->generation},
                         {"next", nextAgent(decision.action)},
                         {"knows_all_flows", knowledge.isComplete()},
                         {"knowledge_basis", passthrough::basisName(knowledge.basis())},
                         {"knowledge_age_ms", telemetry::toMilliseconds(now - knowledge.since())},
                         {"requests_waiting", m_admission.tracker().requestsWaiting()},
                         {"flows", m_admission.tracker().size()}});
    recordEvent(decision, packet);
    if (const auto *reset = std::get_if<passthrough::ResetCaller>(&decision.action)) {
        recordReset(reset->flow, reset->sequenceNumber, passthrough::causeName(decision.cause), header, now);
    }
}

void DecisionLog::recordReturned(const Decision &decision, const flow::Segment &packet, TimePoint now)
{
    const passthrough::FlowKnowledge &knowledge = m_admission.knowledge();
    const auto &handed = decision.returned;
    const protocol::EnvelopeHeader header = handed ? handed->header : protocol::EnvelopeHeader();
    m_events.returnedPackets().record(
        telemetry::Severity::Warning,
        "packet-returned",
        {{"flow", flow::toString(packet.key)},
         {"handed_over_as", handed ? passthrough::causeName(handed->cause) : "unknown"},
         {"handed_over_ms_ago", handed ? telemetry::toMilliseconds(now - handed->handedAt) : -1},
         {"acknowledged", packet.acknowledgementNumber},
         {"search", header.search},
         {"repeats", header.repeats},
         {"sender", toString(header.sender)},
         {"origin", toString(header.origin)},
         {"decision", passthrough::causeName(decision.cause)},
         {"action", actionName(decision.action)},
         {"knowledge_basis", passthrough::basisName(knowledge.basis())},
         {"knowledge_age_ms", telemetry::toMilliseconds(now - knowledge.since())}});
}

void DecisionLog::flowsLost(const std::vector<passthrough::ResetCaller> &resets, TimePoint now)
{
    for (const passthrough::ResetCaller &reset : resets) {
        recordReset(reset.flow, reset.sequenceNumber, "run-ended", nullptr, now);
    }
}

void DecisionLog::recordReset(const flow::FlowKey &flow,
                              std::uint32_t sequenceNumber,
                              std::string_view cause,
                              const protocol::EnvelopeHeader *header,
                              TimePoint now)
{
    const passthrough::FlowKnowledge &knowledge = m_admission.knowledge();
    const passthrough::UpstreamRegistration &registration = m_admission.registration();
    const auto &report = registration.report();
    m_events.flowResets().record(
        telemetry::Severity::Warning,
        "flow-reset-by-agent",
        {{"flow", flow::toString(flow)},
         {"cause", cause},
         {"sequence_number", sequenceNumber},
         {"origin", header == nullptr ? std::string() : toString(header->origin)},
         {"chain", header == nullptr ? std::size_t {0} : header->chain.size()},
         {"upstream_down", m_admission.isUpstreamDown()},
         {"upstream_left", registration.hasLeft()},
         {"upstream", report ? report->id : std::string()},
         {"upstream_started", report ? static_cast<std::int64_t>(report->startedSinceEpoch.count()) : 0},
         {"report_sequence", report ? report->sequence : 0},
         {"reported_ms_ago", report ? telemetry::toMilliseconds(now - registration.lastHeard()) : -1},
         {"knowledge_basis", passthrough::basisName(knowledge.basis())},
         {"knowledge_age_ms", telemetry::toMilliseconds(now - knowledge.since())},
         {"flows", m_admission.tracker().size()}});
}

void DecisionLog::reported(passthrough::RegistrationOutcome outcome, TimePoint now) const
{
    if (outcome == passthrough::RegistrationOutcome::Refreshed) {
        return;
    }
    const auto &report = m_admission.registration().report();
    telemetry::logEvent(telemetry::Severity::Info,
                        "upstream-reported",
                        {{"outcome", outcomeName(outcome)},
                         {"upstream", report ? report->id : std::string()},
                         {"service", report ? report->service : std::string()},
                         {"sequence", report ? report->sequence : 0},
                         {"ready", m_admission.registration().isReady(now)},
                         {"left", m_admission.registration().hasLeft()},
                         {"address", report ? toString(report->endpoint) : std::string()},
                         {"started", report ? static_cast<std::int64_t>(report->startedSinceEpoch.count()) : 0}});
}

void DecisionLog::observe()
{
    observeKnowledge();
    observePace();
}

void DecisionLog::observeKnowledge()
{
    const passthrough::FlowKnowledge &knowledge = m_admission.knowledge();
    if (knowledge.basis() == m_basis) {
        return;
    }
    telemetry::logEvent(telemetry::Severity::Info,
                        "knowledge-changed",
                        {{"knows_all_flows", knowledge.isComplete()},
                         {"knowledge_basis", passthrough::basisName(knowledge.basis())},
                         {"basis_before", passthrough::basisName(m_basis)},
                         {"flows", m_admission.tracker().size()}});
    m_basis = knowledge.basis();
}

void DecisionLog::observePace()
{
    const passthrough::UpstreamPace &pace = m_admission.newFlows().limits().pace();
    if (pace.limit().has_value() == m_wasPaced) {
        return;
    }
    m_wasPaced = pace.limit().has_value();
    telemetry::logEvent(telemetry::Severity::Info,
                        "upstream-pace",
                        {{"limit", pace.limit().value_or(0)},
                         {"limited", m_wasPaced},
                         {"change", passthrough::paceChangeName(pace.latestChange())},
                         {"requests_waiting", m_admission.tracker().requestsWaiting()}});
}

void DecisionLog::recordEvent(const Decision &decision, const flow::Segment &packet)
{
    const bool isAccepted = decision.cause == Cause::Accepted || decision.cause == Cause::Released;
    const bool isFinal = isAccepted || std::holds_alternative<passthrough::ResetCaller>(decision.action);
    if (!isFinal) {
        return;
    }
    telemetry::EventRecord event;
    event.kind = isAccepted ? "flow-accepted" : "flow-reset";
    event.flow = flow::toString(packet.key);
    event.host = m_host;
    event.detail = passthrough::causeName(decision.cause);
    m_events.record(std::move(event));
}

} // namespace samphireswitch::agent
