#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace samphireswitch::membership {

/** Pace of BalancerProbe, in rounds of heartbeats. */
struct ProbeSettings
{
    /** Rounds between the probes of two balancers. */
    std::size_t roundsBetweenProbes = 4;
    /** Consecutive probes without an answer after which a balancer is silent. Fewer would blame it for lost messages.
     */
    std::size_t attempts = 5;
};

/**
 * Chooses the balancer from which an answer is requested in each round of heartbeats: one at random every few rounds,
 * and then the same one until it has answered or was silent too often. Registrars notice the failure of members that
 * report to them; probes notice a balancer whose registrars failed together with it. All balancers probe, so that the
 * time to notice one does not grow with their number, and neither do the messages of each.
 */
class BalancerProbe
{
public:
    explicit BalancerProbe(const ProbeSettings &settings = {});

    /**
     * Starts a round. Returns the balancer to probe, one of @p candidates, or nothing. Afterwards silentBalancer()
     * tells whether the balancer that was probed in the previous rounds is silent.
     */
    std::optional<std::uint64_t> startRound(std::span<const std::uint64_t> candidates, std::mt19937_64 &random);

    /** The balancer that is being probed; nothing between two probes. */
    const std::optional<std::uint64_t> &target() const;

    /** A message of the probed balancer arrived. */
    void answered();

    /** The balancer whose silence was found at the start of the current round. */
    const std::optional<std::uint64_t> &silentBalancer() const;

private:
    ProbeSettings m_settings;
    std::optional<std::uint64_t> m_target;
    std::optional<std::uint64_t> m_silent;
    std::size_t m_attempts = 0;
    std::size_t m_rounds = 0;
};

} // namespace samphireswitch::membership
