#pragma once

#include "passthrough/upstreamreport.h"

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

} // namespace samphireswitch::tests
