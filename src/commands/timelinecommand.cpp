#include "commands/timelinecommand.h"

#include "base/attempt.h"
#include "commands/survey.h"
#include "commands/timeline.h"
#include "control/controlclient.h"

namespace samphireswitch::commands {

namespace {

// A process keeps a bounded number of events; the limit ends the reading of one that answers without end.
constexpr int s_maximumPages = 1000;

Result<void> readEvents(const Endpoint &process, std::chrono::milliseconds timeLimit, Timeline &timeline)
{
    const control::ControlClient client(process, timeLimit);
    std::uint64_t since = 0;
    for (int page = 0; page < s_maximumPages; ++page) {
        BOOST_LEAF_AUTO(answer, client.events(since));
        timeline.add(answer.events);
        if (answer.events.empty() || answer.next <= since) {
            break;
        }
        since = answer.next;
    }
    return {};
}

} // namespace

Result<int> runTimeline(const Options &options, std::ostream &out)
{
    const Survey survey = surveyDeployment(options.balancers, options.timeLimit);
    Timeline timeline({options.flow, options.request, options.service, options.host, options.generation});
    std::string missing;
    for (const ProcessReport &report : survey.processes) {
        const auto read = attempt([&] { return readEvents(report.control, options.timeLimit, timeline); });
        if (std::holds_alternative<Error>(read)) {
            missing += ' ' + (report.name.empty() ? toString(report.control) : report.name);
        }
    }
    for (const telemetry::EventRecord &event : timeline.ordered()) {
        out << Timeline::toText(event) << '\n';
    }
    if (!missing.empty()) {
        return boost::leaf::new_error(
            Error {ResultCode::PeerUnavailable, "the events of these processes are missing:" + missing});
    }
    return 0;
}

} // namespace samphireswitch::commands
