#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "soak/storedata.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>

namespace samphireswitch::soak {

/** Serves StoreData with the platform's calls. Runs in the thread of its io_context. */
class StoreServer
{
public:
    explicit StoreServer(boost::asio::io_context &context);

    /** Fails with ResultCode::SocketError. */
    Result<void> listen(const Endpoint &endpoint);

    /** Writes without conditions, as the operator does, and answers the watches that waited for it. */
    void put(const std::string &key, std::string value);
    /** The same for the removal of a key. */
    void erase(const std::string &key);

    /** Discards all history, so that watches from an earlier revision are refused. */
    void forgetHistory();

private:
    class Connection;

    /** A watch that waits for an event; answers and returns true if there is one. */
    using PendingWatch = std::function<bool()>;

    void accept();
    void expireLeases();
    void answerWatches();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    StoreData m_data;
    std::list<PendingWatch> m_watches;
};

} // namespace samphireswitch::soak
