#include "passthrough/locationannouncer.h"
#include "routing/candidatechain.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr std::uint64_t s_self = 1;
constexpr std::uint32_t s_sequence = 5000;

Peer peer(std::uint64_t number, std::uint64_t incarnation = 1)
{
    return {{AgentId {mixHash(number, 1)}, {0x0a010000, static_cast<std::uint16_t>(number)}}, incarnation};
}

std::vector<Peer> peers(std::uint64_t count)
{
    std::vector<Peer> result;
    for (std::uint64_t number = 1; number <= count; ++number) {
        result.push_back(peer(number));
    }
    return result;
}

flow::FlowKey key(std::uint16_t port)
{
    return {{0x64400007, port}, {0xc6120001, 443}};
}

bool isAlwaysOpen(const flow::FlowKey &)
{
    return true;
}

/** The agents that @p messages tell the owner of each flow. */
std::map<std::uint16_t, std::set<std::uint16_t>> informedOf(const std::vector<LocationMessage> &messages)
{
    std::map<std::uint16_t, std::set<std::uint16_t>> informed;
    for (const LocationMessage &message : messages) {
        const auto *records = std::get_if<protocol::LocationRecords>(&message.message);
        if (records == nullptr) {
            continue;
        }
        for (const protocol::LocatedFlow &flow : records->flows) {
            informed[flow.key.source.port].insert(message.to.port);
        }
    }
    return informed;
}

std::size_t requestsIn(const std::vector<LocationMessage> &messages)
{
    return static_cast<std::size_t>(std::ranges::count_if(messages, [](const LocationMessage &message) {
        return std::holds_alternative<protocol::LocationRequest>(message.message);
    }));
}

} // namespace

// Guards against owners that have their flows recorded by other agents than those that a search asks first.
TEST(LocationAnnouncerTest, RecordsGoToTheAgentsThatRankHighest)
{
    LocationAnnouncer announcer(peer(s_self).candidate);
    announcer.setPeers(peers(52));
    std::vector<protocol::Candidate> all;
    for (const Peer &member : peers(52)) {
        all.push_back(member.candidate);
    }
    for (std::uint16_t port = 1; port <= 200; ++port) {
        announcer.add({key(port), s_sequence});
    }
    const auto informed = informedOf(announcer.takeDue(s_start, isAlwaysOpen));
    for (std::uint16_t port = 1; port <= 200; ++port) {
        protocol::CandidateChain ranked;
        routing::appendRanked(key(port), all, routing::s_locationCopies + 1, ranked);
        ASSERT_EQ(informed.at(port).size(), routing::s_locationCopies);
        for (const std::uint16_t agent : informed.at(port)) {
            const bool isAskedFirst = std::ranges::any_of(
                ranked, [agent](const protocol::Candidate &candidate) { return candidate.endpoint.port == agent; });
            EXPECT_TRUE(isAskedFirst) << "port " << port;
            EXPECT_NE(agent, s_self);
        }
    }
}

// Guards against control traffic that grows with the rate of requests: a flow that ends at once is not announced.
TEST(LocationAnnouncerTest, FlowsThatHaveEndedAreNotAnnounced)
{
    LocationAnnouncer announcer(peer(s_self).candidate);
    announcer.setPeers(peers(12));
    announcer.add({key(1), s_sequence});
    announcer.add({key(2), s_sequence});
    const auto isSecond = [](const flow::FlowKey &flow) { return flow == key(2); };
    const auto informed = informedOf(announcer.takeDue(s_start, isSecond));
    EXPECT_FALSE(informed.contains(1));
    EXPECT_TRUE(informed.contains(2));
    EXPECT_EQ(announcer.size(), 1U);
}

// Guards against records that are missing after the agents that kept them have restarted or left, and against a burst
// of messages about all flows whenever one agent restarts.
TEST(LocationAnnouncerTest, ChangeOfOnePeerAnnouncesOnlyTheFlowsThatItConcerns)
{
    constexpr std::uint16_t flows = 400;
    LocationAnnouncer announcer(peer(s_self).candidate);
    announcer.setPeers(peers(52));
    for (std::uint16_t port = 1; port <= flows; ++port) {
        announcer.add({key(port), s_sequence});
    }
    const auto before = informedOf(announcer.takeDue(s_start, isAlwaysOpen));
    std::vector<Peer> restarted = peers(52);
    restarted[9] = peer(10, 2);
    announcer.setPeers(restarted);
    const auto afterRestart = informedOf(announcer.takeDue(s_start + 100ms, isAlwaysOpen));
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const bool isHolder = before.at(port).contains(10);
        EXPECT_EQ(afterRestart.contains(port), isHolder) << port;
        EXPECT_TRUE(!isHolder || afterRestart.at(port) == std::set<std::uint16_t> {10}) << port;
    }
    std::vector<Peer> left = restarted;
    left.erase(left.begin() + 9);
    announcer.setPeers(left);
    const auto afterLeave = informedOf(announcer.takeDue(s_start + 200ms, isAlwaysOpen));
    for (std::uint16_t port = 1; port <= flows; ++port) {
        EXPECT_EQ(afterLeave.contains(port), before.at(port).contains(10)) << port;
        EXPECT_TRUE(!afterLeave.contains(port) || afterLeave.at(port).size() == 1) << port;
    }
}

// Guards against records that expire while the flow is open because its owner announced it only once.
TEST(LocationAnnouncerTest, RecordsAreRefreshedUntilTheFlowEnds)
{
    LocationAnnouncer announcer(peer(s_self).candidate);
    announcer.setPeers(peers(12));
    announcer.add({key(1), s_sequence});
    announcer.takeDue(s_start, isAlwaysOpen);
    EXPECT_TRUE(announcer.takeDue(s_start + 5s, isAlwaysOpen).empty());
    EXPECT_EQ(informedOf(announcer.takeDue(s_start + 10s, isAlwaysOpen)).at(1).size(), routing::s_locationCopies);
    EXPECT_TRUE(announcer.takeDue(s_start + 20s, [](const flow::FlowKey &) { return false; }).empty());
    EXPECT_EQ(announcer.size(), 0U);
}

// Guards against an agent that does not get its records back because one datagram was lost, and against requests that
// never end because a peer is silent.
TEST(LocationAnnouncerTest, RequestsAreRepeatedABoundedNumberOfTimesUntilAnswered)
{
    LocationAnnouncer announcer(peer(s_self).candidate);
    announcer.requestRecords();
    announcer.setPeers(peers(5));
    EXPECT_EQ(requestsIn(announcer.takeDue(s_start, isAlwaysOpen)), 4U);
    announcer.answered(peer(2).candidate.endpoint);
    announcer.answered(peer(3).candidate.endpoint);
    std::size_t further = 0;
    for (auto now = s_start + 50ms; now < s_start + 20s; now += 50ms) {
        further += requestsIn(announcer.takeDue(now, isAlwaysOpen));
    }
    EXPECT_EQ(further, 2 * (LocationAnnouncerSettings().maximumRequests - 1));
}

} // namespace samphireswitch::passthrough
