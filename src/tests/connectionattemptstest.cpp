#include "balancer/connectionattempts.h"

#include "base/socketaddress.h"
#include "standin/loopbacknetwork.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;
using membership::ConnectionOutcome;

constexpr std::uint16_t s_port = 7720;

class ConnectionAttemptsTest : public testing::Test
{
protected:
    ConnectionAttemptsTest()
    {
        const sockaddr_in address = toSocketAddress(served);
        EXPECT_EQ(bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    ~ConnectionAttemptsTest() override
    {
        close(listener);
    }

    /** The outcome of an attempt that begins now; nothing if none ends. */
    std::optional<ConnectionOutcome> outcome(const Endpoint &endpoint)
    {
        attempts.begin({1, endpoint, 1}, Clock::now());
        const TimePoint limit = Clock::now() + tests::s_ampleTime;
        for (; Clock::now() < limit; std::this_thread::sleep_for(1ms)) {
            const auto ended = attempts.takeEnded(Clock::now());
            if (!ended.empty()) {
                return ended.front().outcome;
            }
        }
        return std::nullopt;
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint served {network.address(1), s_port};
    const Endpoint unserved {network.address(2), s_port};
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ConnectionAttempts attempts {100ms};
};

} // namespace

// Guards against a process that stands still and is taken for lost: it accepts nothing, but its system does.
TEST_F(ConnectionAttemptsTest, SystemAcceptsForAProcessThatStandsStill)
{
    ASSERT_EQ(listen(listener, 5), 0);
    EXPECT_EQ(outcome(served), ConnectionOutcome::Accepted);
}

// Guards against a process that has ended and is taken for lost with its machine.
TEST_F(ConnectionAttemptsTest, SystemRefusesForAProcessThatHasEnded)
{
    EXPECT_EQ(outcome(unserved), ConnectionOutcome::Refused);
}

// Guards against attempts that never end, and against waiting for each of them. A full queue of connections is as
// silent as a lost machine.
TEST_F(ConnectionAttemptsTest, AttemptWithoutAnAnswerEnds)
{
    ASSERT_EQ(listen(listener, 0), 0);
    ASSERT_EQ(outcome(served), ConnectionOutcome::Accepted) << "fills the queue";
    EXPECT_EQ(outcome(served), ConnectionOutcome::Unanswered);
}

// Guards against an agent that counts as lost because this process stood still during the attempt.
TEST_F(ConnectionAttemptsTest, AnswerThatWasReadLateCounts)
{
    ASSERT_EQ(listen(listener, 5), 0);
    const TimePoint begun = Clock::now();
    attempts.begin({1, served, 1}, begun);
    std::this_thread::sleep_for(20ms);
    const auto ended = attempts.takeEnded(begun + 5s);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().outcome, ConnectionOutcome::Accepted);
}

} // namespace samphireswitch::balancer
