#include "commands/replaycommand.h"

#include "trace/tracereplay.h"

namespace samphireswitch::commands {

Result<int> runReplay(const std::vector<std::string> &files, std::ostream &out)
{
    trace::TraceReplay replay;
    for (const std::string &file : files) {
        BOOST_LEAF_CHECK(replay.addFile(file));
    }
    const std::vector<trace::Violation> violations = replay.finish();
    for (const trace::Violation &violation : violations) {
        out << violation.file << ':' << violation.line << ": " << trace::violationName(violation.kind) << ": "
            << violation.detail << '\n';
    }
    if (!violations.empty()) {
        return 1;
    }
    const trace::TraceCounts &counts = replay.counts();
    out << "traces        " << counts.traces << "\nevents        " << counts.events << "\naccepted      "
        << counts.accepted << "\npassed        " << counts.passed << "\nparked        " << counts.parked
        << "\nhanded over   " << counts.handedOver << "\nrefused       " << counts.refused << "\nceded         "
        << counts.ceded << "\nopened        " << counts.opened << "\nreset unowned " << counts.resetUnowned
        << "\ndrained       " << counts.drained << "\nviolations    0\n";
    return 0;
}

} // namespace samphireswitch::commands
