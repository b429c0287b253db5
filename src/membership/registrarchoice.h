#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::membership {

/**
 * Chooses the registrars of a member by rendezvous hashing: returns the ids of the @p count balancers that have the
 * highest weights for @p member, highest first, or fewer if @p balancers is shorter. A member is never its own
 * registrar. All processes that know the same balancers choose the same registrars. A balancer that joins or leaves
 * changes only the choices that include it.
 */
std::vector<std::uint64_t>
chooseRegistrars(std::uint64_t member, std::span<const std::uint64_t> balancers, std::size_t count);

} // namespace samphireswitch::membership
