#include "standin/upstreamfeed.h"

#include "standin/upstream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <istream>

namespace samphireswitch::standin {

UpstreamFeed::UpstreamFeed(Upstream &upstream, boost::asio::ip::tcp::socket socket)
    : m_upstream(upstream)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

void UpstreamFeed::start()
{
    boost::asio::async_read_until(
        m_socket, m_buffer, '\n', [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (error) {
                return;
            }
            std::istream stream(&self->m_buffer);
            std::string word;
            stream >> word >> self->m_id;
            if (!stream || word != "FEED") {
                return;
            }
            self->m_timer.expires_after(std::chrono::milliseconds::zero());
            self->m_upstream.beginFeed(self->m_id);
            self->watchForClose();
            self->sendLine();
        });
}

void UpstreamFeed::sendLine()
{
    ++m_number;
    m_output = "LINE " + m_id + " " + std::to_string(m_number) + "\n";
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_output),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                 if (!error) {
                                     self->waitForNextLine();
                                 }
                             });
}

void UpstreamFeed::waitForNextLine()
{
    m_timer.expires_at(m_timer.expiry() + m_upstream.settings().feedInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->sendLine();
        }
    });
}

void UpstreamFeed::watchForClose()
{
    boost::asio::async_read(
        m_socket, m_buffer, [self = shared_from_this()](const boost::system::error_code &, std::size_t) {
            self->m_upstream.endFeed(self->m_id);
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
            self->m_timer.cancel();
        });
}

} // namespace samphireswitch::standin
