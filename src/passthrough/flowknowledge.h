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
    /** Flows from before the start of the agent are idle for longer than they are kept. */
    IdleTimeout,
};

/** Returns the name of @p basis in logs, such as "first-report". */
std::string_view basisName(KnowledgeBasis basis);

/**
 * Whether the flow table of an agent contains every flow that the upstream holds, and since when on what grounds. Only
 * an agent with a complete table may deny a flow without asking its upstream.
 */
class FlowKnowledge
{
public:
    /** @p now is the start of the agent, and @p idleTimeout the time after which flows from before it have ended. */
    FlowKnowledge(std::chrono::milliseconds idleTimeout, TimePoint now);

    /** The table is complete from @p now on because of @p basis. An earlier basis is replaced. */
    void establish(KnowledgeBasis basis, TimePoint now);

    /** The table may lack flows that began before @p now. */
    void withdraw(TimePoint now);

    /** Takes the table for complete once the idle timeout has passed since the start or the last withdrawal. */
    void expire(TimePoint now);

    bool isComplete() const;
    KnowledgeBasis basis() const;
    /** When the basis was established; if there is none, the last withdrawal or the start of the agent. */
    TimePoint since() const;

private:
    std::chrono::milliseconds m_idleTimeout;
    KnowledgeBasis m_basis = KnowledgeBasis::None;
    TimePoint m_since;
};

} // namespace samphireswitch::passthrough
