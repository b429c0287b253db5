#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace samphireswitch::standin {

class Upstream;

/** One request connection: reads `REQUEST id work_ms upload_bytes answer_bytes`, executes it, answers and closes. */
class UpstreamRequest : public std::enable_shared_from_this<UpstreamRequest>
{
public:
    UpstreamRequest(Upstream &upstream, boost::asio::ip::tcp::socket socket);

    void start();

private:
    void parseRequest();
    void readUpload();
    void checkUpload();
    void execute();
    void answer();
    void close();

    Upstream &m_upstream;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::streambuf m_buffer;
    std::string m_id;
    std::chrono::microseconds m_work {0};
    std::size_t m_uploadSize = 0;
    std::size_t m_answerSize = 0;
    std::string m_output;
};

} // namespace samphireswitch::standin
