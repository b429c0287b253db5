#pragma once

#include "base/identifiers.h"
#include "telemetry/recentevents.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace samphireswitch::telemetry {

/** One entry of the time line. Empty fields do not apply. */
struct EventRecord
{
    /** Position in the process's own log, from 1. */
    std::uint64_t sequence = 0;
    std::string process;
    std::string kind;
    std::chrono::system_clock::time_point wallClock;
    /** Lamport time: higher than that of every event that this one may depend on. */
    std::uint64_t logicalTime = 0;
    std::string flow;
    std::string service;
    std::string host;
    Generation generation = 0;
    std::string detail;
};

/**
 * Bounded log of a process's events, its last resets of callers with all that they rest on, and the last packets that
 * reached an upstream in vain. When it is full, the oldest events are discarded. Safe from every thread.
 */
class EventLog
{
public:
    EventLog(std::string process, std::size_t capacity);

    /** Records @p event; process, sequence, wall clock and logical time are filled in here. */
    void record(EventRecord event);

    /** Takes note of a logical time that came with a message from another process. */
    void observe(std::uint64_t logicalTime);

    std::uint64_t logicalTime() const;

    /** The events with a sequence above @p since, in order. */
    std::vector<EventRecord> eventsSince(std::uint64_t since) const;

    /** Resets of callers for packets other than first ones. */
    RecentEvents &flowResets();
    /** Resets of callers whose first packets nobody accepted. */
    RecentEvents &firstPacketResets();
    /** The lines of both, for operators. */
    std::string resetText() const;
    /** Packets, other than first ones, that the upstream returned because it does not hold their flow. */
    RecentEvents &returnedPackets();
    const RecentEvents &returnedPackets() const;
    /** Writes the resets and the returned packets to the log; call at the end of the process. */
    void logRecent() const;

private:
    static constexpr std::size_t s_keptResets = 64;
    /** After a restart of all processes, each flow that is searched for may lead to one at each agent. */
    static constexpr std::size_t s_keptReturns = 256;

    std::uint64_t lastSequence() const;
    /** Appends the first events with a sequence above @p since. Returns false if there is none. */
    bool copyChunk(std::uint64_t since, std::vector<EventRecord> &events) const;

    mutable std::mutex m_mutex;
    std::string m_process;
    std::size_t m_capacity;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_logicalTime = 0;
    std::deque<EventRecord> m_events;
    RecentEvents m_flowResets {s_keptResets};
    RecentEvents m_firstPacketResets {s_keptResets};
    RecentEvents m_returnedPackets {s_keptReturns};
};

} // namespace samphireswitch::telemetry
