#pragma once

#include "protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphireswitch::membership {

/**
 * Rendezvous hashing: orders @p balancers by their weight for @p member and returns the first @p count. All processes
 * with the same balancers choose the same; a balancer that joins or leaves changes only the choices that involve it.
 */
std::vector<protocol::MemberRecord>
chooseRegistrars(std::uint64_t member, const std::vector<protocol::MemberRecord> &balancers, std::size_t count);

} // namespace samphireswitch::membership
