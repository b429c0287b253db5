#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace samphireswitch::routing {

/** Time and size of DeniedFlows. */
struct DeniedFlowSettings
{
    /** How long a denial holds. An agent that stopped is expected back for this time, and all callers give up in it. */
    std::chrono::milliseconds validity {15000};
    /** Number of entries of 24 bytes. Flows that hash to the same entry replace each other. */
    std::size_t capacity = 4096;
    /** Number of agents without an answer that are remembered. If there are more, denials are not. */
    std::size_t undecidedAgents = 16;
};

/**
 * Flows without a known owner that the agents have denied, all but those which did not answer. A further search has to
 * ask only the latter, and agents that are away. Without this memory, the callers of flows that were lost with their
 * upstreams cause a search over all agents with each packet that they repeat, for as long as some agent is expected
 * back.
 */
class DeniedFlows
{
public:
    explicit DeniedFlows(const DeniedFlowSettings &settings = {});

    /** A search for the owner of the flow begins, which asks all agents of the set with @p version. */
    void searchBegan(const flow::FlowKey &key, std::uint32_t version, TimePoint now);

    /**
     * All agents that a search asked, but those in @p unanswered, have denied the flow. Without effect if the search
     * asked the set with another @p version than the latest one. Without a version it counts as the latest one.
     */
    void denied(const flow::FlowKey &key,
                std::optional<std::uint32_t> version,
                std::span<const protocol::Candidate> unanswered,
                TimePoint now);

    /** Whether the agents of the set with @p version, but those in undecided(), have denied the flow recently. */
    bool isDenied(const flow::FlowKey &key, std::uint32_t version, TimePoint now) const;

    /** Agents that did not answer a recent search for some flow. */
    std::vector<protocol::Candidate> undecided(TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t flowHash = 0;
        TimePoint deniedAt;
        std::uint32_t version = 0;
        bool isDenied = false;
    };

    struct Undecided
    {
        protocol::Candidate agent;
        TimePoint seenAt;
    };

    const Entry *find(std::uint64_t flowHash) const;
    /** Adds @p agents to the undecided ones. Returns false if there are too many. */
    bool addUndecided(std::span<const protocol::Candidate> agents, TimePoint now);

    DeniedFlowSettings m_settings;
    /** Empty before the first search. */
    std::vector<Entry> m_entries;
    std::vector<Undecided> m_undecided;
};

} // namespace samphireswitch::routing
