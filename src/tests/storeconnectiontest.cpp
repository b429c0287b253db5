#include "store/storeconnection.h"

#include "tests/testtimes.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace samphireswitch::store {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/** A server that answers each connection's requests by a script, one connection after the other. */
class ScriptedServer
{
public:
    using Script = std::function<void(tcp::socket &)>;

    explicit ScriptedServer(std::vector<Script> scripts)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_remaining(scripts.size())
        , m_thread([this, scripts = std::move(scripts)] { serve(scripts); })
    {
    }

    ~ScriptedServer()
    {
        // Ends the scripts for which no connection came.
        while (m_remaining > 0) {
            boost::system::error_code error;
            tcp::socket(m_context).connect(m_acceptor.local_endpoint(), error);
            std::this_thread::sleep_for(1ms);
        }
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Endpoint endpoint() const
    {
        return {boost::asio::ip::address_v4::loopback().to_uint(), m_acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::vector<Script> &scripts)
    {
        for (const Script &script : scripts) {
            tcp::socket socket = m_acceptor.accept();
            boost::system::error_code error;
            script(socket);
            socket.shutdown(tcp::socket::shutdown_both, error);
            --m_remaining;
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_remaining;
    std::thread m_thread;
};

/** Reads the head of a request. Returns false at the end of the connection. */
bool readRequest(tcp::socket &socket)
{
    boost::system::error_code error;
    std::string head;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
    return !error;
}

void answer(tcp::socket &socket, const std::string &body)
{
    boost::system::error_code error;
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(text), error);
}

ScriptedServer::Script answerOnce(const std::string &body)
{
    return [body](tcp::socket &socket) {
        readRequest(socket);
        answer(socket, body);
    };
}

std::string get(StoreConnection &connection, const std::string &target)
{
    const auto result = connection.exchange({HttpMethod::Get, target, {}}, Clock::now() + tests::s_ampleTime);
    return result ? result->body : "failed";
}

} // namespace

// Guards against an answer that is taken for that of the next request: the store sends a second copy of an answer while
// the connection is idle.
TEST(StoreConnectionTest, LateCopyOfAnAnswerIsNotTakenForTheNextAnswer)
{
    std::promise<void> mayRepeat;
    ScriptedServer server({[&](tcp::socket &socket) {
                               readRequest(socket);
                               answer(socket, "first");
                               mayRepeat.get_future().wait();
                               answer(socket, "first");
                               // Ends when the client closes the connection.
                               if (readRequest(socket)) {
                                   answer(socket, "second");
                               }
                           },
                           answerOnce("second")});
    StoreConnection connection(server.endpoint());
    EXPECT_EQ(get(connection, "/1"), "first");
    mayRepeat.set_value();
    ASSERT_TRUE(connection.waitReadable(Clock::now() + tests::s_ampleTime)) << "the copy does not arrive";
    EXPECT_EQ(get(connection, "/2"), "second");
}

// Guards against a second copy that arrives in one piece with the answer.
TEST(StoreConnectionTest, CopyBehindAnAnswerIsNotTakenForTheNextAnswer)
{
    ScriptedServer server({[](tcp::socket &socket) {
                               readRequest(socket);
                               boost::system::error_code error;
                               const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
                               boost::asio::write(socket, boost::asio::buffer(one + one), error);
                               if (readRequest(socket)) {
                                   answer(socket, "second");
                               }
                           },
                           answerOnce("second")});
    StoreConnection connection(server.endpoint());
    EXPECT_EQ(get(connection, "/1"), "first");
    EXPECT_EQ(get(connection, "/2"), "second");
}

// Guards against a call that fails because the store has closed an idle connection.
TEST(StoreConnectionTest, ConnectionThatTheServerClosedIsOpenedAgain)
{
    ScriptedServer server({answerOnce("first"), answerOnce("second")});
    StoreConnection connection(server.endpoint());
    EXPECT_EQ(get(connection, "/1"), "first");
    ASSERT_TRUE(connection.waitReadable(Clock::now() + tests::s_ampleTime)) << "the server does not close";
    EXPECT_EQ(get(connection, "/2"), "second");
}

} // namespace samphireswitch::store
