#pragma once

/// @file
/// Stand-ins of packet flow callers with real sockets, and of the routers that choose a balancer for each packet. Test
/// use only.

#include "citroncrank/datagram_socket.h"
#include "citroncrank/event_loop.h"
#include "citroncrank/ids.h"
#include "citroncrank/standin_packet.h"
#include "citroncrank/time.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace citroncrank {

/// Addresses of a balancer that the routers use.
struct rotation_member
{
    host_address packets;
    host_address http; ///< Address of its readiness check.
    auto operator<=>(const rotation_member &) const = default;
};

/// Parses "PACKETS=HTTP", two addresses with ports. Returns nullopt if one is malformed.
std::optional<rotation_member> parseRotationMember(const std::string &text);

/// Set of balancers to which the routers send packets. A thread of its own checks their readiness.
class standin_rotation
{
public:
    explicit standin_rotation(const std::vector<rotation_member> &members);
    ~standin_rotation();
    standin_rotation(const standin_rotation &) = delete;
    standin_rotation &operator=(const standin_rotation &) = delete;

    /// Returns the balancer of a flow, the same one while the rotation does not change. Nullopt if none is in rotation.
    std::optional<host_address> chooseBalancer(const flow_key &flow) const;

private:
    struct entry
    {
        rotation_member member;
        std::atomic<int> failedChecks; ///< Consecutive ones.
    };

    void checkReadiness();

    std::vector<std::unique_ptr<entry>> m_entries;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

struct standin_caller_group_settings
{
    host_address first;   ///< Address of the first caller; the others follow it.
    host_address service; ///< Address that callers use.
    std::uint32_t callers = 8;
    std::uint32_t requestsPerFlow = 5;
    duration pause = std::chrono::milliseconds(20); ///< Minimum time between the starts of two requests of a caller.
    std::uint64_t seed = 1;
};

/// Several callers with one socket each. Not thread safe.
class standin_caller_group
{
public:
    explicit standin_caller_group(const standin_caller_group_settings &settings);

    /// Opens the sockets and watches them in the event loop. Returns false and stores the cause.
    bool open(event_loop *loop, std::error_code *lastReason);
    /// Begins requests if `mayBegin`, retransmits unanswered packets, and sends all datagrams that are due.
    void advance(const standin_rotation &rotation, bool mayBegin, time_point now);
    /// Sets the share of the callers' packets that the routers drop, 0 to 1.
    void setPacketLoss(double share) { m_lossShare = share; }

    bool isIdle() const;
    standin_caller_counts counts() const;
    std::vector<standin_caller_event> takeEvents();

private:
    struct caller_endpoint
    {
        standin_packet_caller caller;
        datagram_socket socket;
        host_address address;
        time_point nextRequestAt;
    };

    void advance(caller_endpoint *endpoint, const standin_rotation &rotation, bool mayBegin, time_point now);

    duration m_pause;
    double m_lossShare = 0;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<caller_endpoint>> m_endpoints;
};

} // namespace citroncrank
