#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::membership {

/**
 * Rendezvous hashing: orders @p balancers, given by their ids, by weight for @p member and returns the first @p count.
 * A member is never its own registrar. All processes with the same balancers choose the same; a balancer that joins or
 * leaves changes only the choices that involve it.
 */
std::vector<std::uint64_t>
chooseRegistrars(std::uint64_t member, std::span<const std::uint64_t> balancers, std::size_t count);

} // namespace samphireswitch::membership
