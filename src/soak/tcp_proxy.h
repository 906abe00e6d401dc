#pragma once

/// @file
/// Loopback proxy in front of the store that injects connection faults.

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
    delay,     ///< Bytes are delayed in both directions.
    refuse,    ///< Open and new connections are reset.
    cut_there, ///< Bytes from client to server are dropped.
    cut_back,  ///< Bytes from server to client are dropped, so calls take effect without an answer.
    silence,   ///< Connections open at its start drop all bytes, also after the mode has ended; new ones work.
};
constexpr int kProxyModeCount = 6;
const char *toString(proxy_mode mode);

/// Relays TCP connections in a thread of its own.
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
    void setMode(proxy_mode mode) { m_mode = mode; }

private:
    struct relay_buffer
    {
        std::string bytes;
        time_point bufferedSince; ///< Arrival of the oldest buffered byte.
    };
    struct connection
    {
        int client = -1;
        int server = -1;
        relay_buffer toServer;
        relay_buffer toClient;
        bool isSilent = false;
    };

    void run();
    void silenceOpenConnections();
    void accept();
    bool relay(connection *relayed, proxy_mode mode, time_point now);
    bool relayBytes(int from, int to, relay_buffer *buffer, bool isDropping, duration delay, time_point now);
    static void close(const connection &closed, bool isReset);

    host_address m_target;
    int m_listener = -1;
    std::list<connection> m_connections;
    std::atomic<proxy_mode> m_mode = proxy_mode::pass;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace citroncrank::soak
