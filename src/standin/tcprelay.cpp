#include "standin/tcprelay.h"

#include "standin/sockets.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace samphireswitch::standin {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds s_blockedPollInterval {5};

/** The bytes of one direction of a relayed connection. */
class Pump
{
public:
    Pump(Direction direction, tcp::socket &from, tcp::socket &to, FaultRules &rules)
        : m_direction(direction)
        , m_from(from)
        , m_to(to)
        , m_rules(rules)
        , m_timer(from.get_executor())
    {
    }

    /** @p owner keeps both sockets alive. */
    void read(const std::shared_ptr<void> &owner)
    {
        m_from.async_read_some(boost::asio::buffer(m_buffer),
                               [this, owner](const boost::system::error_code &error, std::size_t size) {
                                   if (error) {
                                       endOfStream(error);
                                       return;
                                   }
                                   m_size = size;
                                   if (m_direction == Direction::FromTarget && m_rules.takeLostAnswer()) {
                                       closeBoth();
                                       return;
                                   }
                                   waitThenWrite(owner, m_rules.streamDelay());
                               });
    }

private:
    void waitThenWrite(const std::shared_ptr<void> &owner, std::chrono::microseconds delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this, owner](const boost::system::error_code &) {
            if (m_rules.isCut(m_direction) || m_rules.isFrozen()) {
                waitThenWrite(owner, s_blockedPollInterval);
                return;
            }
            write(owner);
        });
    }

    void write(const std::shared_ptr<void> &owner)
    {
        boost::asio::async_write(m_to,
                                 boost::asio::buffer(m_buffer, m_size),
                                 [this, owner](const boost::system::error_code &error, std::size_t) {
                                     if (error) {
                                         closeBoth();
                                         return;
                                     }
                                     read(owner);
                                 });
    }

    void endOfStream(const boost::system::error_code &error)
    {
        if (error != boost::asio::error::eof) {
            closeBoth();
            return;
        }
        boost::system::error_code ignored;
        m_to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void closeBoth()
    {
        boost::system::error_code ignored;
        m_from.close(ignored);
        m_to.close(ignored);
    }

    Direction m_direction;
    tcp::socket &m_from;
    tcp::socket &m_to;
    FaultRules &m_rules;
    boost::asio::steady_timer m_timer;
    std::array<std::byte, 65536> m_buffer {};
    std::size_t m_size = 0;
};

class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(tcp::socket client, FaultRules &rules)
        : m_client(std::move(client))
        , m_target(m_client.get_executor())
        , m_toTarget(Direction::ToTarget, m_client, m_target, rules)
        , m_fromTarget(Direction::FromTarget, m_target, m_client, rules)
    {
    }

    void start(const tcp::endpoint &target)
    {
        m_target.async_connect(target, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            self->m_toTarget.read(self);
            self->m_fromTarget.read(self);
        });
    }

private:
    tcp::socket m_client;
    tcp::socket m_target;
    Pump m_toTarget;
    Pump m_fromTarget;
};

} // namespace

TcpRelay::TcpRelay(boost::asio::io_context &context, FaultRules &rules, const Endpoint &target)
    : m_rules(rules)
    , m_target(toTcp(target))
    , m_acceptor(context)
{
}

Result<void> TcpRelay::listen(const Endpoint &endpoint)
{
    if (auto result = listenOn(m_acceptor, endpoint); !result) {
        return result.error();
    }
    accept();
    return {};
}

void TcpRelay::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<RelayedConnection>(std::move(socket), m_rules)->start(m_target);
        }
        accept();
    });
}

} // namespace samphireswitch::standin
