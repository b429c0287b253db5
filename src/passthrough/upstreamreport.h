#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace samphireswitch::passthrough {

/** Whether an upstream accepts new flows (Ready) or only finishes those that it holds (Draining). */
enum class ReportedState : std::uint8_t { Ready, Draining };

/** Sequence of the first report of a run. The sequence also increases for reports that were not acknowledged. */
constexpr std::uint64_t s_firstReportSequence = 1;

/**
 * Identity of one run of an upstream. Only compared for equality: the start is by the upstream's time of day, which may
 * have been set forward or back since.
 */
struct UpstreamRun
{
    /** A restarted upstream may keep the identity of its previous run. */
    std::string id;
    /** Start of the run, which distinguishes runs with the same id; 0 if it is not reported. */
    std::chrono::milliseconds startedSinceEpoch {0};

    bool operator==(const UpstreamRun &) const = default;
};

/** Periodic report of an upstream on its own state. */
struct UpstreamReport
{
    /** Identity of this run of the upstream. A restarted upstream may keep the identity of its previous run. */
    std::string id;
    /** Start of this run of the upstream, which distinguishes runs with the same id; 0 if it is not reported. */
    std::chrono::milliseconds startedSinceEpoch {0};
    /** Pool that the upstream serves. */
    std::string service;
    /** Address on which the upstream serves requests. */
    Endpoint endpoint;
    std::string failureDomain;
    /** Version of the upstream's software. */
    std::string softwareVersion;
    /** Number of requests that the upstream serves at the same time. */
    std::uint32_t slots = 0;
    ReportedState state = ReportedState::Ready;
    /** Remaining time of the slow start, during which the upstream serves requests at a reduced speed. */
    std::chrono::milliseconds slowStart {0};
    /** Increases with each report of a run, so that reports that arrive out of order are recognised. */
    std::uint64_t sequence = 0;

    UpstreamRun run() const
    {
        return {id, startedSinceEpoch};
    }
};

/** Announcement of an upstream that it is about to exit. */
struct UpstreamDeparture
{
    /** As in UpstreamReport. */
    std::string id;
    /** As in UpstreamReport; 0 matches any run with this id. */
    std::chrono::milliseconds startedSinceEpoch {0};
};

using UpstreamMessage = std::variant<UpstreamReport, UpstreamDeparture>;

} // namespace samphireswitch::passthrough
