#include "bench/experimentscenarios.h"

#include "bench/experimentreference.h"
#include "bench/experimentstatistics.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>

namespace samphireswitch::bench {

namespace {

using namespace std::chrono_literals;

constexpr double s_notApplicable = std::numeric_limits<double>::quiet_NaN();
/** Time in which cold hosts reach their configured slots; not measured. */
constexpr std::chrono::seconds s_warmUp {10};
constexpr std::chrono::seconds s_steadyLength {200};
/** Measured time before a change, and after it. */
constexpr std::chrono::seconds s_changeAt {30};
constexpr std::chrono::seconds s_afterChange {40};
constexpr std::chrono::seconds s_surgeLength {10};
/** Time after which a failing host may not attract more work. */
constexpr std::chrono::seconds s_failureReaction {2};
constexpr std::chrono::milliseconds s_recoveryBin {250};
/** Encoded size of Waiting and SlotOffer, and of OfferDeclined. */
constexpr std::uint64_t s_waitingBytes = 88;
constexpr std::uint64_t s_declinedBytes = 80;
/** The ideal refuses no request. */
constexpr std::chrono::hours s_noLimit {1000};
constexpr double s_feedsPerHost = 40;
constexpr std::chrono::seconds s_feedLifetime {60};

double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double milliseconds(Clock::duration duration)
{
    return seconds(duration) * 1000;
}

std::vector<std::uint32_t> allHosts(const ServiceShape &shape)
{
    std::vector<std::uint32_t> hosts(shape.hosts);
    std::iota(hosts.begin(), hosts.end(), 0U);
    return hosts;
}

/** The same requests, served by the system, the baseline and the ideal. */
class Comparison
{
public:
    Comparison(std::string scenario,
               const Deployment &deployment,
               const std::vector<Request> &requests,
               std::uint32_t idealSlots,
               std::chrono::nanoseconds idealWait,
               std::uint64_t seed)
        : m_scenario(std::move(scenario))
        , m_service(deployment.shape.name)
        , m_requests(requests)
        , m_system(ExperimentLoop(deployment, requests, seed).run())
        , m_baseline(runBaseline(deployment, requests, seed))
        , m_ideal(requests.front().isFeed ? runIdealFeeds(deployment, requests)
                                          : runIdeal(requests, idealSlots, idealWait))
    {
    }

    void add(const std::string &name, double system, double baseline, double ideal)
    {
        m_figures.push_back({m_scenario, m_service, name, system, baseline, ideal});
    }

    /** Adds a figure that is computed in the same way for all three. */
    void add(const std::string &name, const std::function<double(const RunResult &)> &figure)
    {
        add(name, figure(m_system), figure(m_baseline), figure(m_ideal));
    }

    /** As add(), divided by the ideal's value. */
    void addRatio(const std::string &name, const std::function<double(const RunResult &)> &figure)
    {
        const double ideal = figure(m_ideal);
        add(name, figure(m_system) / ideal, figure(m_baseline) / ideal, 1);
    }

    /** Mean and maximum of the imbalance in the windows from @p from to @p to. The ideal has no hosts. */
    void addBusyImbalance(TimePoint from, TimePoint to, const std::vector<std::uint32_t> &hosts)
    {
        const auto over = [&](const RunResult &result, bool worst) {
            std::vector<double> values;
            for (TimePoint start = from; start + UsageRecorder::s_window <= to; start += UsageRecorder::s_window) {
                values.push_back(result.usage.busyImbalance(start, hosts));
            }
            return worst ? percentile(values, 1) : mean(values);
        };
        add("busy slots, max/mean in 10 s, mean", over(m_system, false), over(m_baseline, false), 1);
        add("busy slots, max/mean in 10 s, worst", over(m_system, true), over(m_baseline, true), 1);
    }

    const RunResult &system() const
    {
        return m_system;
    }

    const std::vector<Request> &requests() const
    {
        return m_requests;
    }

    std::vector<Figure> figures() const
    {
        return m_figures;
    }

private:
    std::string m_scenario;
    std::string m_service;
    const std::vector<Request> &m_requests;
    RunResult m_system;
    RunResult m_baseline;
    RunResult m_ideal;
    std::vector<Figure> m_figures;
};

Deployment deploymentOf(const ServiceShape &shape, const ScenarioSettings &settings, std::vector<Change> changes = {})
{
    return {shape, settings.deadline, std::move(changes), settings.admission};
}

/** Requests per second that keep @p hosts at @p load. */
double rateFor(const ServiceShape &shape, std::uint32_t hosts, const ServiceTimes &times, double load)
{
    return load * hosts * shape.slots / times.overallMean();
}

/**
 * Response times in milliseconds of the requests of one length that arrived in [from, to). One that was not answered
 * counts with @p unanswered, so that refusing requests does not improve the figure.
 */
std::vector<double> responseTimes(const RunResult &result,
                                  const std::vector<Request> &requests,
                                  bool isLong,
                                  std::chrono::nanoseconds unanswered,
                                  TimePoint from,
                                  TimePoint to)
{
    std::vector<double> times;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Request &request = requests[index];
        const Outcome &outcome = result.outcomes[index];
        if (request.isLong != isLong || request.arrival < from || request.arrival >= to) {
            continue;
        }
        const bool answered = outcome.kind == OutcomeKind::Answered;
        times.push_back(milliseconds(answered ? outcome.end - request.arrival : unanswered));
    }
    return times;
}

/** Requests whose answers arrived in [from, to) and within the deadline. */
double answeredInTime(const RunResult &result,
                      const std::vector<Request> &requests,
                      std::chrono::nanoseconds deadline,
                      TimePoint from,
                      TimePoint to)
{
    double count = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Outcome &outcome = result.outcomes[index];
        const bool counts = outcome.kind == OutcomeKind::Answered && outcome.end >= from && outcome.end < to
            && outcome.end - requests[index].arrival <= deadline;
        count += counts ? 1 : 0;
    }
    return count;
}

/** Share of the requests that arrived in [from, to) for which @p matches. */
double shareOf(const RunResult &result,
               const std::vector<Request> &requests,
               TimePoint from,
               TimePoint to,
               const std::function<bool(const Request &, const Outcome &)> &matches)
{
    double matched = 0;
    double all = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        if (requests[index].arrival < from || requests[index].arrival >= to) {
            continue;
        }
        ++all;
        matched += matches(requests[index], result.outcomes[index]) ? 1 : 0;
    }
    return all == 0 ? 0 : matched / all;
}

/** Mean time beyond the service time, in milliseconds, per bin of arrivals from @p from to @p to. */
std::vector<double>
delayBins(const RunResult &result, const std::vector<Request> &requests, TimePoint from, TimePoint to)
{
    const auto count = static_cast<std::size_t>((to - from) / s_recoveryBin);
    std::vector<std::vector<double>> bins(count);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Request &request = requests[index];
        const Outcome &outcome = result.outcomes[index];
        if (request.arrival < from || request.arrival >= from + count * s_recoveryBin) {
            continue;
        }
        const auto bin = static_cast<std::size_t>((request.arrival - from) / s_recoveryBin);
        // A request without an answer counts as one that waited for a second.
        const bool answered = outcome.kind == OutcomeKind::Answered;
        bins[bin].push_back(answered ? milliseconds(outcome.end - request.arrival - request.service) : 1000);
    }
    std::vector<double> means;
    means.reserve(bins.size());
    for (const std::vector<double> &bin : bins) {
        means.push_back(mean(bin));
    }
    return means;
}

/** Seconds from the end of the surge until the delay is again what it was at worst before. */
double recoveryTime(const RunResult &result, const std::vector<Request> &requests, TimePoint before, TimePoint surgeEnd)
{
    const std::vector<double> usual = delayBins(result, requests, before, surgeEnd - s_surgeLength);
    const std::vector<double> after = delayBins(result, requests, surgeEnd, surgeEnd + s_afterChange);
    const double limit = percentile(usual, 1);
    const auto first = std::find_if(after.begin(), after.end(), [limit](double delay) { return delay <= limit; });
    return static_cast<double>(first - after.begin()) * seconds(s_recoveryBin);
}

/** New work of @p host per its fair share, among requests served from @p from on. */
double shareOfHost(const RunResult &result, const ServiceShape &shape, std::uint32_t host, TimePoint from)
{
    double all = 0;
    double own = 0;
    for (const Outcome &outcome : result.outcomes) {
        if (outcome.served < from) {
            continue;
        }
        ++all;
        own += outcome.host == host ? 1 : 0;
    }
    return all == 0 ? 0 : own / all * shape.hosts;
}

std::vector<Figure> runFailing(const std::string &name,
                               ChangeKind kind,
                               const ServiceShape &shape,
                               const ScenarioSettings &settings,
                               std::uint64_t seed)
{
    const ServiceTimes times {settings.serviceTime, 0, 1};
    const TimePoint at = s_start + s_changeAt;
    const Deployment deployment = deploymentOf(shape, settings, {{at, kind, 0}});
    const double rate = rateFor(shape, shape.hosts, times, settings.load);
    const std::vector<Request> requests = generateRequests({{s_changeAt + s_afterChange, rate}}, times, false, seed);
    Comparison comparison(name, deployment, requests, shape.hosts * shape.slots, s_noLimit, seed);
    comparison.add("new work of the host / fair share, after 2 s",
                   shareOfHost(comparison.system(), shape, 0, at + s_failureReaction),
                   1,
                   1);
    const auto failed = [](const Request &, const Outcome &outcome) { return outcome.kind == OutcomeKind::Failed; };
    comparison.add("failed requests, share after 2 s", [&](const RunResult &result) {
        return shareOf(result, requests, at + s_failureReaction, TimePoint::max(), failed);
    });
    return comparison.figures();
}

} // namespace

std::vector<Figure> runSteady(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    const ServiceTimes times {settings.serviceTime, settings.longShare, settings.longFactor};
    const double rate = rateFor(shape, shape.hosts, times, settings.load);
    const TimePoint from = s_start + s_warmUp;
    const TimePoint to = s_start + s_steadyLength;
    const std::vector<Request> requests = generateRequests({{s_steadyLength, rate}}, times, false, seed);
    Comparison comparison(
        "steady", deploymentOf(shape, settings), requests, shape.hosts * shape.slots, s_noLimit, seed);
    const auto short99 = [&](const RunResult &result) {
        return percentile(responseTimes(result, requests, false, settings.deadline, from, to), 0.99);
    };
    comparison.add("short requests, p99 ms", short99);
    comparison.addRatio("short requests, p99 / ideal", short99);
    comparison.add("short requests, p50 ms", [&](const RunResult &result) {
        return percentile(responseTimes(result, requests, false, settings.deadline, from, to), 0.5);
    });
    comparison.add("short requests answered in time, share", [&](const RunResult &result) {
        return shareOf(result, requests, from, to, [&](const Request &request, const Outcome &outcome) {
            return request.isLong
                || (outcome.kind == OutcomeKind::Answered && outcome.end - request.arrival <= settings.deadline);
        });
    });
    comparison.addBusyImbalance(from, to, allHosts(shape));
    const double processSeconds = seconds(s_steadyLength) * shape.hosts;
    const auto perAgent = [&](const std::string &name, double count) {
        comparison.add(name, count / processSeconds, s_notApplicable, s_notApplicable);
    };
    const RunResult &system = comparison.system();
    perAgent("waiting messages / s / agent", static_cast<double>(system.waitingMessages));
    perAgent("slot offers / s / agent", static_cast<double>(system.offers));
    perAgent("declined offers / s / agent", static_cast<double>(system.declinedOffers));
    perAgent("waiting and offer bytes / s / agent",
             static_cast<double>((system.waitingMessages + system.offers) * s_waitingBytes
                                 + system.declinedOffers * s_declinedBytes));
    comparison.add("hops between agents / request",
                   static_cast<double>(comparison.system().envelopes) / static_cast<double>(requests.size()),
                   s_notApplicable,
                   s_notApplicable);
    return comparison.figures();
}

std::vector<Figure> runSurge(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    const ServiceTimes times {settings.serviceTime, 0, 1};
    const double usual = rateFor(shape, shape.hosts, times, settings.load);
    const double peak = rateFor(shape, shape.hosts, times, settings.surge);
    const TimePoint from = s_start + s_changeAt;
    const TimePoint to = from + s_surgeLength;
    const std::vector<Request> requests =
        generateRequests({{s_changeAt, usual}, {s_surgeLength, peak}, {s_afterChange, usual}}, times, false, seed);
    Comparison comparison("surge",
                          deploymentOf(shape, settings),
                          requests,
                          shape.hosts * shape.slots,
                          settings.deadline - 5 * settings.serviceTime,
                          seed);
    comparison.addRatio("answers in time during the surge / ideal", [&](const RunResult &result) {
        return answeredInTime(result, requests, settings.deadline, from, to);
    });
    comparison.add("arrived in the surge, answered in time, share", [&](const RunResult &result) {
        return shareOf(result, requests, from, to, [&](const Request &request, const Outcome &outcome) {
            return outcome.kind == OutcomeKind::Answered && outcome.end - request.arrival <= settings.deadline;
        });
    });
    comparison.add("arrived in the surge, neither in time nor refused, share", [&](const RunResult &result) {
        return shareOf(result, requests, from, to, [&](const Request &request, const Outcome &outcome) {
            return outcome.kind != OutcomeKind::Refused
                && (outcome.kind != OutcomeKind::Answered || outcome.end - request.arrival > settings.deadline);
        });
    });
    std::vector<double> refusals;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Outcome &outcome = comparison.system().outcomes[index];
        if (outcome.kind == OutcomeKind::Refused) {
            refusals.push_back(milliseconds(outcome.end - requests[index].arrival));
        }
    }
    comparison.add("refusal seen by the caller, p99 ms", percentile(refusals, 0.99), s_notApplicable, 0);
    comparison.add("refusal seen by the caller, worst ms", percentile(refusals, 1), s_notApplicable, 0);
    comparison.add("back to the steady state, s",
                   [&](const RunResult &result) { return recoveryTime(result, requests, s_start + s_warmUp, to); });
    comparison.addBusyImbalance(from, to, allHosts(shape));
    return comparison.figures();
}

std::vector<Figure> runJoin(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    const ServiceTimes times {settings.serviceTime, 0, 1};
    const TimePoint at = s_start + s_changeAt;
    const Deployment deployment = deploymentOf(shape, settings, {{at, ChangeKind::Join, shape.hosts - 1}});
    const double rate = rateFor(shape, shape.hosts - 1, times, settings.load);
    const std::vector<Request> requests = generateRequests({{s_changeAt + s_afterChange, rate}}, times, false, seed);
    Comparison comparison("join", deployment, requests, (shape.hosts - 1) * shape.slots, s_noLimit, seed);
    comparison.addBusyImbalance(at, at + s_afterChange, allHosts(shape));
    comparison.add("not answered, share", [&](const RunResult &result) {
        return shareOf(result, requests, s_start, TimePoint::max(), [](const Request &, const Outcome &outcome) {
            return outcome.kind != OutcomeKind::Answered;
        });
    });
    return comparison.figures();
}

std::vector<Figure> runDrain(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    const ServiceTimes times {settings.serviceTime, 0, 1};
    const TimePoint at = s_start + s_changeAt;
    const Deployment deployment = deploymentOf(shape, settings, {{at, ChangeKind::Drain, shape.hosts - 1}});
    const double rate = rateFor(shape, shape.hosts - 1, times, settings.load);
    const std::vector<Request> requests = generateRequests({{s_changeAt + s_afterChange, rate}}, times, false, seed);
    Comparison comparison("drain", deployment, requests, (shape.hosts - 1) * shape.slots, s_noLimit, seed);
    std::vector<std::uint32_t> staying = allHosts(shape);
    staying.pop_back();
    comparison.addBusyImbalance(at, at + s_afterChange, staying);
    comparison.add("accepted by the host after the order",
                   static_cast<double>(comparison.system().acceptedWhileDraining),
                   s_notApplicable,
                   0);
    comparison.add("drain reported", comparison.system().drainReports, s_notApplicable, 1);
    comparison.add("not answered, share", [&](const RunResult &result) {
        return shareOf(result, requests, s_start, TimePoint::max(), [](const Request &, const Outcome &outcome) {
            return outcome.kind != OutcomeKind::Answered;
        });
    });
    return comparison.figures();
}

std::vector<Figure> runFailFast(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    return runFailing("fails fast", ChangeKind::FailFast, shape, settings, seed);
}

std::vector<Figure> runAnswerErrors(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    return runFailing("answers errors fast", ChangeKind::AnswerErrors, shape, settings, seed);
}

std::vector<Figure> runFeeds(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed)
{
    const ServiceTimes times {s_feedLifetime, 0, 1};
    const std::chrono::seconds joinAt = 3 * s_feedLifetime;
    const std::chrono::seconds end = joinAt + 2 * s_feedLifetime;
    const TimePoint at = s_start + joinAt;
    const Deployment deployment = deploymentOf(shape, settings, {{at, ChangeKind::Join, shape.hosts - 1}});
    const double rate = s_feedsPerHost * shape.hosts / seconds(s_feedLifetime);
    const std::vector<Request> requests = generateRequests({{end, rate}}, times, true, seed);
    Comparison comparison("feeds", deployment, requests, static_cast<std::uint32_t>(requests.size()), s_noLimit, seed);
    std::vector<std::uint32_t> before = allHosts(shape);
    before.pop_back();
    const auto over = [&](TimePoint from, TimePoint to, const std::vector<std::uint32_t> &hosts) {
        return [=](const RunResult &result) {
            std::vector<double> values;
            for (TimePoint start = from; start + UsageRecorder::s_window <= to; start += UsageRecorder::s_window) {
                values.push_back(result.usage.feedImbalance(start, hosts));
            }
            return mean(values);
        };
    };
    comparison.add("feeds held, max/mean before the join", over(s_start + s_feedLifetime, at, before));
    comparison.add("feeds held, max/mean in the 20 s after the join", over(at, at + 20s, allHosts(shape)));
    comparison.add("feeds held, max/mean 60 s after the join",
                   over(at + s_feedLifetime, s_start + end, allHosts(shape)));
    return comparison.figures();
}

} // namespace samphireswitch::bench
