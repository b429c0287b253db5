#include "standin/controlport.h"

#include "standin/sockets.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <istream>
#include <memory>

namespace samphireswitch::standin {

namespace {

class ControlSession : public std::enable_shared_from_this<ControlSession>
{
public:
    ControlSession(boost::asio::ip::tcp::socket socket, ControlPort::Handler handler)
        : m_socket(std::move(socket))
        , m_handler(std::move(handler))
    {
    }

    void read()
    {
        boost::asio::async_read_until(
            m_socket, m_buffer, '\n', [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error) {
                    self->execute();
                }
            });
    }

private:
    void execute()
    {
        std::istream stream(&m_buffer);
        std::string command;
        std::getline(stream, command);
        m_response = m_handler(command) + "\n";
        boost::asio::async_write(m_socket,
                                 boost::asio::buffer(m_response),
                                 [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                     if (!error) {
                                         self->read();
                                     }
                                 });
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::streambuf m_buffer;
    ControlPort::Handler m_handler;
    std::string m_response;
};

} // namespace

Result<void> ControlPort::listen(boost::asio::io_context &context, const Endpoint &endpoint, Handler handler)
{
    m_handler = std::move(handler);
    m_acceptor = std::make_unique<boost::asio::ip::tcp::acceptor>(context);
    if (auto result = listenOn(*m_acceptor, endpoint); !result) {
        return result.error();
    }
    accept();
    return {};
}

void ControlPort::accept()
{
    m_acceptor->async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<ControlSession>(std::move(socket), m_handler)->read();
        }
        accept();
    });
}

} // namespace samphireswitch::standin
