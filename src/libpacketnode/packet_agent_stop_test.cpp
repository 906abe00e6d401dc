#include "citroncrank/http_connection.h"
#include "citroncrank/packet_agent_node.h"
#include "citroncrank/packet_node_settings.h"

#include "names.h"
#include "node_stop_fixture_test.h"

#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *kAnnouncements = "127.0.77.1:27566";
constexpr const char *kSettings = R"(name: "agent1"
region: "r"
domain: "za"
listen:
  plane: "127.0.77.1:27520"
  http: "127.0.77.1:27567"
  upstream-packets: "127.0.77.1:27562"
  announcements: "127.0.77.1:27566"
upstream: {address: "127.0.77.1:27588", service: "svc", announcement-period: 770ms}
caller-address: "127.0.77.2:27572"
platform: "127.0.77.3:27580"
seeds: ["127.0.77.4:27520"]
)";
constexpr const char *kAnnouncement =
    R"({"service":"svc","address":"127.0.77.1:27588","zone":"za","version":"v1","slots":2,"state":"ready",)"
    R"("cold-remaining-ms":0,"seq-no":1,"born":1000})";
// The stop of an idle agent takes a few milliseconds, and an announcement that waits for an ended loop 800 ms.
constexpr duration kMaxStopTime = milliseconds(750);

/// An agent without an upstream.
class PacketAgentStop : public node_stop_fixture<packet_agent_node>
{
protected:
    void SetUp() override { openNode(kSettings, packetAgentTable()); }
};

} // namespace

// Guards against an agent that neither serves nor ends for 0.8 s because an announcement waits for its ended loop (a
// quarter of the silence after which balancers count an agent out is spent on its restart already). Announcements of several
// connections keep one waiting at any time. Without loop_call_gate::close() the stop takes 0.8 s or longer.
TEST_F(PacketAgentStop, AnnouncementsDuringTheStopDoNotDelayIt)
{
    std::atomic<bool> isEnding = false;
    constexpr int kConnections = 8;
    std::vector<std::thread> upstreams;
    upstreams.reserve(kConnections);
    for (int i = 0; i < kConnections; ++i) {
        upstreams.emplace_back([&isEnding] {
            http_connection connection({*parseHostAddress(kAnnouncements), seconds(5)});
            while (!isEnding) {
                http_call_failure failure = http_call_failure::not_sent;
                connection.call({"POST", std::string(platform::kAnnouncementPath) + "/i-1", kAnnouncement, {}, false},
                                &failure);
            }
        });
    }
    const duration stopTime = runUntilStopped();
    isEnding = true;
    for (std::thread &upstream : upstreams)
        upstream.join();
    EXPECT_LT(stopTime, kMaxStopTime);
}

// Guards against an agent that neither serves nor ends for ten seconds because a connection has gone silent in the middle of
// an announcement (review/7): its flows were reset while their upstream served.
TEST_F(PacketAgentStop, AHalfReceivedAnnouncementDoesNotDelayIt)
{
    const std::string body = kAnnouncement;
    const silent_client silent(kAnnouncements,
                               std::string("POST ") + platform::kAnnouncementPath
                                   + "/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
                                   + "\r\n\r\n" + body.substr(0, body.size() / 2));
    EXPECT_LT(runUntilStopped(), kMaxStopTime);
}
