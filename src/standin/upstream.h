#pragma once

#include "base/time.h"
#include "standin/journal.h"

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace samphireswitch::standin {

struct UpstreamSettings
{
    std::string host;
    std::uint32_t address = 0;
    std::uint16_t requestPort = 0;
    /** 0: the host has no feed port. */
    std::uint16_t feedPort = 0;
    int slots = 1;
    std::chrono::milliseconds feedInterval {0};
    /** Work takes this many times longer after the start, falling to 1 at the end of coldStart. */
    double coldStartFactor = 1;
    std::chrono::milliseconds coldStart {0};
    /** Every request is closed at once without being executed, as by a broken host. */
    bool failFast = false;
    /** The request port is not opened, as by a host whose server does not run. */
    bool closedPort = false;
};

/** A host's server: executes requests in slots, sheds what exceeds them, and serves feeds. Keeps a journal. */
class Upstream
{
public:
    Upstream(boost::asio::io_context &context, UpstreamSettings settings, Journal journal);

    /** Opens the ports. Fails with ResultCode::SocketError. */
    Result<void> start();

    const UpstreamSettings &settings() const;

    /** The time that @p work takes now, while the host may still be cold. */
    std::chrono::microseconds effectiveWork(std::chrono::microseconds work) const;

    /** Takes a slot for the request @p id and journals its start; journals `shed` and returns false if none is free. */
    bool tryBegin(const std::string &id);

    /** Releases the slot of the request @p id and journals its end. */
    void end(const std::string &id);

    /** Journals that the upload of request @p id was incomplete or differed from what its caller sent. */
    void reportUpload(const std::string &id, const char *kind);

    void beginFeed(const std::string &id);
    void endFeed(const std::string &id);

    /** Journals the end of the run with the highest number of requests executed at a time. */
    void finish();

private:
    void acceptRequests();
    void acceptFeeds();

    boost::asio::ip::tcp::acceptor m_requestAcceptor;
    boost::asio::ip::tcp::acceptor m_feedAcceptor;
    UpstreamSettings m_settings;
    Journal m_journal;
    TimePoint m_started;
    int m_busySlots = 0;
    int m_highestBusySlots = 0;
};

} // namespace samphireswitch::standin
