#include "passthrough/newflowadmission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t s_plans = 60;
constexpr auto s_duration = 1500ms;
const TimePoint s_start = TimePoint() + 1h;
const protocol::Candidate s_self {AgentId {1}, {0x0a010017, 8172}};
constexpr std::uint32_t s_address = 0xc6120001;
constexpr std::array<std::chrono::milliseconds, 3> s_copyAge {0ms, 200ms, 600ms};
/** Every so many arrivals one is followed until it is answered. */
constexpr std::uint32_t s_followedInterval = 5;

struct Plan
{
    /** By the port of the service. */
    std::vector<RequestTerms> terms;
    std::uint32_t slots = 1;
    std::chrono::milliseconds serviceTime {1};
    /** Mean number of new callers per millisecond. */
    double arrivals = 0;
};

Plan randomPlan(std::mt19937_64 &random)
{
    const auto between = [&random](int low, int high) { return std::uniform_int_distribution(low, high)(random); };
    Plan plan;
    for (int priority = 0, count = between(1, 3); priority < count; ++priority) {
        RequestTerms terms;
        terms.latencyTarget = std::chrono::milliseconds(between(0, 3) * 150);
        terms.deadline = std::chrono::milliseconds(between(1, 8) * 100);
        terms.priority = static_cast<std::uint8_t>(priority);
        plan.terms.push_back(terms);
    }
    plan.slots = static_cast<std::uint32_t>(between(1, 5));
    plan.serviceTime = std::chrono::milliseconds(between(5, 60));
    plan.arrivals = between(8, 30) / 10.0 * plan.slots / static_cast<double>(plan.serviceTime.count());
    return plan;
}

flow::Segment firstPacket(std::uint32_t caller, std::uint16_t port, std::uint32_t copy)
{
    flow::Segment packet;
    packet.key = {{caller, 1}, {s_address, port}};
    packet.sequenceNumber = 1000;
    packet.syn = true;
    packet.synRetransmissions = copy;
    return packet;
}

flow::Segment request(const flow::FlowKey &key)
{
    flow::Segment packet;
    packet.key = key;
    packet.sequenceNumber = 1001;
    packet.acknowledgementNumber = 5001;
    packet.payloadSize = 100;
    packet.ack = true;
    return packet;
}

flow::Segment answer(const flow::FlowKey &key)
{
    flow::Segment packet;
    packet.key = flow::reversed(key);
    packet.sequenceNumber = 5001;
    packet.acknowledgementNumber = 1101;
    packet.payloadSize = 100;
    packet.ack = true;
    return packet;
}

/** An upstream that works on as many requests as it has slots, in order of arrival, and on each for the same time. */
class Host
{
public:
    explicit Host(const Plan &plan)
        : m_slots(plan.slots)
        , m_serviceTime(plan.serviceTime)
    {
    }

    void take(const flow::FlowKey &key, TimePoint now)
    {
        m_requests.push_back({key, now + m_serviceTime});
        if (m_requests.size() > m_slots) {
            m_requests.back().second = m_requests[m_requests.size() - m_slots - 1].second + m_serviceTime;
        }
    }

    std::optional<TimePoint> nextAnswer() const
    {
        return m_requests.empty() ? std::nullopt : std::optional(m_requests.front().second);
    }

    flow::FlowKey answerNext()
    {
        const flow::FlowKey key = m_requests.front().first;
        m_requests.pop_front();
        return key;
    }

private:
    std::size_t m_slots;
    std::chrono::milliseconds m_serviceTime;
    /** With the times of the answers, the earliest first. */
    std::deque<std::pair<flow::FlowKey, TimePoint>> m_requests;
};

/** An agent with its upstream. */
class Station
{
public:
    explicit Station(const Plan &plan)
        : m_host(plan)
    {
        UpstreamReport report;
        report.id = "i";
        report.service = "tally";
        report.slots = plan.slots;
        report.sequence = 2;
        m_upstream.registration.apply(report, s_start);
        setTerms(plan.terms);
    }

    void setTerms(const std::vector<RequestTerms> &terms)
    {
        std::vector<ServedDestination> destinations;
        destinations.reserve(terms.size());
        for (const RequestTerms &service : terms) {
            destinations.push_back({{s_address, static_cast<std::uint16_t>(destinations.size())}, service});
        }
        m_admission.setServed({1, destinations, {}});
    }

    /** Handles the answers that are due, as the packet path does before it handles first packets. */
    void answerDue(TimePoint now)
    {
        while (m_host.nextAnswer() && *m_host.nextAnswer() <= now) {
            finish(m_host.answerNext(), now);
        }
    }

    Decision arrive(const flow::Segment &packet, TimePoint now)
    {
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.generation = 1;
        header.chain.push_back(s_self);
        Decision decision = m_admission.decide(header, packet, m_upstream, now);
        if (std::holds_alternative<DeliverToUpstream>(decision.action)) {
            deliver(packet.key, now);
        }
        return decision;
    }

    /** Returns the packet that got a free slot, if one did. */
    std::optional<flow::FlowKey> release(TimePoint now)
    {
        const auto released = m_admission.releaseHeld(m_upstream, now);
        if (!released) {
            return std::nullopt;
        }
        deliver(released->packet.key, now);
        return released->packet.key;
    }

    /** When the request of @p key is answered if no other caller arrives, or nothing if its packet expires before. */
    std::optional<TimePoint> answerTime(const flow::FlowKey &key, TimePoint now) const
    {
        Station later = *this;
        while (later.release(now)) { }
        while (const auto next = later.m_host.nextAnswer()) {
            const flow::FlowKey answered = later.m_host.answerNext();
            if (answered == key) {
                return next;
            }
            later.finish(answered, *next);
            while (later.release(*next)) { }
        }
        return std::nullopt;
    }

    const HeldFirstPackets &held() const
    {
        return m_admission.held();
    }

    bool knowsSlotTime() const
    {
        return m_upstream.tracker.expectedWait().isKnown();
    }

    void expire(TimePoint now)
    {
        m_admission.expire(m_upstream, now);
    }

private:
    void deliver(const flow::FlowKey &key, TimePoint now)
    {
        m_admission.upstreamResponded();
        m_upstream.tracker.completeHandshake(key);
        m_upstream.tracker.callerSent(request(key), now);
        m_host.take(key, now);
    }

    void finish(const flow::FlowKey &key, TimePoint now)
    {
        m_upstream.tracker.upstreamSent(answer(key), now);
        m_upstream.tracker.forget(key);
    }

    UpstreamState m_upstream {{.reportTimeout = 1h}, {}};
    NewFlowAdmission m_admission {s_self, {}};
    Host m_host;
};

/** Callers of several priorities at a station; checks who gets slots and who is refused on arrival. */
class RandomLoad
{
public:
    explicit RandomLoad(std::uint64_t seed)
        : m_random(seed)
        , m_plan(randomPlan(m_random))
        , m_station(m_plan)
    {
    }

    void run()
    {
        std::poisson_distribution<int> arrivals(m_plan.arrivals);
        for (TimePoint now = s_start; now < s_start + s_duration; now += 1ms) {
            m_station.answerDue(now);
            for (int count = arrivals(m_random); count > 0; --count) {
                arrive(now);
            }
            m_station.expire(now);
            for (auto before = m_station.held().sizeByPriority(); const auto key = m_station.release(now);
                 before = m_station.held().sizeByPriority()) {
                gotSlot(priorityOf(*key), before);
            }
        }
    }

    std::uint64_t contended() const
    {
        return m_contended;
    }

    /** Number of followed callers that were refused on arrival. */
    std::uint64_t refused() const
    {
        return m_refused;
    }

    /** Number of these that would have been answered long before their deadlines. */
    std::uint64_t refusedInTime() const
    {
        return m_refusedInTime;
    }

private:
    std::uint8_t priorityOf(const flow::FlowKey &key) const
    {
        return m_plan.terms[key.destination.port].priority;
    }

    void arrive(TimePoint now)
    {
        const auto port = std::uniform_int_distribution<std::size_t>(0, m_plan.terms.size() - 1)(m_random);
        const std::uint32_t copy = m_random() % s_copyAge.size();
        const flow::Segment packet = firstPacket(m_nextCaller++, static_cast<std::uint16_t>(port), copy);
        const bool isFollowed = m_nextCaller % s_followedInterval == 0 && m_station.knowsSlotTime();
        const auto answeredAt = isFollowed ? answerTimeOf(packet, now) : std::nullopt;
        m_station.expire(now);
        auto waiting = m_station.held().sizeByPriority();
        const Decision decision = m_station.arrive(packet, now);
        if (decision.cause == Cause::Accepted) {
            ++waiting[priorityOf(packet.key)];
            gotSlot(priorityOf(packet.key), waiting);
        }
        if (answeredAt) {
            checkRefusal(decision, *answeredAt - (now - s_copyAge[copy]), m_plan.terms[port].deadline);
        }
    }

    /** When @p packet, if it is not refused for its deadline, would be answered. */
    std::optional<TimePoint> answerTimeOf(const flow::Segment &packet, TimePoint now) const
    {
        Station station = m_station;
        auto terms = m_plan.terms;
        terms[packet.key.destination.port].deadline = 0ms;
        station.setTerms(terms);
        station.arrive(packet, now);
        return station.answerTime(packet.key, now);
    }

    /** @p waiting are the numbers of packets by priority that might have got the slot. */
    void gotSlot(std::uint8_t priority, const std::map<std::uint8_t, std::size_t> &waiting)
    {
        if (waiting.size() < 2) {
            return;
        }
        ++m_contended;
        m_lowerTurns += waiting.begin()->first < priority ? 1 : 0;
        EXPECT_LE(m_lowerTurns, m_contended / PriorityTurns::s_turnsPerSharedTurn)
            << "a higher priority waits behind a lower one beyond its share";
    }

    /** @p latency is that of a caller that waits for its turn, from the start of its request. */
    void checkRefusal(const Decision &decision, TimePoint::duration latency, std::chrono::milliseconds deadline)
    {
        // The agent does not know how far the requests under way have got.
        const auto tolerance = m_plan.serviceTime + m_plan.serviceTime / 2;
        if (decision.cause == Cause::Held) {
            EXPECT_LT(latency - tolerance, deadline) << "held though it cannot be answered";
        } else if (decision.cause == Cause::WouldBeLate) {
            ++m_refused;
            // Packets before it may expire, which the agent does not foresee.
            m_refusedInTime += latency + tolerance <= deadline ? 1 : 0;
        }
    }

    std::mt19937_64 m_random;
    Plan m_plan;
    Station m_station;
    std::uint32_t m_nextCaller = 1;
    std::uint64_t m_contended = 0;
    std::uint64_t m_lowerTurns = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedInTime = 0;
};

} // namespace

// Guards against a request of a higher priority that waits behind a lower one for a free slot beyond the share of the
// lower ones, also one that arrives just as a slot becomes free; against requests that are held though they cannot be
// answered before their deadline; and against refusals of requests that can.
TEST(NewFlowAdmissionRandomLoadTest, KeepsPrioritiesAndRefusesWhatWouldBeLate)
{
    std::uint64_t contended = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedInTime = 0;
    for (std::uint64_t seed = 1; seed <= s_plans; ++seed) {
        SCOPED_TRACE(seed);
        RandomLoad load(seed);
        load.run();
        contended += load.contended();
        refused += load.refused();
        refusedInTime += load.refusedInTime();
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(contended, 1000U);
    EXPECT_GT(refused, 1000U);
    EXPECT_LT(refusedInTime * 100, refused) << "of " << refused << ", " << refusedInTime << " could be answered";
}

} // namespace samphireswitch::passthrough
