#include "citroncrank/datagram_socket.h"

#include "citroncrank/socket_address.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace citroncrank {

namespace {

constexpr std::size_t kBatchSize = 16;
// Larger than any packet, also when it is wrapped in a node message.
constexpr std::size_t kMaxDatagramBytes = 2048;
// Holds the datagrams that arrive while the process is not scheduled on a host with few cores.
constexpr int kReceiveBufferBytes = 1024 * 1024;

} // namespace

/// Buffers of one system call.
struct datagram_socket::batch
{
    std::array<std::array<char, kMaxDatagramBytes>, kBatchSize> bytes;
    std::array<sockaddr_in, kBatchSize> addresses;
    std::array<iovec, kBatchSize> vectors;
    std::array<mmsghdr, kBatchSize> messages;

    void prepare(std::size_t index, void *data, std::size_t size)
    {
        vectors[index] = {data, size};
        messages[index] = {};
        messages[index].msg_hdr.msg_name = &addresses[index];
        messages[index].msg_hdr.msg_namelen = sizeof addresses[index];
        messages[index].msg_hdr.msg_iov = &vectors[index];
        messages[index].msg_hdr.msg_iovlen = 1;
    }
};

datagram_socket::datagram_socket()
    : m_batch(std::make_unique<batch>())
{}

datagram_socket::~datagram_socket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool datagram_socket::open(const host_address &address, std::error_code *lastReason)
{
    m_descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSockaddr(address);
    if (m_descriptor < 0 || ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        *lastReason = {errno, std::generic_category()};
        return false;
    }
    // Failure is ignored: with a smaller buffer the kernel only drops datagrams earlier.
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    return true;
}

void datagram_socket::receivePending(const receiver &receive)
{
    for (std::size_t total = 0; total < kMaxReceivedPerCall;) {
        for (std::size_t i = 0; i < kBatchSize; ++i)
            m_batch->prepare(i, m_batch->bytes[i].data(), kMaxDatagramBytes);
        const int count = ::recvmmsg(m_descriptor, m_batch->messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
        if (count <= 0)
            return;
        for (std::size_t i = 0; i < std::size_t(count); ++i)
            receive(fromSockaddr(m_batch->addresses[i]), {m_batch->bytes[i].data(), m_batch->messages[i].msg_len});
        if (std::size_t(count) < kBatchSize)
            return;
        total += std::size_t(count);
    }
}

void datagram_socket::queue(const host_address &to, std::string datagram)
{
    m_queue.push_back({to, std::move(datagram)});
}

void datagram_socket::flush()
{
    std::size_t next = 0;
    while (next < m_queue.size()) {
        const std::size_t size = std::min(kBatchSize, m_queue.size() - next);
        for (std::size_t i = 0; i < size; ++i) {
            queued &entry = m_queue[next + i];
            m_batch->prepare(i, entry.datagram.data(), entry.datagram.size());
            m_batch->addresses[i] = toSockaddr(entry.to);
        }
        const int sent = ::sendmmsg(m_descriptor, m_batch->messages.data(), unsigned(size), MSG_DONTWAIT);
        if (sent <= 0)
            ++m_dropped;
        next += sent <= 0 ? 1 : std::size_t(sent);
    }
    m_queue.clear();
}

} // namespace citroncrank
