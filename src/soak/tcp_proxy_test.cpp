#include "tcp_proxy.h"

#include "citroncrank/http_connection.h"
#include "citroncrank/http_endpoint.h"
#include "citroncrank/metrics.h"

#include <chrono>
#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::soak;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr host_address kProxy{0x7F5A0901, 27301};

/// A server behind a proxy, and a client.
class TcpProxy : public ::testing::Test
{
public:
    TcpProxy()
    {
        EXPECT_FALSE(server.start());
        std::error_code reason;
        EXPECT_TRUE(proxy.start(kProxy, server.address(), &reason)) << reason.message();
    }

    /// Returns whether a call over the client's keep-alive connection is answered.
    bool isAnswered()
    {
        http_call_failure failure = http_call_failure::not_sent;
        return client.call({"GET", "/health", "", {}, false}, &failure).has_value();
    }

    void setMode(proxy_mode mode)
    {
        proxy.setMode(mode);
        std::this_thread::sleep_for(milliseconds(30)); // Until the proxy's thread has read the mode.
    }

    metrics_registry metrics;
    http_endpoint server{{.address = {kLoopback, 0}}, metrics, [] { return std::vector<std::string>(); }};
    tcp_proxy proxy;
    http_connection client{{kProxy, milliseconds(400)}};
};

} // namespace

// Guards against a proxy that injects no fault, or continues after the mode has ended.
TEST_F(TcpProxy, DisturbsWhileTheModeLasts)
{
    EXPECT_TRUE(isAnswered());
    for (const proxy_mode mode : {proxy_mode::refuse, proxy_mode::cut_there, proxy_mode::cut_back}) {
        setMode(mode);
        EXPECT_FALSE(isAnswered()) << toString(mode);
        setMode(proxy_mode::pass);
        EXPECT_TRUE(isAnswered()) << toString(mode);
    }
    setMode(proxy_mode::delay);
    const auto before = std::chrono::steady_clock::now();
    EXPECT_TRUE(isAnswered());
    EXPECT_GE(std::chrono::steady_clock::now() - before, milliseconds(200)) << "both ways";
}

// Guards against silenced connections that relay bytes again, and against new connections that are silenced too.
TEST_F(TcpProxy, OldConnectionsStaySilentAndNewOnesWork)
{
    EXPECT_TRUE(isAnswered());
    setMode(proxy_mode::silence);
    EXPECT_FALSE(isAnswered());
    EXPECT_TRUE(isAnswered()) << "the client has opened a new connection";
}
