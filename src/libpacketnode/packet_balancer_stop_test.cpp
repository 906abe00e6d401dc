#include "citroncrank/packet_balancer_node.h"
#include "citroncrank/packet_node_settings.h"

#include "names.h"
#include "node_stop_fixture_test.h"

#include <chrono>
#include <gtest/gtest.h>
#include <string>

using namespace citroncrank;

namespace {

constexpr const char *kHttp = "127.0.78.1:27567";
constexpr const char *kSettings = R"(name: "balancer1"
region: "r"
domain: "za"
listen:
  plane: "127.0.78.1:27520"
  http: "127.0.78.1:27567"
  packets: "127.0.78.1:27562"
caller-address: "127.0.78.2:27572"
platform: "127.0.78.3:27580"
seeds: ["127.0.78.4:27520"]
stop-time: 6s
)";
constexpr duration kStopTime = std::chrono::seconds(6);

/// A balancer without a store, agents and callers.
class PacketBalancerStop : public node_stop_fixture<packet_balancer_node>
{
protected:
    void SetUp() override { openNode(kSettings, packetBalancerTable()); }
};

} // namespace

// Guards against a balancer that is killed at the end of its stop time, because a router's check has gone silent in the middle
// of its request and the read's time-out of 10 s is longer (review/7, where an agent waited so).
TEST_F(PacketBalancerStop, AHalfReceivedReadinessCheckDoesNotDelayIt)
{
    const silent_client silent(kHttp, std::string("GET ") + platform::kReadinessPath + " HTTP/1.1\r\nHost: a\r\n");
    EXPECT_LT(runUntilStopped(), kStopTime);
}
