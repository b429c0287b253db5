#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace samphireswitch::passthrough {

/** Why an agent takes its flow table for complete. Written to logs. */
enum class KnowledgeBasis : std::uint8_t {
    /** It does not: the upstream may hold flows that began before the start of the agent. */
    None,
    /** The system reported that no process takes packets at the upstream's address. */
    RefusedPacket,
    /** According to the store, no earlier process of the agent has handed a flow to the run; see RunLedger. */
    UnservedRun,
    /** Flows from before the start of the agent are idle for longer than they are kept. */
    IdleTimeout,
    /** The upstream has announced its exit, and nothing was heard of it for longer than its exit takes. */
    UpstreamLeft,
    /** Nothing was heard of the upstream since the start of the agent, for longer than between several reports. */
    UpstreamSilent,
};

/** Returns the name of @p basis in logs, such as "unserved-run". */
std::string_view basisName(KnowledgeBasis basis);

/** Times of FlowKnowledge. */
struct KnowledgeSettings
{
    /** Flows from before the start of the agent have ended after this time. */
    std::chrono::milliseconds idleTimeout {75000};
    /**
     * An upstream of which nothing was heard for this time since the start of the agent does not run. Longer than the
     * time between several of its reports.
     */
    std::chrono::milliseconds silenceLimit {7200};
    /**
     * An upstream that has announced its exit may still run for this time after the announcement or its last packet.
     */
    std::chrono::milliseconds departureTime {3000};
};

/**
 * Whether the flow table of an agent contains every flow that the upstream holds, and since when on what grounds. Only
 * an agent with a complete table may deny a flow without asking its upstream.
 */
class FlowKnowledge
{
public:
    /** @p now is the start of the agent. */
    FlowKnowledge(const KnowledgeSettings &settings, TimePoint now);

    /** The table is complete from @p now on because of @p basis. An earlier basis is replaced. */
    void establish(KnowledgeBasis basis, TimePoint now);

    /** The table may lack flows that began before @p now. */
    void withdraw(TimePoint now);

    /** A report of the upstream has arrived: it runs, and an earlier announcement of its exit is void. */
    void upstreamReported();

    /** A packet of the upstream has arrived. An upstream that has announced its exit may still send some. */
    void packetArrived();

    /** The upstream announced its exit @p age before @p now, and has not reported since. */
    void upstreamDeparted(Clock::duration age, TimePoint now);

    /** Whether the upstream has announced its exit. */
    bool isUpstreamDeparted() const;

    /**
     * Takes the table for complete once the idle timeout has passed since the start or the last withdrawal, the
     * upstream has been silent since the start, or it has left. Call this function about once a second: the time for
     * which the process stands still does not count as silence.
     */
    void expire(TimePoint now);

    /** Whether the table counts as complete because no upstream runs. */
    bool restsOnAbsence() const;

    bool isComplete() const;
    KnowledgeBasis basis() const;
    /** When the basis was established; if there is none, the last withdrawal or the start of the agent. */
    TimePoint since() const;

private:
    bool hasExited() const;

    KnowledgeSettings m_settings;
    KnowledgeBasis m_basis = KnowledgeBasis::None;
    TimePoint m_since;
    bool m_wasUpstreamHeard = false;
    /** For how long this process has listened for the upstream in vain, since its start or the latest packet. */
    Clock::duration m_listened {0};
    /** Time since the upstream announced its exit. */
    std::optional<Clock::duration> m_departedFor;
    TimePoint m_expiredAt;
};

} // namespace samphireswitch::passthrough
