#include "standin/upstreamrequest.h"

#include "standin/content.h"
#include "standin/upstream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <istream>

namespace samphireswitch::standin {

UpstreamRequest::UpstreamRequest(Upstream &upstream, boost::asio::ip::tcp::socket socket)
    : m_upstream(upstream)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

void UpstreamRequest::start()
{
    boost::asio::async_read_until(
        m_socket, m_buffer, '\n', [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                self->parseRequest();
            }
        });
}

void UpstreamRequest::parseRequest()
{
    std::istream stream(&m_buffer);
    std::string line;
    std::getline(stream, line);
    std::istringstream fields(line);
    std::string word;
    double workMilliseconds = 0;
    fields >> word >> m_id >> workMilliseconds >> m_uploadSize >> m_answerSize;
    if (!fields || word != "REQUEST") {
        m_upstream.reportUpload(line, "malformed");
        return;
    }
    m_work = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(workMilliseconds));
    readUpload();
}

void UpstreamRequest::readUpload()
{
    if (m_buffer.size() >= m_uploadSize) {
        checkUpload();
        return;
    }
    boost::asio::async_read(m_socket,
                            m_buffer,
                            boost::asio::transfer_exactly(m_uploadSize - m_buffer.size()),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                if (error) {
                                    self->m_upstream.reportUpload(self->m_id, "upload_incomplete");
                                    return;
                                }
                                self->checkUpload();
                            });
}

void UpstreamRequest::checkUpload()
{
    const std::string_view upload(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
    if (upload.size() != m_uploadSize || !Content(m_id, ContentKind::Upload).matches(0, upload)) {
        m_upstream.reportUpload(m_id, "upload_damaged");
    }
    m_buffer.consume(m_buffer.size());
    execute();
}

void UpstreamRequest::execute()
{
    if (!m_upstream.tryBegin(m_id)) {
        close();
        return;
    }
    m_timer.expires_after(m_upstream.effectiveWork(m_work));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        self->m_upstream.end(self->m_id);
        self->answer();
    });
}

void UpstreamRequest::answer()
{
    m_output = "ANSWER " + m_id + " " + std::to_string(m_answerSize) + "\n";
    m_output += Content(m_id, ContentKind::Answer).bytes(0, m_answerSize);
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_output),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                 if (!error) {
                                     self->close();
                                 }
                             });
}

void UpstreamRequest::close()
{
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    // Reads until the peer closes too: closing a socket with unread bytes would reset the connection.
    boost::asio::async_read(
        m_socket, m_buffer, [self = shared_from_this()](const boost::system::error_code &, std::size_t) {});
}

} // namespace samphireswitch::standin
