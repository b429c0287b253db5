#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace samphireswitch::standin {

class Upstream;

/** One feed connection: reads `FEED id`, then sends `LINE id number` in a fixed interval until the caller closes. */
class UpstreamFeed : public std::enable_shared_from_this<UpstreamFeed>
{
public:
    UpstreamFeed(Upstream &upstream, boost::asio::ip::tcp::socket socket);

    void start();

private:
    void sendLine();
    void waitForNextLine();
    void watchForClose();

    Upstream &m_upstream;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::streambuf m_buffer;
    std::string m_id;
    std::uint64_t m_number = 0;
    std::string m_output;
};

} // namespace samphireswitch::standin
