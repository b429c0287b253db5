#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace samphireswitch::routing {

/** Thresholds of SilenceDetector. */
struct SilenceSettings
{
    /** First packets are counted in consecutive windows of this length. */
    std::chrono::milliseconds window {1000};
    /** An agent is not considered silent with fewer retransmitted first packets in a window than this. */
    std::uint32_t minimumRepeated = 2;
    /** How long a silent agent stays at the end of the chain before it is tried again. */
    std::chrono::milliseconds penalty {1000};
};

/**
 * Detects agents that do not answer, from the packets that a balancer sees: a caller retransmits the first packet of a
 * flow if it got no answer. Detection is much faster than missed heartbeats and independent of them. An agent is
 * considered silent if, within a window, callers retransmitted at least half of the first packets that were sent to it,
 * and at least SilenceSettings::minimumRepeated packets.
 */
class SilenceDetector
{
public:
    explicit SilenceDetector(const SilenceSettings &settings = {});

    /** Counts the first packet of a flow that was sent to @p agent. */
    void recordFirstPacket(AgentId agent, TimePoint now);

    /** Counts a retransmission of a first packet that was sent to @p agent. Returns true if the agent became silent. */
    bool recordRepeatedFirstPacket(AgentId agent, TimePoint now);

    /** Whether @p agent was found silent less than SilenceSettings::penalty ago. */
    bool isSilent(AgentId agent, TimePoint now) const;

private:
    struct Counts
    {
        TimePoint windowStart;
        std::uint32_t sent = 0;
        std::uint32_t repeated = 0;
        TimePoint silentUntil;
    };

    /** Returns the counts of @p agent, which are reset to 0 if its window ended before @p now. */
    Counts &currentCounts(AgentId agent, TimePoint now);

    SilenceSettings m_settings;
    std::unordered_map<AgentId, Counts> m_agents;
};

} // namespace samphireswitch::routing
