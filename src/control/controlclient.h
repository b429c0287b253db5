#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "base/resultcode.h"
#include "configuration/servicerecord.h"
#include "protocol/messages.h"
#include "protocol/status.h"
#include "telemetry/eventlog.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace samphireswitch::control {

/** Answer to a configuration that was offered. */
struct OfferAnswer
{
    /** Generation in force at the process after the offer. */
    Generation generation = 0;
    /** ResultCode::Ok if the offered configuration or a newer one is in force. */
    ResultCode code = ResultCode::Ok;
};

/** Part of a process's events. */
struct EventPage
{
    std::vector<telemetry::EventRecord> events;
    /** The value to ask with for the events that follow. */
    std::uint64_t next = 0;
};

/**
 * Calls another process's RPC interface `Control`. Every call opens a connection, blocks at most for the time limit,
 * and fails with ResultCode::PeerUnavailable, or with MessageMalformed if the answer breaks a rule. Must not be used
 * in a thread that has an event loop of Cap'n Proto.
 */
class ControlClient
{
public:
    ControlClient(const Endpoint &server, std::chrono::milliseconds timeLimit);

    Result<protocol::Status> status() const;

    /** What a process at @p generation lacks. */
    Result<configuration::ConfigurationDelta> configurationSince(Generation generation) const;

    /** As above, with the records of one service only. */
    Result<configuration::ConfigurationDelta> configurationSince(Generation generation, ServiceId service) const;

    Result<OfferAnswer> offerConfiguration(const configuration::ConfigurationDelta &delta) const;

    /** All members that the process knows. */
    Result<std::vector<protocol::MemberRecord>> members() const;

    /** The events with a sequence above @p since, or the first of them if there are many. */
    Result<EventPage> events(std::uint64_t since) const;

    const Endpoint &server() const;

private:
    Endpoint m_server;
    std::chrono::milliseconds m_timeLimit;
};

} // namespace samphireswitch::control
