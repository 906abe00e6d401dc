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

std::string formatResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Reaction of the scripted server to one request.
struct scripted_response
{
    std::string bytes;
    std::string delayedBytes;      ///< Sent 20 ms later, while no request is pending.
    bool closesConnection = false; ///< Closes the connection after the bytes.
    std::size_t parts = 1;         ///< Number of parts of `bytes`, sent one after the other.
    milliseconds partPause{0};     ///< Between two parts.
};

/// Loopback server that serves its connections one after the other and answers each request by the next script entry.
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_response> script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {net::ip::address_v4::loopback(), 0})
        , m_thread([this] { run(); })
    {}
    ~scripted_server()
    {
        m_isStopped = true;
        // Unblocks a pending accept.
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
            while (next < m_script.size() && serveRequest(&socket, m_script[next])) {
                if (m_script[next++].closesConnection)
                    break;
            }
        }
        net::ip::tcp::socket last(m_context);
        if (!m_isStopped)
            m_acceptor.accept(last);
    }

    static bool serveRequest(net::ip::tcp::socket *socket, const scripted_response &response)
    {
        boost::system::error_code failure;
        std::string request;
        net::read_until(*socket, net::dynamic_buffer(request), "\r\n\r\n", failure);
        if (failure)
            return false;
        const std::size_t partBytes = response.bytes.size() / response.parts + 1;
        for (std::size_t sent = 0; sent < response.bytes.size(); sent += partBytes) {
            if (sent > 0)
                std::this_thread::sleep_for(response.partPause);
            net::write(*socket, net::buffer(response.bytes.substr(sent, partBytes)), failure);
        }
        if (!response.delayedBytes.empty()) {
            std::this_thread::sleep_for(milliseconds(20));
            net::write(*socket, net::buffer(response.delayedBytes), failure);
        }
        return true;
    }

    std::vector<scripted_response> m_script;
    net::io_context m_context;
    net::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/// Returns the body of the response to a GET, or "-" without a response.
std::string read(http_connection *connection)
{
    http_call_failure failure{};
    const auto response = connection->call({.method = "GET", .target = "/"}, &failure);
    return response ? response->body : "-";
}

} // namespace

// Guards against a response that is taken for that of the next call: the server sends the first response twice, and the
// copy is read together with the original.
TEST(HttpConnection, DuplicateResponseIsNotReadByTheNextCall)
{
    scripted_server server({{formatResponse("first") + formatResponse("first")}, {formatResponse("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    EXPECT_EQ(read(&connection), "second");
}

// The same with a copy that arrives between the two calls.
TEST(HttpConnection, DelayedDuplicateResponseIsNotReadByTheNextCall)
{
    scripted_server server({{formatResponse("first"), formatResponse("first")}, {formatResponse("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    std::this_thread::sleep_for(milliseconds(60));
    EXPECT_EQ(read(&connection), "second");
}

// Guards against a truncated response that is accepted as complete.
TEST(HttpConnection, TruncatedResponseFails)
{
    scripted_server server(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "", true}, {formatResponse("whole")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "-");
    EXPECT_EQ(read(&connection), "whole");
}

// Guards against a truncated response without a length: it ends where the connection closes, so truncation cannot be
// detected.
TEST(HttpConnection, ResponseWithoutLengthFails)
{
    scripted_server server({{"HTTP/1.1 200 OK\r\n\r\nhalf", "", true}, {formatResponse("whole")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "-");
    EXPECT_EQ(read(&connection), "whole");
}

// Guards against complete responses that are rejected because the server closes the connection after them (e2e_client).
TEST(HttpConnection, ResponseWithLengthIsCompleteWhenConnectionCloses)
{
    scripted_server server({{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "", true},
                            {"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", "", true}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "whole");
    EXPECT_EQ(read(&connection), "");
}

// Guards against a new connection for each call.
TEST(HttpConnection, ConnectionIsKeptBetweenCalls)
{
    scripted_server server({{formatResponse("first")}, {formatResponse("second")}});
    http_connection connection({server.address(), milliseconds(500)});
    EXPECT_EQ(read(&connection), "first");
    EXPECT_EQ(read(&connection), "second");
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a response that never arrives over a slow link: it was thrown away at the deadline and requested anew.
TEST(HttpConnection, AResponseThatKeepsArrivingIsReadPastTheDeadline)
{
    const std::string body(20'000, 'x');
    scripted_server server({{.bytes = formatResponse(body), .parts = 10, .partPause = milliseconds(50)}});
    http_connection connection({server.address(), milliseconds(200)});
    EXPECT_EQ(read(&connection), body);
}

// Guards against a call without an end, if the server stops in the middle of its response.
TEST(HttpConnection, AResponseThatStopsArrivingFails)
{
    scripted_server server(
        {{.bytes = formatResponse(std::string(100, 'x')), .parts = 2, .partPause = milliseconds(600)}});
    http_connection connection({server.address(), milliseconds(200)});
    const auto before = std::chrono::steady_clock::now();
    EXPECT_EQ(read(&connection), "-");
    EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(500));
}

// The same if it sends a byte now and then.
TEST(HttpConnection, AResponseThatArrivesForTooLongFails)
{
    scripted_server server(
        {{.bytes = formatResponse(std::string(100, 'x')), .parts = 30, .partPause = milliseconds(50)}});
    http_connection connection(
        {.address = server.address(), .callDeadline = milliseconds(200), .transferDeadline = milliseconds(500)});
    const auto before = std::chrono::steady_clock::now();
    EXPECT_EQ(read(&connection), "-");
    EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(900));
}
