#pragma once

#include "admission/flowadmission.h"
#include "base/time.h"
#include "flow/flowkey.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace samphireswitch::admission {

/** Hashes a flow key with a seed that callers cannot know, so that they cannot choose ports whose hashes collide. */
struct SeededFlowHash
{
    std::uint64_t seed = 0;

    std::size_t operator()(const flow::FlowKey &key) const noexcept
    {
        return flow::hashFlow(key, seed);
    }
};

/** How a flow uses the slots of its host. Feeds use none. */
enum class SlotUse : std::uint8_t {
    /** A feed, or a request whose claim has ended or whose slot has been released. */
    None,
    /** The request is counted for a slot, and its upstream connection is not open. */
    Claimed,
    /** The upstream connection of the request is open. */
    Occupied
};

/** State of a flow that this agent owns. */
struct Flow
{
    FlowKind kind = FlowKind::Request;
    FlowPhase phase = FlowPhase::HalfOpen;
    SlotUse slot = SlotUse::None;
    /** The TCP stack has sent the SYN-ACK, so that @c initialSequence is known. */
    bool hasInitialSequence = false;
    /**
     * Sequence number of the first packet. Distinguishes its retransmission from a new connection with the same ports.
     */
    std::uint32_t firstSequence = 0;
    /** Has the meaning of AcceptFlow::sequenceOffset. */
    std::uint32_t sequenceOffset = 0;
    /** Initial sequence number of the TCP stack, before the offset is added. */
    std::uint32_t initialSequence = 0;
    /** When the flow was accepted. */
    TimePoint since;
    /** When the upstream connection of the request was opened; valid only with SlotUse::Occupied. */
    TimePoint started;
    /** Position in the list of half-open flows; valid only in FlowPhase::HalfOpen. */
    std::list<flow::FlowKey>::iterator halfOpenPosition;
};

/** The flows that an agent owns. The half-open flows are also listed in the order of their acceptance. */
class FlowTable
{
public:
    explicit FlowTable(std::uint64_t hashSeed);

    /** Null if the flow is not owned. The pointer is valid until the flow is removed. */
    Flow *find(const flow::FlowKey &key);
    const Flow *find(const flow::FlowKey &key) const;

    /** Adds a half-open flow. @p key must not be in the table. The reference is valid until the flow is removed. */
    Flow &add(const flow::FlowKey &key, FlowKind kind, TimePoint now);

    /** Sets a phase other than FlowPhase::HalfOpen and removes the flow from the list of half-open flows. */
    void setPhase(Flow &flow, FlowPhase phase);
    /** Removes the flow, if the table has it. */
    void remove(const flow::FlowKey &key);

    std::size_t size() const;
    /** Number of feeds in the table. */
    std::uint32_t feeds() const;
    /** Key of the half-open flow that was accepted first; null if no flow is half open. */
    const flow::FlowKey *oldestHalfOpen() const;
    /** All flows, oldest first. */
    std::vector<OwnedFlow> list() const;

private:
    std::unordered_map<flow::FlowKey, Flow, SeededFlowHash> m_flows;
    std::list<flow::FlowKey> m_halfOpen;
    std::uint32_t m_feeds = 0;
};

} // namespace samphireswitch::admission
