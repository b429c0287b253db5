#pragma once

#include "base/time.h"
#include "standin/callerfeed.h"
#include "standin/callerrequest.h"
#include "standin/callerstack.h"
#include "standin/journal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace samphireswitch::standin {

/** The load of one caller process. Rates are in requests per second. */
struct CallerSettings
{
    /** Prefix of all identities; unique among the callers of a run. */
    std::string name;
    std::uint32_t address = 0;
    Endpoint fabric;
    std::uint32_t service = 0;
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    std::uint64_t seed = 0;

    std::chrono::milliseconds duration {0};
    double rate = 0;
    double surgeRate = 0;
    std::chrono::milliseconds surgeStart {0};
    std::chrono::milliseconds surgeDuration {0};

    /** Mean of the exponentially distributed work time of a request that is no straggler. */
    std::chrono::microseconds meanWork {0};
    /** All requests that are no stragglers take exactly the mean. */
    bool fixedWork = false;
    double stragglerShare = 0;
    double stragglerFactor = 1;
    double uploadShare = 0;
    std::size_t uploadSize = 0;
    std::size_t answerSize = 0;
    /** Added to a request's work time; the request counts as timed out after the sum. */
    std::chrono::milliseconds timeout {0};

    int feeds = 0;
    /** Feeds opened per second. */
    double feedRate = 0;

    /** First local port and number of local ports used in turn; 0: lwIP chooses. */
    std::uint16_t firstPort = 0;
    std::uint16_t portCount = 0;
};

/** Open-loop load: requests arrive at a rate, whatever becomes of earlier ones, and feeds are held for the whole run.
 */
class Caller
{
public:
    Caller(boost::asio::io_context &context, CallerSettings settings, Journal journal);

    /** Starts the load; the io_context runs out of work when all requests have ended. */
    Result<void> start();

    /** Ends the arrivals now; requests that go on are still waited for. */
    void stopArrivals();

    /** Counts, latency percentiles in microseconds and feed states. */
    boost::json::object summary() const;

private:
    void scheduleArrival();
    void handleArrival();
    void openRequest();
    void openFeeds();
    void handleTick();
    void reapRequests(TimePoint now);
    void finishRun();
    void printProgress();
    double rateAt(TimePoint now) const;
    RequestParameters drawRequest();
    std::uint16_t nextLocalPort();
    void journalRequest(const CallerRequest &request);
    int feedsInState(FeedState state) const;
    /** Number of lines that have arrived on the feed with the fewest. */
    std::uint64_t leastFeedLines() const;

    boost::asio::io_context &m_context;
    CallerSettings m_settings;
    Journal m_journal;
    CallerStack m_stack;
    boost::asio::steady_timer m_arrivalTimer;
    boost::asio::steady_timer m_tickTimer;
    std::mt19937_64 m_random;
    TimePoint m_started;
    TimePoint m_nextArrival;
    TimePoint m_nextProgress;
    bool m_arrivalsEnded = false;
    std::vector<std::unique_ptr<CallerRequest>> m_requests;
    std::vector<std::unique_ptr<CallerFeed>> m_feeds;
    std::uint64_t m_asked = 0;
    std::uint64_t m_portsUsed = 0;
    std::array<std::uint64_t, 6> m_outcomes {};
    std::vector<std::int64_t> m_shortLatencies;
    std::vector<std::int64_t> m_stragglerLatencies;
    std::vector<std::int64_t> m_refusalLatencies;
};

} // namespace samphireswitch::standin
