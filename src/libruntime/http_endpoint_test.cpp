#include "citroncrank/http_endpoint.h"

#include "http_router_pvt.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace citroncrank {
namespace {

namespace asio = boost::asio;

constexpr std::uint32_t kLoopback = 0x7F000001;
// For requests that are completed however busy the machine is.
constexpr std::chrono::seconds kUnlimitedStopTimeout{30};

// HTTP client that sends raw bytes.
class raw_caller
{
public:
    explicit raw_caller(const host_address &address)
    {
        m_socket.connect({asio::ip::address_v4(address.ip), address.port});
    }
    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes), m_error); }
    std::string readUntilClosed()
    {
        std::string out;
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(out), error);
        if (error != asio::error::eof)
            m_error = error;
        return out;
    }
    void finishSending() { m_socket.shutdown(asio::ip::tcp::socket::shutdown_send); }
    // The error of the last transfer, for example a reset connection.
    boost::system::error_code error() const { return m_error; }
    std::string readUntil(const std::string &end)
    {
        std::string out;
        boost::system::error_code error;
        asio::read_until(m_socket, asio::dynamic_buffer(out), end, error);
        return out;
    }

private:
    asio::io_context m_loop;
    boost::system::error_code m_error;
    asio::ip::tcp::socket m_socket{m_loop};
};

class HttpEndpointTest : public testing::Test
{
public:
    void start(http_endpoint_settings settings = {})
    {
        settings.address = {kLoopback, 0};
        endpoint.emplace(settings, registry, [this] { return reasons; });
        endpoint->handle("POST", "/echo", [](const http_request &request) {
            return http_reply{.status = 201,
                              .contentType = "application/json",
                              .body = request.path + "|" + request.query + "|" + request.body,
                              .headers = {{"X-Good", "1"}, {"X-Bad", "1\r\nSet-Cookie: x"}}};
        });
        endpoint->handle("GET", "/fail",
                         [](const http_request &) -> http_reply { throw std::runtime_error("internal detail"); });
        ASSERT_FALSE(endpoint->start());
    }
    std::string exchange(const std::string &request)
    {
        raw_caller caller(endpoint->address());
        caller.send(request);
        return caller.readUntilClosed();
    }
    std::string get(const std::string &path)
    {
        return exchange("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }

    metrics_registry registry;
    std::vector<std::string> reasons;
    std::optional<http_endpoint> endpoint;
};

bool startsWith(const std::string &answer, const std::string &status)
{
    return answer.starts_with("HTTP/1.1 " + status);
}

// Guards against missing metrics and health responses, and against traffic to a node that is not ready.
TEST_F(HttpEndpointTest, StandardPaths)
{
    start();
    EXPECT_TRUE(get("/health").ends_with("\r\n\r\nok\n"));
    EXPECT_TRUE(startsWith(get("/ready"), "200"));
    registry.counter("citroncrank_test_total", "T.").increment(7);
    const std::string metrics = get("/metrics");
    EXPECT_NE(metrics.find("Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"), std::string::npos);
    EXPECT_NE(metrics.find("\ncitroncrank_test_total 7\n"), std::string::npos);
    EXPECT_NE(metrics.find("citroncrank_http_requests_total{status=\"200\"} 2\n"), std::string::npos);
}

// Guards against a readiness response without the reasons.
TEST_F(HttpEndpointTest, NotReadyNamesTheReasons)
{
    reasons = {"no configuration revision", "no members"};
    start();
    const std::string answer = get("/ready");
    EXPECT_TRUE(startsWith(answer, "503"));
    EXPECT_TRUE(answer.ends_with("\r\n\r\nno configuration revision\nno members\n"));
}

// Guards against lost parts of a request, and against handler data that injects header lines into the response.
TEST_F(HttpEndpointTest, PostReachesTheHandler)
{
    start();
    const std::string answer =
        exchange("POST /echo/a%20b?x=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
    EXPECT_TRUE(startsWith(answer, "201"));
    EXPECT_TRUE(answer.ends_with("\r\n\r\n/echo/a%20b|x=1|hello"));
    EXPECT_NE(answer.find("X-Good: 1\r\n"), std::string::npos);
    EXPECT_EQ(answer.find("Set-Cookie"), std::string::npos);
}

// Guards against responses in the wrong order on one connection, and against a body in the response to HEAD.
TEST_F(HttpEndpointTest, PipelinedRequestsAreAnsweredInOrder)
{
    start();
    const std::string answer = exchange("HEAD /health HTTP/1.1\r\nHost: a\r\n\r\n"
                                        "GET /none HTTP/1.1\r\nHost: a\r\n\r\n"
                                        "GET /health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto second = answer.find("HTTP/1.1 404");
    ASSERT_NE(second, std::string::npos);
    EXPECT_NE(answer.substr(0, second).find("Content-Length: 3\r\n"), std::string::npos);
    EXPECT_TRUE(answer.substr(0, second).ends_with("\r\n\r\n"));
    EXPECT_TRUE(answer.ends_with("\r\n\r\nok\n"));
}

// Guards against a crash or a leak of internal details on invalid requests.
TEST_F(HttpEndpointTest, WrongRequestsAreRefused)
{
    http_endpoint_settings settings;
    settings.maxBodyBytes = 100;
    settings.maxHeaderBytes = 1000;
    start(settings);
    const std::string notAllowed = exchange("DELETE /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(startsWith(notAllowed, "405"));
    EXPECT_NE(notAllowed.find("Allow: POST\r\n"), std::string::npos);
    const std::string failed = get("/fail");
    EXPECT_TRUE(startsWith(failed, "500"));
    EXPECT_EQ(failed.find("internal detail"), std::string::npos);
    EXPECT_TRUE(startsWith(get("http://a/health"), "400"));
    EXPECT_TRUE(startsWith(exchange("\x16\x03\x01\x02\r\n\r\n"), "400"));
    EXPECT_TRUE(startsWith(exchange("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a')), "431"));
    EXPECT_TRUE(startsWith(exchange("POST /echo HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), "413"));
    EXPECT_TRUE(startsWith(
        exchange("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + std::string(128, 'a')), "413"));
    EXPECT_TRUE(startsWith(exchange("POST /echo HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), "400"));
    EXPECT_TRUE(startsWith(get("/health"), "200"));
}

// Guards against closing a connection while the client still sends the body. That resets the connection, and the client
// may lose the error response before it has read it.
TEST_F(HttpEndpointTest, RefusalOfALargeBodyDoesNotReset)
{
    start();
    raw_caller caller(endpoint->address());
    caller.send("POST /echo HTTP/1.1\r\nContent-Length: 2097152\r\n\r\n" + std::string(2 * 1024 * 1024, 'a'));
    EXPECT_FALSE(caller.error()) << caller.error().message();
    caller.finishSending();
    EXPECT_TRUE(startsWith(caller.readUntilClosed(), "413"));
    EXPECT_FALSE(caller.error()) << caller.error().message();
}

// Guards against callers that hold connections by never completing a request.
TEST_F(HttpEndpointTest, UnfinishedRequestTimesOut)
{
    http_endpoint_settings settings;
    settings.timeout = std::chrono::milliseconds(20);
    start(settings);
    EXPECT_EQ(exchange("GET /health HTTP/1.1\r\n"), "");
    EXPECT_EQ(exchange(""), "");
}

// Guards against descriptors that run out when callers open many connections.
TEST_F(HttpEndpointTest, ConnectionsAreBounded)
{
    http_endpoint_settings settings;
    settings.maxConnections = 1;
    start(settings);
    raw_caller first(endpoint->address());
    first.send("GET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(startsWith(first.readUntil("ok\n"), "200"));
    EXPECT_EQ(exchange(""), "");
    EXPECT_EQ(registry.counter("citroncrank_http_refused_connections_total", "").value(), 1);
    first.send("GET /health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(startsWith(first.readUntilClosed(), "200"));
}

// Guards against a planned stop that interrupts a request, or that waits for idle connections.
TEST_F(HttpEndpointTest, StopCompletesTheRequestInProgress)
{
    std::promise<void> entered;
    std::promise<void> release;
    http_endpoint slow(
        {.address = {kLoopback, 0}, .timeout = std::chrono::minutes(5), .stopTimeout = kUnlimitedStopTimeout}, registry,
        {});
    slow.handle("GET", "/slow", [&entered, &release](const http_request &) {
        entered.set_value();
        release.get_future().wait();
        return http_reply{.body = std::string(500000, 'x')};
    });
    ASSERT_FALSE(slow.start());
    raw_caller idle(slow.address());
    raw_caller caller(slow.address());
    caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    entered.get_future().wait();
    std::thread stopper([&slow] { slow.stop(); });
    release.set_value();
    const std::string answer = caller.readUntilClosed();
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + std::string(500000, 'x')));
    stopper.join();
    EXPECT_EQ(idle.readUntilClosed(), "");
}

// Guards against a process that does not end on SIGTERM because a client has gone silent in the middle of its request, and
// against a request that is lost although the rest of it arrives in time.
TEST_F(HttpEndpointTest, StopWaitsForAPartialRequestUntilItsTimeoutOnly)
{
    constexpr std::chrono::milliseconds kStopTimeout{300};
    start({.timeout = std::chrono::minutes(5), .stopTimeout = kStopTimeout});
    const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
    raw_caller silent(endpoint->address());
    silent.send(head + "ab");
    raw_caller late(endpoint->address());
    late.send(head + "ab");
    EXPECT_TRUE(startsWith(get("/health"), "200")) << "the parts before have been received";
    const auto begin = std::chrono::steady_clock::now();
    std::size_t unfinished = 0;
    std::thread stopper([&] { unfinished = endpoint->stop(); });
    std::this_thread::sleep_for(kStopTimeout / 3);
    late.send("cd");
    EXPECT_TRUE(late.readUntilClosed().ends_with("/echo||abcd"));
    stopper.join();
    const auto taken = std::chrono::steady_clock::now() - begin;
    EXPECT_GE(taken, kStopTimeout);
    EXPECT_LT(taken, std::chrono::seconds(10));
    EXPECT_EQ(silent.readUntilClosed(), "");
    EXPECT_EQ(unfinished, 1);
}

// Guards against requests that are lost when the endpoint stops under load: while it serves another request, their
// connections are still in the backlog, or are accepted but not read yet.
TEST_F(HttpEndpointTest, StopAnswersTheRequestsThatWait)
{
    constexpr int kWaiting = 8;
    std::promise<void> entered;
    std::promise<void> release;
    http_endpoint busy({.address = {kLoopback, 0}, .stopTimeout = kUnlimitedStopTimeout}, registry, {});
    busy.handle("GET", "/slow", [&](const http_request &) {
        entered.set_value();
        release.get_future().wait();
        return http_reply{.body = "done"};
    });
    busy.handle("GET", "/quick", [](const http_request &) { return http_reply{.body = "done"}; });
    ASSERT_FALSE(busy.start());
    raw_caller idle(busy.address());
    raw_caller slow(busy.address());
    slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    entered.get_future().wait();
    std::vector<std::unique_ptr<raw_caller>> waiting;
    for (int i = 0; i < kWaiting; ++i) {
        waiting.push_back(std::make_unique<raw_caller>(busy.address()));
        waiting.back()->send("GET /quick HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    std::thread stopping([&] { busy.stop(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    release.set_value();
    EXPECT_TRUE(slow.readUntilClosed().ends_with("done"));
    for (const auto &caller : waiting)
        EXPECT_TRUE(caller->readUntilClosed().ends_with("done"));
    stopping.join();
}

// Guards against a process that runs on without its endpoint when the address is in use.
TEST_F(HttpEndpointTest, AddressInUseIsReported)
{
    start();
    http_endpoint second({.address = endpoint->address()}, registry, {});
    EXPECT_EQ(second.start(), (http_listen_failure{endpoint->address(), EADDRINUSE}));
}

// Guards against a prefix that matches in the middle of a path segment.
TEST(HttpRouter, PrefixesEndAtSlashes)
{
    const auto named = [](const std::string &name) {
        return [name](const http_request &) { return http_reply{.body = name}; };
    };
    http_router router;
    router.add("GET", "/flows", named("flows"));
    router.add("GET", "/flows/lost", named("lost"));
    const auto bodyOf = [&router](const std::string &path) { return router.route({"GET", path, "", ""}).body; };
    EXPECT_EQ(bodyOf("/flows"), "flows");
    EXPECT_EQ(bodyOf("/flows/7"), "flows");
    EXPECT_EQ(bodyOf("/flows/lost/7"), "lost");
    EXPECT_EQ(bodyOf("/flowsx"), "not found\n");
    EXPECT_EQ(bodyOf(""), "not found\n");
    router.add("GET", "/", named("root"));
    EXPECT_EQ(bodyOf("/flowsx"), "root");
}

} // namespace
} // namespace citroncrank
