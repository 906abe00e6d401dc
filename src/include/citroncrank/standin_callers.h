#pragma once

/// @file
/// Callers of packet flows with real sockets, and the routers that choose a balancer for each of their packets. Test use
/// only.

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

/// A balancer as the routers know it.
struct rotation_member
{
    host_address packets;
    host_address http; ///< Where its readiness is checked.
    auto operator<=>(const rotation_member &) const = default;
};

/// Reads "PACKETS=HTTP", two addresses with ports. Returns nullopt if one cannot be read.
std::optional<rotation_member> parseRotationMember(const std::string &text);

/// Balancers in rotation. Their readiness is checked in a thread of its own.
class standin_rotation
{
public:
    explicit standin_rotation(const std::vector<rotation_member> &members);
    ~standin_rotation();
    standin_rotation(const standin_rotation &) = delete;
    standin_rotation &operator=(const standin_rotation &) = delete;

    /// Balancer of a flow: the same one while the rotation does not change. Nullopt while none is in rotation.
    std::optional<host_address> balancerOf(const flow_key &flow) const;

private:
    struct entry
    {
        rotation_member member;
        std::atomic<int> misses;
    };

    void check();

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
    duration pause = std::chrono::milliseconds(20); ///< Shortest time between two requests of a caller.
    std::uint64_t seed = 1;
};

/// Several callers with a socket each. Not thread safe.
class standin_caller_group
{
public:
    explicit standin_caller_group(const standin_caller_group_settings &settings);

    /// Opens the sockets and watches them. Returns false and stores the cause.
    bool open(event_loop *loop, std::error_code *lastReason);
    /// Begins requests if `mayBegin`, repeats what was not answered, and sends.
    void advance(const standin_rotation &rotation, bool mayBegin, time_point now);
    /// Share of the callers' packets that the routers lose.
    void loseOnTheWay(double share) { m_loss = share; }

    bool isIdle() const;
    standin_caller_counts counts() const;
    std::vector<standin_caller_event> takeEvents();

private:
    struct caller_end
    {
        standin_packet_caller caller;
        datagram_socket socket;
        host_address address;
        time_point nextBegin;
    };

    void advance(caller_end *end, const standin_rotation &rotation, bool mayBegin, time_point now);

    duration m_pause;
    double m_loss = 0;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<caller_end>> m_ends;
};

} // namespace citroncrank
