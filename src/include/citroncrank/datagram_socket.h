#pragma once

/// @file
/// UDP socket that receives and sends in batches.

#include "citroncrank/ids.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace citroncrank {

/// Not thread safe.
class datagram_socket
{
public:
    using receiver = std::function<void(const host_address &from, std::string_view datagram)>;

    datagram_socket();
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Binds the socket. Returns false and stores the cause on failure.
    bool open(const host_address &address, std::error_code *lastReason);
    int descriptor() const { return m_descriptor; }

    /// Reads at most kMaxReceivedPerCall pending datagrams and passes each to `receive`.
    void receivePending(const receiver &receive);
    /// Queues a datagram until flush().
    void queue(const host_address &to, std::string datagram);
    /// Sends the queued datagrams. Those that the kernel does not accept are dropped and counted, like
    /// datagrams lost in the network.
    void flush();
    std::uint64_t dropped() const { return m_dropped; }

    /// Bounds one call, so that a flood on this socket does not starve the other sockets and the timers.
    static constexpr std::size_t kMaxReceivedPerCall = 256;

private:
    struct batch;
    struct queued
    {
        host_address to;
        std::string datagram;
    };

    int m_descriptor = -1;
    std::unique_ptr<batch> m_batch;
    std::vector<queued> m_queue;
    std::uint64_t m_dropped = 0;
};

} // namespace citroncrank
