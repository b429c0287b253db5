#include "telemetry/eventlog.h"

#include <algorithm>

namespace samphireswitch::telemetry {

namespace {

// A thread that records waits while a chunk is copied. Copying 10,000 events at once takes 4 ms, in which a packet path
// would receive more than a thousand packets.
constexpr std::size_t s_chunkSize = 64;

} // namespace

EventLog::EventLog(std::string process, std::size_t capacity)
    : m_process(std::move(process))
    , m_capacity(capacity)
{
}

void EventLog::record(EventRecord event)
{
    const std::lock_guard lock(m_mutex);
    event.process = m_process;
    event.sequence = m_nextSequence;
    event.wallClock = std::chrono::system_clock::now();
    ++m_logicalTime;
    event.logicalTime = m_logicalTime;
    ++m_nextSequence;
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
    }
}

void EventLog::observe(std::uint64_t logicalTime)
{
    const std::lock_guard lock(m_mutex);
    m_logicalTime = std::max(m_logicalTime, logicalTime);
}

std::uint64_t EventLog::logicalTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_logicalTime;
}

std::vector<EventRecord> EventLog::eventsSince(std::uint64_t since) const
{
    std::vector<EventRecord> events;
    const std::uint64_t last = lastSequence();
    // Keeps reallocation out of the locked part.
    events.reserve(std::min(m_capacity, since < last ? last - since : 0) + s_chunkSize);
    while (since < last && copyChunk(since, events)) {
        since = events.back().sequence;
    }
    return events;
}

RecentEvents &EventLog::flowResets()
{
    return m_flowResets;
}

RecentEvents &EventLog::firstPacketResets()
{
    return m_firstPacketResets;
}

std::string EventLog::resetText() const
{
    return m_flowResets.text() + m_firstPacketResets.text();
}

RecentEvents &EventLog::returnedPackets()
{
    return m_returnedPackets;
}

const RecentEvents &EventLog::returnedPackets() const
{
    return m_returnedPackets;
}

void EventLog::logRecent() const
{
    m_flowResets.writeToLog("flow-resets");
    m_firstPacketResets.writeToLog("first-packet-resets");
    m_returnedPackets.writeToLog("returned-packets");
}

std::uint64_t EventLog::lastSequence() const
{
    const std::lock_guard lock(m_mutex);
    return m_nextSequence - 1;
}

bool EventLog::copyChunk(std::uint64_t since, std::vector<EventRecord> &events) const
{
    const std::lock_guard lock(m_mutex);
    if (m_events.empty() || since >= m_events.back().sequence) {
        return false;
    }
    const std::uint64_t oldest = m_events.front().sequence;
    const std::size_t begin = since < oldest ? 0 : since - oldest + 1;
    const std::size_t end = std::min(m_events.size(), begin + s_chunkSize);
    for (std::size_t index = begin; index < end; ++index) {
        events.push_back(m_events[index]);
    }
    return true;
}

} // namespace samphireswitch::telemetry
