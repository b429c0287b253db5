#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace samphireswitch::passthrough {

enum class ReportedState : std::uint8_t { Ready, Draining };

/** What an upstream says of itself from time to time. */
struct UpstreamReport
{
    /** Name of this run of the upstream. An upstream that restarts may keep it. */
    std::string id;
    /** When this run of the upstream started; tells runs with the same name apart. Zero if it does not say. */
    std::chrono::milliseconds startedSinceEpoch {0};
    /** Pool that the upstream serves. */
    std::string service;
    /** Where the upstream serves. */
    Endpoint endpoint;
    std::string failureDomain;
    /** Version of the upstream's software. */
    std::string softwareVersion;
    /** Requests that it serves at the same time. */
    std::uint32_t slots = 0;
    ReportedState state = ReportedState::Ready;
    /** How much longer it serves slowly after its start. */
    std::chrono::milliseconds slowStart {0};
    /** Grows with each report of one run, so that a report that arrives late can be told. */
    std::uint64_t sequence = 0;
};

/** The upstream is about to exit. */
struct UpstreamDeparture
{
    std::string id;
    /** As in UpstreamReport. */
    std::chrono::milliseconds startedSinceEpoch {0};
};

using UpstreamMessage = std::variant<UpstreamReport, UpstreamDeparture>;

} // namespace samphireswitch::passthrough
