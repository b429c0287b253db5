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

/** Response to ControlClient::offerConfiguration(). */
struct OfferAnswer
{
    /** Generation that is in force at the process when it answers. */
    Generation generation = 0;
    /**
     * ResultCode::Ok if the offered configuration or a newer one is in force. ResultCode::GenerationGap if the process
     * did not reach the offered generation in time; any other code tells why the process could not read the offer.
     */
    ResultCode code = ResultCode::Ok;
};

/** A page of the event log of a process, in order of sequence. */
struct EventPage
{
    std::vector<telemetry::EventRecord> events;
    /**
     * Argument of ControlClient::events() for the next page: the sequence of the last event, or of the request if
     * there is none.
     */
    std::uint64_t next = 0;
};

/**
 * Blocking client of the RPC interface `Control` of another process. Every call opens a connection of its own and
 * returns within the time limit. A call fails with ResultCode::PeerUnavailable if the process cannot be reached or does
 * not answer in time, and with ResultCode::MessageMalformed if the answer is not valid. Must not be used in a thread
 * that already runs a Cap'n Proto event loop.
 */
class ControlClient
{
public:
    /** @p server is the control address of the process; @p timeLimit bounds each call, including the connection. */
    ControlClient(const Endpoint &server, std::chrono::milliseconds timeLimit);

    Result<protocol::Status> status() const;

    /** The changes that lead from @p generation to the configuration in force at the process. */
    Result<configuration::ConfigurationDelta> configurationSince(Generation generation) const;

    /** As above, with the records of @p service only. The value 0 stands for all services. */
    Result<configuration::ConfigurationDelta> configurationSince(Generation generation, ServiceId service) const;

    /**
     * Sends @p delta to the process, which waits up to 1 s until this or a newer configuration is in force. A
     * rejection by the process is not a failure of the call but is reported in OfferAnswer::code.
     */
    Result<OfferAnswer> offerConfiguration(const configuration::ConfigurationDelta &delta) const;

    /** Records of all members that the process knows, including its own. */
    Result<std::vector<protocol::MemberRecord>> members() const;

    /** The first events with a sequence above @p since. The process limits the size of a page. */
    Result<EventPage> events(std::uint64_t since) const;

    const Endpoint &server() const;

private:
    Endpoint m_server;
    std::chrono::milliseconds m_timeLimit;
};

} // namespace samphireswitch::control
