#pragma once

#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/passthroughadmission.h"
#include "protocol/messages.h"
#include "telemetry/eventlog.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::agent {

/**
 * Writes what an agent with passthrough delivery decides, and changes of what the decisions are based on, to the log,
 * and the outcome of new flows to the events for operators. Belongs to the thread that makes the decisions.
 */
class DecisionLog
{
public:
    /** @p host is the name of the agent's host. */
    DecisionLog(const passthrough::PassthroughAdmission &admission, telemetry::EventLog &events, std::string host);

    /**
     * Records a decision on @p packet if it concerns a new flow, ends a flow or searches for its owner. @p header is
     * that of the envelope in which the packet arrived, or null.
     */
    void decided(const passthrough::Decision &decision,
                 const flow::Segment &packet,
                 const protocol::EnvelopeHeader *header,
                 TimePoint now);

    /** Records the resets of callers whose flows ended with a run of the upstream. */
    void flowsLost(const std::vector<passthrough::ResetCaller> &resets, TimePoint now);

    /** Records the effect of a message of the upstream, unless it changed nothing. */
    void reported(passthrough::RegistrationOutcome outcome, TimePoint now) const;

    /**
     * Records that the concurrency limit of the upstream has begun or ended, and on what grounds the flow table counts
     * as complete, if that has changed since the last call.
     */
    void observe();

private:
    /** Keeps a reset with what is known of the upstream. */
    void recordReset(const flow::FlowKey &flow,
                     std::uint32_t sequenceNumber,
                     std::string_view cause,
                     const protocol::EnvelopeHeader *header,
                     TimePoint now);
    /** Keeps a packet that the upstream returned, with the reason why the upstream got it. */
    void recordReturned(const passthrough::Decision &decision, const flow::Segment &packet, TimePoint now);
    void observeKnowledge();
    void observePace();
    void recordEvent(const passthrough::Decision &decision, const flow::Segment &packet);

    const passthrough::PassthroughAdmission &m_admission;
    telemetry::EventLog &m_events;
    std::string m_host;
    bool m_wasPaced = false;
    passthrough::KnowledgeBasis m_basis = passthrough::KnowledgeBasis::None;
};

} // namespace samphireswitch::agent
