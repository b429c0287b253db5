#pragma once

#include "standin/deployment.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::tests {

/** State of a host in a declaration, by host name. */
using HostStates = std::map<std::string, std::string>;

/**
 * Runs a deployment of real processes behind fault proxies: the service `alpha` with requests and feeds at the hosts
 * a1 to a4, and the service `beta` with requests at b1 and b2, each host with two slots.
 */
class IntegrationTest : public testing::Test
{
protected:
    ~IntegrationTest() override;

    /** If the environment variable SAMPHIRESWITCH_KEEP_FILES is set, the agents record traces, and all files are kept.
     * Starts everything, confirms the declaration, and waits until both services answer. */
    void startServing(std::uint64_t seed = 1);

    standin::Deployment &deployment();

    /** The declaration with the hosts in @p states in another state than active. */
    static std::string declaration(const HostStates &states = {});

    /** Starts a caller of alpha with @p feeds feeds and waits until all are held. */
    void holdFeeds(int feeds, std::chrono::milliseconds duration);

    /** Last progress line of a caller. */
    boost::json::object progress(const std::string &caller);

    /** Waits for the end of a caller. */
    void waitForCaller(const std::string &caller);

    /** The guarantees that journal-check sees; also prints its report. */
    void expectGuarantees(const standin::JournalLimits &limits = {});

    /** Times in microseconds at which @p host began to execute requests. */
    std::vector<std::int64_t> beginTimes(const std::string &host);

    static std::int64_t wallClockMicroseconds();

private:
    std::unique_ptr<standin::Deployment> m_deployment;
};

} // namespace samphireswitch::tests
