#include "citroncrank/http_connection.h"

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

using namespace citroncrank;

namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a scripted server does with one request.
struct scripted_answer
{
    std::string bytes;
    std::string later; ///< Sent after a pause, with no request waiting.
    bool ends = false; ///< Closes the connection behind the bytes.
};

/// Server on loopback that answers the requests of all its connections by a script, one after the other.
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_answer> script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {net::ip::address_v4::loopback(), 0})
        , m_thread([this] { run(); })
    {}
    ~scripted_server()
    {
        m_isStopped = true;
        // Ends a waiting accept.
        net::ip::tcp::socket last(m_context);
        boost::system::error_code ignored;
        last.connect(m_acceptor.local_endpoint(), ignored);
        last.close();
        m_thread.join();
    }

    host_address address() const
    {
        return {net::ip::address_v4::loopback().to_uint(), m_acceptor.local_endpoint().port()};
    }
    int connections() const { return m_connections; }

private:
    void run()
    {
        std::size_t next = 0;
        while (next < m_script.size()) {
            net::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_isStopped)
                return;
            ++m_connections;
            while (next < m_script.size() && serve(&socket, m_script[next])) {
                if (m_script[next++].ends)
                    break;
            }
        }
        net::ip::tcp::socket last(m_context);
        if (!m_isStopped)
            m_acceptor.accept(last);
    }

    static bool serve(net::ip::tcp::socket *socket, const scripted_answer &answer)
    {
        boost::system::error_code failure;
        std::string request;
        net::read_until(*socket, net::dynamic_buffer(request), "\r\n\r\n", failure);
        if (failure)
            return false;
        net::write(*socket, net::buffer(answer.bytes), failure);
        if (!answer.later.empty()) {
            std::this_thread::sleep_for(milliseconds(20));
            net::write(*socket, net::buffer(answer.later), failure);
        }
        return true;
    }

    std::vector<scripted_answer> m_script;
    net::io_context m_context;
    net::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/// Body of the answer to a read; "-" without one.
std::string read(http_connection *connection)
{
    http_call_failure failure{};
    const auto answer = connection->call({.method = "GET", .target = "/"}, &failure);
    return answer ? answer->body : "-";
}

} // namespace

// Guards against an answer that belongs to another call: the server sent the first answer twice, and the second copy was read
// together with the first one.
TEST(HttpConnection, SecondCopyOfAnAnswerIsNotTheNextAnswer)
{
    scripted_server server({{answerWith("first") + answerWith("first")}, {answerWith("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    EXPECT_EQ(read(&connection), "second");
}

TEST(HttpConnection, LateSecondCopyOfAnAnswerIsNotTheNextAnswer)
{
    scripted_server server({{answerWith("first"), answerWith("first")}, {answerWith("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    std::this_thread::sleep_for(milliseconds(60));
    EXPECT_EQ(read(&connection), "second");
}

// Guards against an answer that broke off and passes for a whole one.
TEST(HttpConnection, AnswerThatBreaksOffIsNoAnswer)
{
    scripted_server server({{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "", true}, {answerWith("whole")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "-");
    EXPECT_EQ(read(&connection), "whole");
}

// Without a length the end of the connection is the end of the answer, and nothing tells whether it is whole.
TEST(HttpConnection, AnswerWithoutALengthIsNoAnswer)
{
    scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nhalf", "", true}, {answerWith("whole")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "-");
    EXPECT_EQ(read(&connection), "whole");
}

// Guards against whole answers that are refused because the server closes the connection behind them (e2e_client).
TEST(HttpConnection, AnswerWithALengthIsWholeThoughItsConnectionEnds)
{
    scripted_server server({{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "", true},
                            {"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", "", true}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "whole");
    EXPECT_EQ(read(&connection), "");
}

// Guards against a connection for each call.
TEST(HttpConnection, ConnectionIsKeptBetweenCalls)
{
    scripted_server server({{answerWith("first")}, {answerWith("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    EXPECT_EQ(read(&connection), "second");
    EXPECT_EQ(server.connections(), 1);
}
