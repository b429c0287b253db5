#pragma once

#include "base/time.h"
#include "membership/membershiptable.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <random>

namespace samphireswitch::control {

/** Number of balancers per failure domain that always watch the store for configuration changes. */
constexpr std::size_t s_watchersPerFailureDomain = 2;

/** Why a balancer reads the store, if it does. */
enum class StoreReadRole {
    /** Other balancers read the store. */
    None,
    /** It is one of the watchers of its failure domain. */
    Watcher,
    /** It has not learned of a recent read of the store by another balancer. */
    Substitute,
};

/**
 * Position of the balancer @p self among the live balancers of its failure domain, by rendezvous hash. The first
 * s_watchersPerFailureDomain are the watchers. Balancers with different views of the membership may disagree, but no
 * election is needed because one reader more or fewer does no harm.
 */
std::size_t storeReadRank(const protocol::MemberRecord &self, const membership::MembershipTable &members);

/** Whether the balancer @p self is one of the watchers of its failure domain. */
bool shouldWatchStore(const protocol::MemberRecord &self, const membership::MembershipTable &members);

/**
 * Decides when a balancer reads the store. The watchers of a failure domain always do. Any other balancer takes their
 * place while it learns of no read: what counts is the last confirmation of the configuration that has reached it, not
 * whether the watchers run, because the store may serve some processes and turn others away. The balancers of a failure
 * domain begin one group after the other, each twice as large as the one before, so that a few of them suffice as long
 * as the store serves a part of them. The class reads no clock; all times are those of the caller's clock.
 */
class StoreReadDuty
{
public:
    StoreReadDuty(TimePoint startedAt, std::mt19937_64 randomEngine);

    /**
     * The role of a balancer with the position @p rank that knows of a confirmation of its configuration at
     * @p confirmedAt, by any balancer.
     */
    StoreReadRole role(std::size_t rank, const std::optional<TimePoint> &confirmedAt, TimePoint now) const;

    /** Records a read that began at @p startedAt and confirmed or updated the configuration. */
    void readSucceeded(TimePoint startedAt);

    /** Records a watch without an error, after which the delays of a watcher begin with the shortest again. */
    void watchSucceeded();

    /**
     * Records that a read or a watch failed, or that the answer neither confirmed nor updated the configuration. The
     * delay until the next attempt doubles with each failure of a watcher. That of a substitute doubles with each
     * group, so that the number of calls of all balancers grows with the number of groups only, not with that of
     * balancers.
     */
    void callFailed(std::size_t rank, TimePoint now);

    /** When the next attempt is allowed. */
    TimePoint nextAttempt() const;

    /**
     * How long to watch the store after a successful read, before the next one. A watch whose connection failed
     * silently delays a change by at most this time. It varies for a substitute, which could not tell the reads of a
     * watcher from its own if both read at the same moments.
     */
    std::chrono::milliseconds watchDuration(StoreReadRole role);

private:
    TimePoint m_startedAt;
    std::mt19937_64 m_random;
    std::optional<TimePoint> m_lastRead;
    TimePoint m_nextAttempt;
    std::chrono::milliseconds m_watcherDelay;
};

} // namespace samphireswitch::control
