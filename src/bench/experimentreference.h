#pragma once

#include "bench/experimentloop.h"
#include "bench/experimentworkload.h"

namespace samphireswitch::bench {

/**
 * The ideal: one queue for all slots, no delay, served in order of arrival. With @p refuseLate it refuses a request at
 * arrival that would be answered after its deadline; it knows the service times, so no other order of arrival is
 * better.
 */
RunResult
runIdeal(const std::vector<Request> &requests, std::uint32_t slots, std::chrono::nanoseconds deadline, bool refuseLate);

/**
 * The baseline: each request goes to one host by its hash, with the network delays of the system, and waits there in a
 * queue without a limit. Feeds stay at their host.
 */
RunResult runBaseline(const Deployment &deployment, const std::vector<Request> &requests, std::uint64_t seed);

} // namespace samphireswitch::bench
