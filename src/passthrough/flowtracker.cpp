#include "passthrough/flowtracker.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// Distance of a caller's acknowledgement number from its latest one, in bytes, up to which a packet belongs to the
// flow: several times as much as an end has in flight. A lower number also belongs to it down to the flow's first one.
constexpr std::uint32_t s_acknowledgementWindow = 76800;
// Number of requests in transmission that count as one busy slot. Their transmission takes several times as long as the
// work on them, but many of them may be complete at the same moment.
constexpr std::size_t s_sendingRequestsPerSlot = 8;

// Outcomes beyond this number are not kept until the next call of clearOutcomes().
constexpr std::size_t s_maximumOutcomes = 256;

/** Whether the sequence number @p left comes before @p right. Sequence numbers wrap around at 2^32. */
bool isBefore(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) < 0;
}

} // namespace

bool TrackedFlow::isAcknowledgedBy(std::uint32_t acknowledgementNumber) const
{
    return upstreamInitialSequence && acknowledgementNumber == *upstreamInitialSequence + 1;
}

bool TrackedFlow::canBelong(const flow::Segment &packet) const
{
    // A packet may have been delayed while the caller acknowledged any number of bytes.
    const std::uint32_t lowest = upstreamInitialSequence.value_or(callerAcknowledged) - s_acknowledgementWindow;
    const std::uint32_t highest = callerAcknowledged + s_acknowledgementWindow;
    return !packet.ack || packet.acknowledgementNumber - lowest <= highest - lowest;
}

bool TrackedFlow::beganWith(const flow::Segment &firstPacket) const
{
    const bool isHeld = phase == FlowPhase::HalfOpen || phase == FlowPhase::Open;
    return isHeld && callerInitialSequence.value_or(firstPacket.sequenceNumber) == firstPacket.sequenceNumber;
}

FlowTracker::FlowTracker(const TrackerSettings &settings)
    : m_settings(settings)
{
}

void FlowTracker::setSlots(std::size_t slots)
{
    m_slots = slots;
}

const TrackedFlow *FlowTracker::find(const flow::FlowKey &callerKey) const
{
    const auto found = m_flows.find(callerKey);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FlowTracker::open(const flow::Segment &firstPacket, TimePoint now)
{
    const auto found = m_flows.find(firstPacket.key);
    if (found != m_flows.end() && found->second.beganWith(firstPacket)) {
        found->second.lastPacket = now;
        return;
    }
    forget(firstPacket.key);
    TrackedFlow &tracked = m_flows[firstPacket.key];
    tracked.callerInitialSequence = firstPacket.sequenceNumber;
    tracked.callerNextSequence = firstPacket.sequenceNumber + 1;
    tracked.began = now;
    tracked.lastPacket = now;
    m_handshakes.emplace_back(now, firstPacket.key);
}

void FlowTracker::callerSent(const flow::Segment &packet, TimePoint now)
{
    const auto found = m_flows.find(packet.key);
    if (found == m_flows.end()) {
        return;
    }
    TrackedFlow &tracked = found->second;
    tracked.lastPacket = now;
    if (!tracked.callerHasAcknowledged || isBefore(tracked.callerAcknowledged, packet.acknowledgementNumber)) {
        tracked.callerAcknowledged = packet.acknowledgementNumber;
    }
    tracked.callerHasAcknowledged = true;
    const auto end = packet.sequenceNumber + static_cast<std::uint32_t>(packet.payloadSize);
    if (packet.payloadSize > 0 && isBefore(tracked.callerNextSequence, end)) {
        tracked.callerNextSequence = end;
        tracked.awaitsAnswerSince = now;
        setAwaitsAnswer(tracked, true);
        setSendingRequest(tracked, packet.payloadSize == m_settings.fullPacketData);
        const std::size_t complete = m_requestsWaiting - m_requestsSending;
        tracked.requestsBefore = static_cast<std::uint32_t>(complete - (tracked.isSendingRequest ? 0 : 1));
    }
    tracked.callerFin = tracked.callerFin || packet.fin;
    if (packet.rst) {
        tracked.callerFin = true;
        tracked.upstreamFin = true;
    }
    closeIfDone(tracked);
}

void FlowTracker::upstreamSent(const flow::Segment &packet, TimePoint now)
{
    const auto [position, isNew] = m_flows.try_emplace(flow::reversed(packet.key));
    TrackedFlow &tracked = position->second;
    tracked.lastPacket = now;
    if (isNew || tracked.phase == FlowPhase::NotOwned || tracked.phase == FlowPhase::Lost) {
        tracked.phase = FlowPhase::HalfOpen;
        tracked.began = now;
        tracked.callerNextSequence = packet.acknowledgementNumber;
        tracked.callerInitialSequence.reset();
    }
    if (!tracked.callerHasAcknowledged) {
        tracked.callerAcknowledged =
            packet.sequenceNumber + static_cast<std::uint32_t>(packet.payloadSize) + (packet.syn || packet.fin ? 1 : 0);
    }
    if (packet.syn) {
        tracked.callerInitialSequence = packet.acknowledgementNumber - 1;
        tracked.upstreamInitialSequence = packet.sequenceNumber;
        return;
    }
    if (tracked.phase == FlowPhase::HalfOpen) {
        setOpen(position->first, tracked);
    }
    if (packet.payloadSize > 0) {
        requestEnded(position->first, tracked, false, now);
        setAwaitsAnswer(tracked, false);
    }
    tracked.upstreamFin = tracked.upstreamFin || packet.fin;
    if (packet.rst) {
        requestEnded(position->first, tracked, true, now);
        tracked.callerFin = true;
        tracked.upstreamFin = true;
    }
    closeIfDone(tracked);
}

void FlowTracker::completeHandshake(const flow::FlowKey &callerKey)
{
    const auto found = m_flows.find(callerKey);
    if (found != m_flows.end() && found->second.phase == FlowPhase::HalfOpen) {
        setOpen(callerKey, found->second);
    }
}

void FlowTracker::markNotOwned(const flow::FlowKey &callerKey, TimePoint now)
{
    TrackedFlow &tracked = m_flows[callerKey];
    setAwaitsAnswer(tracked, false);
    tracked = {};
    tracked.phase = FlowPhase::NotOwned;
    tracked.lastPacket = now;
}

std::vector<flow::FlowKey> FlowTracker::takeOpened()
{
    return std::exchange(m_opened, {});
}

const std::vector<RequestOutcome> &FlowTracker::outcomes() const
{
    return m_outcomes;
}

void FlowTracker::clearOutcomes()
{
    m_outcomes.clear();
}

std::size_t
FlowTracker::countWaiting(const std::function<bool(const flow::FlowKey &, std::chrono::nanoseconds)> &isOverdue,
                          TimePoint now) const
{
    if (m_requestsWaiting == 0) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(m_flows, [&](const auto &flow) {
        return flow.second.awaitsAnswer && !flow.second.isSendingRequest
            && isOverdue(flow.first, now - flow.second.awaitsAnswerSince);
    }));
}

void FlowTracker::forget(const flow::FlowKey &callerKey)
{
    const auto found = m_flows.find(callerKey);
    if (found != m_flows.end()) {
        erase(found);
    }
}

std::vector<FlowTracker::LostFlow> FlowTracker::markLost()
{
    std::vector<LostFlow> lost;
    for (auto &[key, tracked] : m_flows) {
        setAwaitsAnswer(tracked, false);
        const FlowPhase phase = tracked.phase;
        if (phase != FlowPhase::Open && phase != FlowPhase::HalfOpen) {
            continue;
        }
        tracked.phase = FlowPhase::Lost;
        tracked.wasHalfOpen = phase == FlowPhase::HalfOpen;
        if (!tracked.wasHalfOpen) {
            lost.push_back({key, tracked.callerAcknowledged});
        }
    }
    m_handshakes.clear();
    return lost;
}

void FlowTracker::restoreLost()
{
    for (auto &[key, tracked] : m_flows) {
        if (tracked.phase == FlowPhase::Lost) {
            tracked.phase = tracked.wasHalfOpen ? FlowPhase::HalfOpen : FlowPhase::Open;
            tracked.wasHalfOpen = false;
        }
    }
}

void FlowTracker::stopWaitingForAnswers()
{
    for (auto &[key, tracked] : m_flows) {
        setAwaitsAnswer(tracked, false);
    }
}

void FlowTracker::expire(TimePoint now)
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        const auto current = position++;
        TrackedFlow &tracked = current->second;
        if (tracked.isSendingRequest && now - tracked.awaitsAnswerSince >= m_settings.transmissionTimeout) {
            setSendingRequest(tracked, false);
        }
        if (now - current->second.lastPacket >= timeoutOf(current->second.phase)) {
            erase(current);
        }
    }
}

std::size_t FlowTracker::busy(TimePoint now)
{
    while (!m_handshakes.empty() && now - m_handshakes.front().first >= m_settings.handshakeTime) {
        m_handshakes.pop_front();
    }
    const auto pending = std::ranges::count_if(m_handshakes, [this](const auto &handshake) {
        const TrackedFlow *tracked = find(handshake.second);
        return tracked != nullptr && tracked->phase == FlowPhase::HalfOpen;
    });
    const std::size_t working = m_requestsWaiting - m_requestsSending;
    return working + m_requestsSending / s_sendingRequestsPerSlot + static_cast<std::size_t>(pending);
}

std::size_t FlowTracker::requestsWaiting() const
{
    return m_requestsWaiting;
}

const LatencyHistogram &FlowTracker::answerTimes() const
{
    return m_answerTimes;
}

const ExpectedWait &FlowTracker::expectedWait() const
{
    return m_expectedWait;
}

std::size_t FlowTracker::size() const
{
    return m_flows.size();
}

bool FlowTracker::isFull() const
{
    return m_flows.size() >= m_settings.maximumFlows;
}

void FlowTracker::setAwaitsAnswer(TrackedFlow &tracked, bool awaits)
{
    if (!awaits) {
        setSendingRequest(tracked, false);
    }
    if (tracked.awaitsAnswer == awaits) {
        return;
    }
    tracked.awaitsAnswer = awaits;
    if (awaits) {
        ++m_requestsWaiting;
    } else {
        --m_requestsWaiting;
    }
}

void FlowTracker::setSendingRequest(TrackedFlow &tracked, bool sending)
{
    if (tracked.isSendingRequest == sending) {
        return;
    }
    tracked.isSendingRequest = sending;
    m_requestsSending += sending ? 1 : -1;
}

void FlowTracker::requestEnded(const flow::FlowKey &callerKey, const TrackedFlow &tracked, bool wasReset, TimePoint now)
{
    if (!tracked.awaitsAnswer) {
        return;
    }
    const auto serviceTime = now - tracked.awaitsAnswerSince;
    const auto occupied = slotTime(tracked, serviceTime);
    if (!wasReset) {
        m_answerTimes.record(serviceTime);
        m_expectedWait.answered(occupied);
    }
    if (m_outcomes.size() < s_maximumOutcomes) {
        m_outcomes.push_back({callerKey, serviceTime, occupied, wasReset});
    }
}

std::chrono::nanoseconds FlowTracker::slotTime(const TrackedFlow &tracked, std::chrono::nanoseconds answerTime) const
{
    const std::size_t requests = tracked.requestsBefore + std::size_t {1};
    if (m_slots == 0 || requests <= m_slots) {
        return answerTime;
    }
    // The upstream answers as many requests as it has slots in each slot time.
    return answerTime * static_cast<std::int64_t>(m_slots) / static_cast<std::int64_t>(requests);
}

void FlowTracker::setOpen(const flow::FlowKey &callerKey, TrackedFlow &tracked)
{
    tracked.phase = FlowPhase::Open;
    m_opened.push_back(callerKey);
}

void FlowTracker::closeIfDone(TrackedFlow &tracked)
{
    if (!tracked.callerFin || !tracked.upstreamFin) {
        return;
    }
    tracked.phase = FlowPhase::Closed;
    setAwaitsAnswer(tracked, false);
}

std::chrono::milliseconds FlowTracker::timeoutOf(FlowPhase phase) const
{
    switch (phase) {
    case FlowPhase::HalfOpen:
        return m_settings.halfOpenTimeout;
    case FlowPhase::Open:
    case FlowPhase::Lost:
        return m_settings.idleTimeout;
    case FlowPhase::Closed:
        return m_settings.closedTimeout;
    case FlowPhase::NotOwned:
        return m_settings.notOwnedTimeout;
    }
    return m_settings.idleTimeout;
}

void FlowTracker::erase(Flows::iterator position)
{
    setAwaitsAnswer(position->second, false);
    m_flows.erase(position);
}

} // namespace samphireswitch::passthrough
