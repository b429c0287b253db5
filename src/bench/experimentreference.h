#pragma once

#include "bench/experimentloop.h"
#include "bench/experimentworkload.h"

namespace samphireswitch::bench {

/**
 * The ideal: one queue for all slots, no delay, served in order of arrival. It refuses a request at arrival whose wait
 * would exceed @p longestWait; it knows the wait exactly, but not the request's own service time. An ideal that knows
 * that too would refuse the longer requests of a surge and so answer more than the capacity at the mean service time.
 */
RunResult runIdeal(const std::vector<Request> &requests, std::uint32_t slots, std::chrono::nanoseconds longestWait);

/** The ideal for feeds: each goes to the host with the fewest at once. A feed stays at its host. */
RunResult runIdealFeeds(const Deployment &deployment, const std::vector<Request> &requests);

/**
 * The baseline: each request goes to one host by its hash, with the network delays of the system, and waits there in a
 * queue without a limit. Feeds stay at their host.
 */
RunResult runBaseline(const Deployment &deployment, const std::vector<Request> &requests, std::uint64_t seed);

} // namespace samphireswitch::bench
