#include "citroncrank/http_endpoint.h"
#include "citroncrank/metrics.h"
#include "citroncrank/routes_worker.h"

#include "restored_store_fixture_test.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

/// A balancer that serves routes of one version.
class serving_balancer
{
public:
    /// `delay`: from a request to its answer.
    explicit serving_balancer(std::uint64_t version, milliseconds delay = milliseconds(0))
    {
        m_http.handle("GET", "/routes", [version, delay](const http_request &) {
            std::this_thread::sleep_for(delay);
            return http_reply{.status = 200, .contentType = "application/json", .body = configuration(version)};
        });
        EXPECT_FALSE(m_http.start());
    }
    host_address address() const { return m_http.address(); }

private:
    metrics_registry m_metrics;
    http_endpoint m_http{{.address = {0x7F000001, 0}}, m_metrics, [] { return std::vector<std::string>(); }};
};

/// Reads routes from the sources that the test announces.
class PeerRoutes : public ::testing::Test
{
protected:
    ~PeerRoutes() override { m_worker.stop(); }

    void announce(const routes_source &source)
    {
        const std::lock_guard lock(m_mutex);
        m_sources.recordAnnouncement(source);
    }

    void recordFailure(const routes_source &source)
    {
        const std::lock_guard lock(m_mutex);
        m_sources.recordFailure(source);
        m_failures.push_back(source);
    }

    bool waitForVersion(std::uint64_t version)
    {
        const auto end = std::chrono::steady_clock::now() + kConfigApplyLimit;
        while (m_version != version && std::chrono::steady_clock::now() < end) {
            m_worker.fetchNow();
            std::this_thread::sleep_for(milliseconds(20));
        }
        return m_version == version;
    }

    std::vector<routes_source> failures() const
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

    mutable std::mutex m_mutex;
    routes_sources m_sources;
    std::vector<routes_source> m_failures;
    std::atomic<std::uint64_t> m_version = 5;
    peer_routes_worker m_worker{[this](const std::shared_ptr<const route_set> &routes, const std::string &) {
                                    m_version = routes->version;
                                    return true;
                                },
                                {.source =
                                     [this] {
                                         const std::lock_guard lock(m_mutex);
                                         return m_sources.latest(m_version);
                                     },
                                 .fail = [this](const routes_source &source) { recordFailure(source); }},
                                [](const std::string &) {}};
};

} // namespace

// Guards against a balancer that keeps older routes because the one that announced newer ones to it has ended.
TEST_F(PeerRoutes, ReadsFromAnotherBalancerWhenTheLastAnnouncerHasEnded)
{
    const serving_balancer alive(7);
    const host_address ended = serving_balancer(7).address();
    announce({alive.address(), 7});
    announce({ended, 7});
    m_worker.start();
    EXPECT_TRUE(waitForVersion(7));
    EXPECT_EQ(failures(), (std::vector<routes_source>{{ended, 7}}));
}

// Guards against routes that a restarted balancer has read from an older copy of the store, taken for the ones it announced.
TEST_F(PeerRoutes, OlderRoutesThanAnnouncedAreAFailure)
{
    const serving_balancer older(6);
    const serving_balancer current(7);
    announce({current.address(), 7});
    announce({older.address(), 7});
    m_worker.start();
    EXPECT_TRUE(waitForVersion(7));
    EXPECT_EQ(failures(), (std::vector<routes_source>{{older.address(), 7}}));
}

// Guards against a process whose end waits for a balancer that does not answer.
TEST_F(PeerRoutes, AStopEndsACallInProgress)
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
    announce({{0x7F000001, silent.local_endpoint().port()}, 7});
    m_worker.start();
    m_worker.fetchNow();
    std::this_thread::sleep_for(milliseconds(100));
    const auto before = std::chrono::steady_clock::now();
    m_worker.stop();
    EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(200));
}

// Guards against a balancer that keeps older routes while its link is full: each call ended after the same time, which no answer
// could meet.
TEST_F(PeerRoutes, AnAnswerThatTakesLongerThanTheDeadlineIsWaitedForNextTime)
{
    const serving_balancer slow(7, milliseconds(700));
    announce({slow.address(), 7});
    m_worker.start();
    const auto end = std::chrono::steady_clock::now() + kConfigApplyLimit;
    while (m_version != 7 && std::chrono::steady_clock::now() < end) {
        announce({slow.address(), 7}); // Its hellos still arrive.
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_EQ(m_version, 7U);
}
