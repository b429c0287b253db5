#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace samphireswitch::passthrough {

/** Why an agent takes its flow table for complete. Written to logs. */
enum class KnowledgeBasis : std::uint8_t {
    /** It does not: the upstream may hold flows that began before the start of the agent. */
    None,
    /** The system reported that no process takes packets at the upstream's address. */
    RefusedPacket,
    /** The first report of the current run arrived here. */
    FirstReport,
    /**
     * The second report of the current run arrived here, which began together with the agent. The first one was lost
     * while the agent started, as after a loss of power.
     */
    EarlyReport,
    /** Flows from before the start of the agent are idle for longer than they are kept. */
    IdleTimeout,
    /** The upstream had announced its exit to an earlier run of the agent, and nothing was heard of it since. */
    UpstreamLeft,
    /** Nothing was heard of the upstream since the start of the agent, for longer than between several reports. */
    UpstreamSilent,
};

/** Returns the name of @p basis in logs, such as "first-report". */
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

    /** A packet or a report of the upstream has arrived. */
    void upstreamHeard();

    /** The upstream had announced its exit before the start of the agent. Without effect once it was heard. */
    void upstreamHadLeft(TimePoint now);

    /**
     * Takes the table for complete once the idle timeout has passed since the start or the last withdrawal, or the
     * upstream has been silent since the start. Call this function about once a second: the time for which the process
     * stands still does not count as silence.
     */
    void expire(TimePoint now);

    /** Whether the table counts as complete because no upstream runs. */
    bool restsOnAbsence() const;

    bool isComplete() const;
    KnowledgeBasis basis() const;
    /** When the basis was established; if there is none, the last withdrawal or the start of the agent. */
    TimePoint since() const;

private:
    KnowledgeSettings m_settings;
    KnowledgeBasis m_basis = KnowledgeBasis::None;
    TimePoint m_since;
    bool m_wasUpstreamHeard = false;
    /** For how long this process has listened for the upstream in vain. */
    Clock::duration m_listened {0};
    TimePoint m_expiredAt;
};

} // namespace samphireswitch::passthrough
