#pragma once

#include "passthrough/upstreamreport.h"

#include <cstddef>
#include <vector>

namespace samphireswitch::passthrough {

/** Largest number of runs that are listed. */
constexpr std::size_t s_mostServedRuns = 64;

/**
 * The runs of an upstream to which processes of its agent have handed new flows, as the agent keeps them in the store.
 * A process hands new flows only to a run that the store lists, so that a run which is not listed holds no flow of an
 * earlier process.
 */
struct ServedRuns
{
    std::vector<UpstreamRun> runs;
    /** Whether each run is listed that may hold a flow of a process which has ended. */
    bool isComplete = false;

    bool operator==(const ServedRuns &) const = default;

    bool contains(const UpstreamRun &run) const;

    /** Adds @p run unless it is listed. The list is not complete any more if another run has to give way. */
    void add(const UpstreamRun &run);
};

} // namespace samphireswitch::passthrough
