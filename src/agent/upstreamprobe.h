#pragma once

#include "base/endpoint.h"

#include <chrono>

namespace samphireswitch::agent {

enum class ProbeOutcome {
    /** The upstream runs. */
    Listening,
    /** Nobody listens at the address, so the upstream does not run. */
    Refused,
    /** No answer in time; nothing is known. */
    Unanswered,
};

/**
 * Opens a TCP connection to an upstream and closes it without a byte, so that no slot is taken. A UDP socket does not
 * tell reliably whether anybody listens. Blocks for @p limit at the longest.
 */
ProbeOutcome probeUpstream(const Endpoint &upstream, std::chrono::milliseconds limit);

} // namespace samphireswitch::agent
