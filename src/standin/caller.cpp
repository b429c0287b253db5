#include "standin/caller.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>

namespace samphireswitch::standin {

namespace {

constexpr std::chrono::milliseconds s_tick {10};
constexpr std::chrono::milliseconds s_progressInterval {250};
constexpr std::array s_outcomes {RequestOutcome::Answered,
                                 RequestOutcome::Refused,
                                 RequestOutcome::Reset,
                                 RequestOutcome::Closed,
                                 RequestOutcome::TimedOut,
                                 RequestOutcome::Damaged};

std::int64_t toMicroseconds(Clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

boost::json::object percentiles(std::vector<std::int64_t> values)
{
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    if (values.empty()) {
        return {{"count", 0}};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[std::min(values.size() - 1,
                               static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    };
    return {{"count", values.size()}, {"p50", at(median)}, {"p99", at(high)}, {"max", values.back()}};
}

} // namespace

Caller::Caller(boost::asio::io_context &context, CallerSettings settings, Journal journal)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_journal(std::move(journal))
    , m_stack(context, m_settings.fabric, m_settings.address)
    , m_arrivalTimer(context)
    , m_tickTimer(context)
    , m_random(m_settings.seed)
{
}

Result<void> Caller::start()
{
    if (auto result = m_stack.start(); !result) {
        return result.error();
    }
    m_started = Clock::now();
    m_nextArrival = m_started;
    m_nextProgress = m_started;
    scheduleArrival();
    handleTick();
    return {};
}

void Caller::stopArrivals()
{
    m_arrivalsEnded = true;
    m_arrivalTimer.cancel();
}

void Caller::scheduleArrival()
{
    const double rate = rateAt(m_nextArrival);
    if (rate <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(rate);
    m_nextArrival += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(m_random)));
    m_arrivalTimer.expires_at(m_nextArrival);
    m_arrivalTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            handleArrival();
        }
    });
}

void Caller::handleArrival()
{
    if (m_arrivalsEnded || m_nextArrival - m_started >= m_settings.duration) {
        return;
    }
    openRequest();
    scheduleArrival();
}

double Caller::rateAt(TimePoint now) const
{
    const auto age = now - m_started;
    const auto surgeEnd = m_settings.surgeStart + m_settings.surgeDuration;
    return age >= m_settings.surgeStart && age < surgeEnd ? m_settings.surgeRate : m_settings.rate;
}

void Caller::openRequest()
{
    auto request = std::make_unique<CallerRequest>(drawRequest());
    request->open({m_settings.service, m_settings.requestPort}, nextLocalPort());
    m_requests.push_back(std::move(request));
}

RequestParameters Caller::drawRequest()
{
    RequestParameters parameters;
    ++m_asked;
    parameters.id = m_settings.name + "-" + std::to_string(m_asked);
    std::bernoulli_distribution isStraggler(m_settings.stragglerShare);
    std::bernoulli_distribution hasUpload(m_settings.uploadShare);
    std::exponential_distribution<double> distribution(1);
    parameters.straggler = isStraggler(m_random);
    // Drawn in any case, so that the sequence of random numbers does not depend on the settings.
    const double drawn = distribution(m_random);
    const double factor = parameters.straggler ? m_settings.stragglerFactor : 1;
    const double share = m_settings.fixedWork || parameters.straggler ? 1 : drawn;
    parameters.work = std::chrono::duration_cast<std::chrono::microseconds>(m_settings.meanWork * (factor * share));
    parameters.uploadSize = hasUpload(m_random) ? m_settings.uploadSize : 0;
    parameters.answerSize = m_settings.answerSize;
    parameters.timeout = parameters.work + m_settings.timeout;
    return parameters;
}

std::uint16_t Caller::nextLocalPort()
{
    if (m_settings.portCount == 0) {
        return 0;
    }
    const auto offset = static_cast<std::uint16_t>(m_portsUsed % m_settings.portCount);
    ++m_portsUsed;
    return static_cast<std::uint16_t>(m_settings.firstPort + offset);
}

void Caller::openFeeds()
{
    const double age = std::chrono::duration<double>(Clock::now() - m_started).count();
    const int due = std::min(m_settings.feeds, static_cast<int>(age * m_settings.feedRate));
    while (static_cast<int>(m_feeds.size()) < due) {
        auto feed = std::make_unique<CallerFeed>(m_settings.name + "-feed-" + std::to_string(m_feeds.size() + 1));
        feed->open({m_settings.service, m_settings.feedPort}, nextLocalPort());
        m_feeds.push_back(std::move(feed));
    }
}

void Caller::handleTick()
{
    const TimePoint now = Clock::now();
    const bool timeIsOver = m_arrivalsEnded || now - m_started >= m_settings.duration;
    if (!timeIsOver) {
        openFeeds();
    }
    reapRequests(now);
    printProgress();
    if (timeIsOver && m_requests.empty()) {
        finishRun();
        return;
    }
    m_tickTimer.expires_after(s_tick);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            handleTick();
        }
    });
}

void Caller::reapRequests(TimePoint now)
{
    std::erase_if(m_requests, [&](const std::unique_ptr<CallerRequest> &request) {
        request->checkTimeout(now);
        if (!request->outcome()) {
            return false;
        }
        journalRequest(*request);
        return true;
    });
}

void Caller::journalRequest(const CallerRequest &request)
{
    const RequestOutcome outcome = *request.outcome();
    const std::int64_t latency = toMicroseconds(request.latency());
    const RequestParameters &parameters = request.parameters();
    ++m_outcomes.at(static_cast<std::size_t>(outcome));
    if (outcome == RequestOutcome::Answered) {
        (parameters.straggler ? m_stragglerLatencies : m_shortLatencies).push_back(latency);
    }
    if (outcome == RequestOutcome::Refused) {
        m_refusalLatencies.push_back(latency);
    }
    m_journal.append({{"kind", "request"},
                      {"id", parameters.id},
                      {"port", request.localPort()},
                      {"start_us", toMicroseconds(request.started() - m_started)},
                      {"outcome", requestOutcomeName(outcome)},
                      {"latency_us", latency},
                      {"work_us", toMicroseconds(parameters.work)},
                      {"straggler", parameters.straggler},
                      {"upload_bytes", parameters.uploadSize}});
}

void Caller::finishRun()
{
    const TimePoint now = Clock::now();
    for (const auto &feed : m_feeds) {
        m_journal.append({{"kind", "feed"},
                          {"id", feed->id()},
                          {"state", feedStateName(feed->state())},
                          {"lines", feed->lines()},
                          {"longest_gap_us", toMicroseconds(feed->longestGap(now))}});
        feed->endRun();
    }
    m_journal.append(summary());
    // Time for the last segments to leave.
    constexpr std::chrono::milliseconds lingering {200};
    m_tickTimer.expires_after(lingering);
    m_tickTimer.async_wait([this](const boost::system::error_code &) { m_context.stop(); });
}

void Caller::printProgress()
{
    const TimePoint now = Clock::now();
    if (now < m_nextProgress) {
        return;
    }
    m_nextProgress = now + s_progressInterval;
    const boost::json::object progress = {{"kind", "progress"},
                                          {"asked", m_asked},
                                          {"answered", m_outcomes[0]},
                                          {"going_on", m_requests.size()},
                                          {"feeds_held", feedsInState(FeedState::Held)},
                                          {"least_feed_lines", leastFeedLines()},
                                          {"feeds_broken", feedsInState(FeedState::Broken)}};
    std::cout << boost::json::serialize(progress) << std::endl;
}

std::uint64_t Caller::leastFeedLines() const
{
    std::uint64_t least = m_feeds.empty() ? 0 : m_feeds.front()->lines();
    for (const auto &feed : m_feeds) {
        least = std::min(least, feed->lines());
    }
    return least;
}

int Caller::feedsInState(FeedState state) const
{
    return static_cast<int>(
        std::count_if(m_feeds.begin(), m_feeds.end(), [&](const auto &feed) { return feed->state() == state; }));
}

boost::json::object Caller::summary() const
{
    boost::json::object result = {{"kind", "summary"}, {"caller", m_settings.name}, {"asked", m_asked}};
    for (const RequestOutcome outcome : s_outcomes) {
        result[requestOutcomeName(outcome)] = m_outcomes.at(static_cast<std::size_t>(outcome));
    }
    result["short_us"] = percentiles(m_shortLatencies);
    result["straggler_us"] = percentiles(m_stragglerLatencies);
    result["refusal_us"] = percentiles(m_refusalLatencies);
    result["feeds"] = m_feeds.size();
    result["feeds_held"] = feedsInState(FeedState::Held);
    result["feeds_not_opened"] = feedsInState(FeedState::NotOpened) + feedsInState(FeedState::Opening);
    result["feeds_broken"] = feedsInState(FeedState::Broken);
    const TimePoint now = Clock::now();
    Clock::duration longestGap {0};
    for (const auto &feed : m_feeds) {
        longestGap = std::max<Clock::duration>(longestGap, feed->longestGap(now));
    }
    result["longest_feed_gap_us"] = toMicroseconds(longestGap);
    return result;
}

} // namespace samphireswitch::standin
