#pragma once

#include "admission/action.h"
#include "admission/event.h"
#include "admission/flowadmission.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace samphireswitch::trace {

/** Words from which an agent's random engine is seeded. */
using RandomSeed = std::array<std::uint32_t, 8>;

inline std::mt19937_64 makeRandomEngine(const RandomSeed &seed)
{
    std::seed_seq sequence(seed.begin(), seed.end());
    return std::mt19937_64(sequence);
}

/** First line of a trace: all that a FlowAdmission is constructed with. */
struct TraceHeader
{
    /** Version of the format. */
    std::uint32_t version = 0;
    protocol::Candidate self;
    RandomSeed seed {};
    admission::AdmissionSettings settings;
    /** Steady clock at the start. Times that do not depend on the start alone, as window limits, replay equally. */
    std::chrono::nanoseconds steadyStart {0};
    /** System clock at the start, to compare the times of several agents. */
    std::chrono::nanoseconds systemStart {0};
};

/** Every other line: an event and the actions that it led to. */
struct TraceEntry
{
    std::chrono::nanoseconds sinceStart {0};
    admission::Event event;
    admission::Actions actions;
};

} // namespace samphireswitch::trace
