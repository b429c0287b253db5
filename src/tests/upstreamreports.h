#pragma once

#include "passthrough/passthroughadmission.h"

namespace samphireswitch::tests {

/** The first report of a run of an upstream, which holds no flow yet. */
inline passthrough::UpstreamReport firstReport()
{
    passthrough::UpstreamReport report;
    report.id = "i-1";
    report.startedSinceEpoch = std::chrono::milliseconds(1000);
    report.service = "tally";
    report.sequence = 1;
    return report;
}

/** The store takes the list of served runs that @p admission asks for. */
inline void recordRuns(passthrough::PassthroughAdmission &admission)
{
    if (const auto list = admission.runsToRecord()) {
        admission.runsRecorded(*list);
    }
}

/**
 * The upstream of @p admission, whose settings record served runs, begins to report, and no earlier process of the
 * agent has served any run.
 */
inline void startBesideUnservedRun(passthrough::PassthroughAdmission &admission, TimePoint now)
{
    admission.earlierRunsRead({{}, true}, now);
    admission.upstreamReported(firstReport(), now);
    recordRuns(admission);
}

} // namespace samphireswitch::tests
