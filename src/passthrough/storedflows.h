#pragma once

#include "base/resultcode.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::passthrough {

/** Largest number of flows that an agent keeps in the store: those of one upstream. */
constexpr std::size_t s_mostStoredFlows = 4096;

/**
 * The open flows of an agent's upstream, as the agent keeps them in the store. A process that starts beside a running
 * upstream learns from them which flows are its own, also if all agents have ended and nobody else remembers.
 *
 * They may be old: some of the flows have ended, and others have opened since. A flow that has ended is recognised by
 * the sequence number of its record, and the upstream returns the packets of one that it does not hold.
 */
struct StoredFlows
{
    /**
     * Start of the upstream's run that held the flows, by the time of day since the epoch; 0 if it is not known. The
     * flows have ended with their run.
     */
    std::chrono::milliseconds runStartedSinceEpoch {0};
    std::vector<protocol::LocatedFlow> flows;

    bool operator==(const StoredFlows &) const = default;
};

/** Hash of a flow with its sequence number. */
std::uint64_t flowHash(const protocol::LocatedFlow &located);

/** Hash of the run and the flows in any order; 0 if there are no flows. */
std::uint64_t contentHash(const StoredFlows &stored);

/** The value for the store: a version, the run, and 16 bytes for each flow. At most s_mostStoredFlows are included. */
std::string encodeStoredFlows(const StoredFlows &stored);

/** Fails with ResultCode::MessageMalformed if encodeStoredFlows() cannot have returned @p value. */
Result<StoredFlows> decodeStoredFlows(std::string_view value);

} // namespace samphireswitch::passthrough
