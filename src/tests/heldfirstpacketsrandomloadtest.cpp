#include "passthrough/heldfirstpackets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::chrono::milliseconds, 3> s_copyAge {0ms, 200ms, 600ms};
/** When the caller sends the next copy or gives up. */
constexpr std::array<std::chrono::milliseconds, 3> s_nextAge {200ms, 600ms, 1400ms};
constexpr auto s_duration = 3s;
constexpr std::uint64_t s_plans = 80;

struct Plan
{
    std::vector<RequestTerms> terms;
    /** Mean number of new callers per millisecond. */
    double arrivals = 0;
    /** Time between two free slots. */
    std::chrono::milliseconds slotInterval {1};
};

Plan randomPlan(std::mt19937_64 &random)
{
    const auto between = [&random](int low, int high) { return std::uniform_int_distribution(low, high)(random); };
    Plan plan;
    for (int priority = 0, count = between(1, 4); priority < count; ++priority) {
        RequestTerms terms;
        terms.latencyTarget = std::chrono::milliseconds(between(0, 3) * 200);
        terms.deadline = std::chrono::milliseconds(between(0, 3) * 400);
        terms.priority = static_cast<std::uint8_t>(priority * between(1, 2));
        plan.terms.push_back(terms);
    }
    plan.slotInterval = std::chrono::milliseconds(between(1, 12));
    plan.arrivals = between(5, 40) / 10.0 / static_cast<double>(plan.slotInterval.count());
    return plan;
}

/** A caller that waits at the queue, as the test knows it. */
struct Waiting
{
    RequestTerms terms;
    std::uint32_t copy = 0;
    TimePoint startedAt;
    TimePoint arrivedAt;

    bool isOnTime(TimePoint now) const
    {
        return terms.isOnTime(startedAt, now);
    }
    /** Whether the caller still waits for this copy, and can be answered before its deadline. */
    bool isAlive(TimePoint now) const
    {
        return now < startedAt + s_nextAge[copy] && !terms.isPastDeadline(startedAt, now);
    }
};

/** Callers with retransmissions at a queue; checks each turn against the promises of the queue. */
class RandomLoad
{
public:
    explicit RandomLoad(std::uint64_t seed)
        : m_random(seed)
        , m_plan(randomPlan(m_random))
    {
    }

    void run()
    {
        const TimePoint start = TimePoint() + 1h;
        std::poisson_distribution<int> arrivals(m_plan.arrivals);
        for (TimePoint now = start; now < start + s_duration; now += 1ms) {
            repeatCopies(now);
            for (int count = arrivals(m_random); count > 0; --count) {
                arrive(now);
            }
            if ((now - start) % m_plan.slotInterval == 0ms) {
                takeTurn(now);
            }
        }
    }

private:
    void arrive(TimePoint now)
    {
        const auto index = std::uniform_int_distribution<std::size_t>(0, m_plan.terms.size() - 1)(m_random);
        hold(m_nextCaller++, {m_plan.terms[index], 0, now, now}, now);
    }

    void repeatCopies(TimePoint now)
    {
        // A copy that is held may displace another caller.
        const auto callers = m_callers;
        for (const auto &[caller, waiting] : callers) {
            if (!m_callers.contains(caller) || now < waiting.startedAt + s_nextAge[waiting.copy]) {
                continue;
            }
            if (waiting.copy + 1 == s_copyAge.size()) {
                m_callers.erase(caller);
                continue;
            }
            hold(caller, {waiting.terms, waiting.copy + 1, waiting.startedAt, now}, now);
        }
    }

    void hold(std::uint32_t caller, const Waiting &waiting, TimePoint now)
    {
        flow::Segment packet;
        packet.key = {{caller, 1}, {0xc6120001, 443}};
        packet.syn = true;
        packet.synRetransmissions = waiting.copy;
        m_callers[caller] = waiting;
        const auto displaced = m_held.hold({}, packet, waiting.terms, now);
        EXPECT_LE(m_held.size(), HeldFirstPackets::s_capacity);
        if (!displaced) {
            return;
        }
        for (const auto &[priority, count] : m_held.sizeByPriority()) {
            EXPECT_TRUE(priority <= displaced->terms.priority || count <= HeldFirstPackets::s_reservedPlaces)
                << "a lower priority was kept beyond its places";
        }
        EXPECT_LT(m_held.sizeByPriority().begin()->first, displaced->terms.priority) << "nobody to give way to";
        m_callers.erase(displaced->packet.key.source.address);
    }

    void takeTurn(TimePoint now)
    {
        m_held.expire(now);
        const auto waiting = m_held.sizeByPriority();
        const auto taken = m_held.takeNext(now);
        EXPECT_EQ(taken.has_value(), !waiting.empty()) << "a slot stays free";
        if (!taken) {
            return;
        }
        const std::uint32_t caller = taken->packet.key.source.address;
        ASSERT_TRUE(m_callers.contains(caller)) << "served twice, or after it was told that it is not";
        const Waiting served = m_callers[caller];
        EXPECT_TRUE(served.isAlive(now));
        EXPECT_EQ(served.copy, taken->packet.synRetransmissions);
        m_callers.erase(caller);
        checkPriority(served.terms.priority, waiting);
        checkOrder(served, now);
    }

    /** @p waiting are the counts before the turn. */
    void checkPriority(std::uint8_t served, const std::map<std::uint8_t, std::size_t> &waiting)
    {
        if (waiting.size() > 1) {
            ++m_contended;
            const bool isLower = waiting.begin()->first < served;
            m_lowerTurns += isLower ? 1 : 0;
            EXPECT_EQ(m_lowerTurns, m_contended / PriorityTurns::s_turnsPerSharedTurn)
                << "lower priorities get exactly their share";
        }
        for (const RequestTerms &terms : m_plan.terms) {
            const bool waits = waiting.contains(terms.priority) && terms.priority != served;
            std::uint64_t &passedOver = m_passedOver[terms.priority];
            passedOver = waits ? passedOver + 1 : 0;
            // Two plans may give the same priority, so that this counts some turns twice.
            EXPECT_LE(passedOver, m_plan.terms.size() * m_plan.terms.size() * PriorityTurns::s_turnsPerSharedTurn)
                << "priority " << int {terms.priority} << " starves";
        }
    }

    void checkOrder(const Waiting &served, TimePoint now)
    {
        bool hasOnTime = false;
        for (const HeldFirstPacket &other : remaining(now)) {
            if (other.terms.priority != served.terms.priority) {
                continue;
            }
            const bool isOnTime = other.terms.isOnTime(other.startedAt, now);
            hasOnTime = hasOnTime || isOnTime;
            if (isOnTime == served.isOnTime(now)) {
                EXPECT_TRUE(isOnTime ? other.startedAt <= served.startedAt : other.startedAt >= served.startedAt);
            }
        }
        std::uint64_t &turns = m_turns[served.terms.priority];
        ++turns;
        if (hasOnTime && !served.isOnTime(now)) {
            EXPECT_EQ(turns % PriorityTurns::s_turnsPerLateTurn, 0U) << "a late one goes before one on time";
        }
    }

    /** What a copy of the queue would still serve at @p now. */
    std::vector<HeldFirstPacket> remaining(TimePoint now) const
    {
        HeldFirstPackets copy = m_held;
        std::vector<HeldFirstPacket> packets;
        while (const auto next = copy.takeNext(now)) {
            packets.push_back(*next);
        }
        return packets;
    }

    std::mt19937_64 m_random;
    Plan m_plan;
    HeldFirstPackets m_held;
    /** Callers that have been neither served nor refused nor given up. */
    std::map<std::uint32_t, Waiting> m_callers;
    std::map<std::uint8_t, std::uint64_t> m_turns;
    std::map<std::uint8_t, std::uint64_t> m_passedOver;
    std::uint32_t m_nextCaller = 1;
    std::uint64_t m_contended = 0;
    std::uint64_t m_lowerTurns = 0;
};

flow::Segment firstPacket(std::uint32_t caller, std::uint32_t copy = 0)
{
    flow::Segment packet;
    packet.key = {{caller, 1}, {0xc6120001, 443}};
    packet.syn = true;
    packet.synRetransmissions = copy;
    return packet;
}

} // namespace

// Guards against a request of a higher priority that waits behind a lower one beyond the share of the lower ones,
// against starvation of a low priority, against a packet that is held past its deadline or past its caller's next copy,
// and against a packet that is served twice or after its refusal.
TEST(HeldFirstPacketsRandomLoadTest, KeepsPrioritiesSharesAndTimes)
{
    for (std::uint64_t seed = 1; seed <= s_plans; ++seed) {
        SCOPED_TRACE(seed);
        RandomLoad(seed).run();
        if (HasFailure()) {
            return;
        }
    }
}

// Guards against a change of the order where the configuration gives all requests the same priority and no deadline:
// the newest on time first, and every eighth turn the oldest late one.
TEST(HeldFirstPacketsRandomLoadTest, EqualPrioritiesKeepTheOrderByTime)
{
    for (std::uint64_t seed = 1; seed <= s_plans; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937_64 random(seed);
        const RequestTerms terms {150ms, 0ms, 3};
        HeldFirstPackets held;
        std::vector<HeldFirstPacket> expected;
        std::uint64_t turn = 0;
        const TimePoint start;
        for (int step = 0; step < 60; ++step) {
            const TimePoint now = start + step * 1ms;
            const std::uint32_t copy = random() % 2;
            const flow::Segment packet = firstPacket(static_cast<std::uint32_t>(step + 1), copy);
            EXPECT_FALSE(held.hold({}, packet, terms, now));
            expected.push_back({{}, packet, terms, now - s_copyAge[copy], now});
            std::ranges::stable_sort(expected, {}, &HeldFirstPacket::startedAt);
            if (random() % 2 == 0) {
                continue;
            }
            const auto isLate = [now](const auto &one) { return !one.terms.isOnTime(one.startedAt, now); };
            const bool takesLate = (++turn % 8 == 0 || isLate(expected.back())) && isLate(expected.front());
            const auto position = takesLate ? expected.begin() : std::prev(expected.end());
            const auto taken = held.takeNext(now);
            ASSERT_TRUE(taken);
            EXPECT_EQ(taken->packet.key, position->packet.key);
            expected.erase(position);
        }
    }
}

// Guards against an estimate of the wait that has little to do with the order of service, by which requests would be
// refused that could be answered.
TEST(HeldFirstPacketsRandomLoadTest, TurnsBeforeAPacketAreThoseOfTheOrderOfService)
{
    for (std::uint64_t seed = 1; seed <= s_plans; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937_64 random(seed);
        const Plan plan = randomPlan(random);
        HeldFirstPackets held;
        const TimePoint now = TimePoint() + 1h;
        const auto randomTerms = [&] {
            RequestTerms terms = plan.terms[random() % plan.terms.size()];
            terms.deadline = 0ms;
            return terms;
        };
        const std::size_t size = random() % (HeldFirstPackets::s_capacity - 1);
        for (std::uint32_t caller = 1; caller <= size; ++caller) {
            held.hold({}, firstPacket(caller, random() % 2), randomTerms(), now - 10ms);
        }
        const flow::Segment packet = firstPacket(1000, random() % 2);
        const RequestTerms terms = randomTerms();
        const std::size_t estimate = held.turnsBefore(packet, terms, now);
        held.hold({}, packet, terms, now);
        std::size_t turns = 0;
        for (auto next = held.takeNext(now); next && next->packet.key != packet.key; next = held.takeNext(now)) {
            ++turns;
        }
        // The turns for late requests and for lower priorities come in between.
        EXPECT_LE(static_cast<double>(turns), 1.35 * static_cast<double>(estimate) + 2);
        EXPECT_GE(static_cast<double>(turns), 0.75 * static_cast<double>(estimate) - 10);
    }
}

// Guards against starvation of the lowest priority under permanent overload by the highest.
TEST(HeldFirstPacketsRandomLoadTest, LowestPriorityGetsItsShareOfPermanentOverload)
{
    HeldFirstPackets held;
    const TimePoint start = TimePoint() + 1h;
    std::uint32_t caller = 1;
    std::array<int, 2> served {};
    for (TimePoint now = start; now < start + 4s; now += 4ms) {
        for (int arrival = 0; arrival < 3; ++arrival) {
            held.hold({}, firstPacket(caller++), {200ms, 1000ms, 0}, now);
        }
        held.hold({}, firstPacket(caller++), {200ms, 1000ms, 1}, now);
        const auto taken = held.takeNext(now);
        ASSERT_TRUE(taken);
        ++served[taken->terms.priority];
    }
    EXPECT_EQ(served[0] + served[1], 1000);
    EXPECT_GE(served[1], 90);
    EXPECT_LE(served[1], 100);
}

} // namespace samphireswitch::passthrough
