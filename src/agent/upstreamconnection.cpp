#include "agent/upstreamconnection.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace samphireswitch::agent {

namespace {

Transfer toTransfer(const boost::system::error_code &error, std::size_t size)
{
    if (!error) {
        return {TransferStatus::Done, size};
    }
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        return {TransferStatus::Blocked, 0};
    }
    if (error == boost::asio::error::eof) {
        return {TransferStatus::End, 0};
    }
    return {TransferStatus::Broken, 0};
}

} // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context &io,
                                       const Endpoint &endpoint,
                                       std::function<void()> wake)
    : m_socket(io)
    , m_endpoint(endpoint)
    , m_wake(std::move(wake))
{
}

void UpstreamConnection::connect()
{
    boost::system::error_code error;
    m_socket.close(error);
    m_state = State::Connecting;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(m_endpoint.address), m_endpoint.port);
    // async_connect() opens the socket and reports every failure to the handler, so no error is checked here.
    m_socket.async_connect(endpoint, [weak = weak_from_this()](const boost::system::error_code &result) {
        if (const auto self = weak.lock()) {
            self->finishConnecting(result);
        }
    });
}

void UpstreamConnection::connectAfter(std::chrono::milliseconds delay)
{
    m_state = State::Connecting;
    m_retryTimer.emplace(m_socket.get_executor(), delay);
    m_retryTimer->async_wait([weak = weak_from_this()](const boost::system::error_code &result) {
        const auto self = weak.lock();
        if (self && !result) {
            self->connect();
        }
    });
}

UpstreamConnection::State UpstreamConnection::state() const
{
    return m_state;
}

Transfer UpstreamConnection::read(std::span<std::byte> buffer)
{
    if (m_awaitsReadable) {
        return {TransferStatus::Blocked, 0};
    }
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(boost::asio::buffer(buffer.data(), buffer.size()), error);
    const Transfer transfer = toTransfer(error, size);
    const bool drained = transfer.status == TransferStatus::Done && size < buffer.size();
    if (drained || transfer.status == TransferStatus::Blocked) {
        awaitReadable();
    }
    return transfer;
}

Transfer UpstreamConnection::write(std::span<const std::byte> bytes)
{
    if (m_awaitsWritable) {
        return {TransferStatus::Blocked, 0};
    }
    boost::system::error_code error;
    const std::size_t size = m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
    const Transfer transfer = toTransfer(error, size);
    if (transfer.status == TransferStatus::Blocked) {
        awaitWritable();
    }
    return transfer;
}

void UpstreamConnection::finishSending()
{
    boost::system::error_code error;
    m_socket.shutdown(Socket::shutdown_send, error);
}

void UpstreamConnection::reset()
{
    boost::system::error_code error;
    m_retryTimer.reset();
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    m_socket.close(error);
    m_state = State::Failed;
}

void UpstreamConnection::finishConnecting(const boost::system::error_code &error)
{
    if (error == boost::asio::error::operation_aborted) {
        return;
    }
    if (error) {
        m_state = State::Failed;
        m_wake();
        return;
    }
    m_state = State::Connected;
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_wake();
}

void UpstreamConnection::awaitReadable()
{
    m_awaitsReadable = true;
    m_socket.async_wait(Socket::wait_read, [weak = weak_from_this()](const boost::system::error_code &result) {
        const auto self = weak.lock();
        if (!self || result == boost::asio::error::operation_aborted) {
            return;
        }
        self->m_awaitsReadable = false;
        self->m_wake();
    });
}

void UpstreamConnection::awaitWritable()
{
    m_awaitsWritable = true;
    m_socket.async_wait(Socket::wait_write, [weak = weak_from_this()](const boost::system::error_code &result) {
        const auto self = weak.lock();
        if (!self || result == boost::asio::error::operation_aborted) {
            return;
        }
        self->m_awaitsWritable = false;
        self->m_wake();
    });
}

} // namespace samphireswitch::agent
