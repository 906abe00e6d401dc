#pragma once

/// @file
/// Loopback proxy in front of the store that disturbs connections.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <system_error>
#include <thread>

namespace citroncrank::soak {

enum class proxy_mode : std::uint8_t {
    pass,
    delay,     ///< Bytes arrive late, both ways.
    refuse,    ///< Connections are reset, open ones and new ones.
    cut_there, ///< What clients send is lost.
    cut_back,  ///< What the server answers is lost, so calls take effect without an answer.
    silence,   ///< Open connections carry nothing any more, also after the mode has ended; new ones work.
};
constexpr int kProxyModeCount = 6;
const char *toString(proxy_mode mode);

/// Runs in a thread of its own.
class tcp_proxy
{
public:
    tcp_proxy() = default;
    ~tcp_proxy();
    tcp_proxy(const tcp_proxy &) = delete;
    tcp_proxy &operator=(const tcp_proxy &) = delete;

    /// Listens at `address` and connects to `target`. Returns false and stores the cause.
    bool start(const host_address &address, const host_address &target, std::error_code *lastReason);
    /// Thread safe.
    void set(proxy_mode mode) { m_mode = mode; }

private:
    struct direction
    {
        std::string waiting;
        time_point since; ///< When the oldest waiting byte arrived.
    };
    struct connection
    {
        int client = -1;
        int server = -1;
        direction there;
        direction back;
        bool isSilent = false;
    };

    void run();
    void silenceOpen();
    void accept();
    bool carry(connection *carried, proxy_mode mode, time_point now);
    bool move(int from, int to, direction *way, bool isLost, duration delay, time_point now);
    static void close(const connection &closed, bool isReset);

    host_address m_target;
    int m_listener = -1;
    std::list<connection> m_connections;
    std::atomic<proxy_mode> m_mode = proxy_mode::pass;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace citroncrank::soak
