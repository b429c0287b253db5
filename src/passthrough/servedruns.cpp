#include "passthrough/servedruns.h"

#include <algorithm>

namespace samphireswitch::passthrough {

bool ServedRuns::contains(const UpstreamRun &run) const
{
    return std::ranges::find(runs, run) != runs.end();
}

void ServedRuns::add(const UpstreamRun &run)
{
    if (contains(run)) {
        return;
    }
    runs.push_back(run);
    if (runs.size() > s_mostServedRuns) {
        runs.erase(runs.begin());
        isComplete = false;
    }
}

} // namespace samphireswitch::passthrough
