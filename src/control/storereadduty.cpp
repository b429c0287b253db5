#include "control/storereadduty.h"

#include "configuration/configurationreplica.h"
#include "membership/registrarchoice.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace samphireswitch::control {

namespace {

constexpr std::chrono::milliseconds s_watchDuration {1500};
constexpr std::chrono::milliseconds s_maximumSubstituteWatch {1900};
// Longer than any watch, so that the confirmations of one reader suffice.
constexpr std::chrono::milliseconds s_confirmationPeriod {2000};
// Leaves a group time to read and to spread the result before the next group begins.
constexpr std::chrono::milliseconds s_groupDelay {150};
constexpr std::chrono::milliseconds s_initialWatcherDelay {100};
constexpr std::chrono::milliseconds s_maximumWatcherDelay {1000};
constexpr std::chrono::milliseconds s_substituteDelay {1000};
constexpr int s_maximumGroup = 6;

/** Number of groups of substitutes that begin before that of the balancer at @p rank. */
int substituteGroup(std::size_t rank)
{
    const std::size_t multiple = std::max(rank / s_watchersPerFailureDomain, std::size_t {1});
    return std::min(static_cast<int>(std::bit_width(multiple)) - 1, s_maximumGroup);
}

} // namespace

std::size_t storeReadRank(const protocol::MemberRecord &self, const membership::MembershipTable &members)
{
    std::vector<std::uint64_t> candidates {self.id};
    for (const std::uint64_t balancer : members.liveBalancers()) {
        if (members.find(balancer)->failureDomain == self.failureDomain) {
            candidates.push_back(balancer);
        }
    }
    const auto ranked = membership::chooseRegistrars(hashText(self.failureDomain), candidates, candidates.size());
    return static_cast<std::size_t>(std::ranges::find(ranked, self.id) - ranked.begin());
}

bool shouldWatchStore(const protocol::MemberRecord &self, const membership::MembershipTable &members)
{
    return storeReadRank(self, members) < s_watchersPerFailureDomain;
}

StoreReadDuty::StoreReadDuty(TimePoint startedAt, std::mt19937_64 randomEngine)
    : m_startedAt(startedAt)
    , m_random(randomEngine)
    , m_watcherDelay(s_initialWatcherDelay)
{
}

StoreReadRole StoreReadDuty::role(std::size_t rank, const std::optional<TimePoint> &confirmedAt, TimePoint now) const
{
    if (rank < s_watchersPerFailureDomain) {
        return StoreReadRole::Watcher;
    }
    // The own read, reported by a peer, looks later than it was, but by less than the margin.
    const bool isLastReader =
        m_lastRead && confirmedAt && *confirmedAt - *m_lastRead < configuration::s_confirmationMargin;
    const TimePoint lastConfirmation = std::max(confirmedAt.value_or(m_startedAt), m_startedAt);
    const bool isOverdue = now - lastConfirmation >= s_confirmationPeriod + substituteGroup(rank) * s_groupDelay;
    return isLastReader || isOverdue ? StoreReadRole::Substitute : StoreReadRole::None;
}

void StoreReadDuty::readSucceeded(TimePoint startedAt)
{
    m_lastRead = startedAt;
}

void StoreReadDuty::watchSucceeded()
{
    m_watcherDelay = s_initialWatcherDelay;
}

void StoreReadDuty::callFailed(std::size_t rank, TimePoint now)
{
    const bool isWatcher = rank < s_watchersPerFailureDomain;
    const auto limit = isWatcher ? m_watcherDelay : s_substituteDelay * (1 << substituteGroup(rank));
    // Balancers must not all call the store at the same moment after an outage.
    std::uniform_int_distribution<std::chrono::milliseconds::rep> delay(limit.count() / 2, limit.count());
    m_nextAttempt = now + std::chrono::milliseconds(delay(m_random));
    if (isWatcher) {
        m_watcherDelay = std::min(2 * m_watcherDelay, s_maximumWatcherDelay);
    }
}

std::chrono::milliseconds StoreReadDuty::watchDuration(StoreReadRole role)
{
    if (role != StoreReadRole::Substitute) {
        return s_watchDuration;
    }
    std::uniform_int_distribution<std::chrono::milliseconds::rep> duration(s_watchDuration.count(),
                                                                           s_maximumSubstituteWatch.count());
    return std::chrono::milliseconds(duration(m_random));
}

TimePoint StoreReadDuty::nextAttempt() const
{
    return m_nextAttempt;
}

} // namespace samphireswitch::control
