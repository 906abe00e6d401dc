#include "tcp_proxy.h"

#include "citroncrank/socket_address.h"
#include "citroncrank/timer_service.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace citroncrank::soak {

namespace {

using std::chrono::milliseconds;

// The users' store is slower by a factor of 50 to 60 on some days; it usually answers in 4 ms. The delay applies to
// each direction.
constexpr duration kProxyDelay = milliseconds(120);
constexpr int kPollMs = 5;
constexpr int kBacklog = 64;
constexpr std::size_t kReadBytes = 16384;

} // namespace

const char *toString(proxy_mode mode)
{
    switch (mode) {
    case proxy_mode::pass:
        return "pass";
    case proxy_mode::delay:
        return "delay";
    case proxy_mode::refuse:
        return "refuse";
    case proxy_mode::cut_there:
        return "cut_there";
    case proxy_mode::cut_back:
        return "cut_back";
    case proxy_mode::silence:
        return "silence";
    }
    return "unknown";
}

tcp_proxy::~tcp_proxy()
{
    m_isStopped = true;
    if (m_thread.joinable())
        m_thread.join();
    for (const connection &open : m_connections)
        close(open, false);
    if (m_listener >= 0)
        ::close(m_listener);
}

bool tcp_proxy::start(const host_address &address, const host_address &target, std::error_code *lastReason)
{
    m_target = target;
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in bound = toSockaddr(address);
    if (m_listener < 0 || ::bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0
        || ::listen(m_listener, kBacklog) != 0) {
        *lastReason = {errno, std::generic_category()};
        return false;
    }
    m_thread = std::thread([this] { run(); });
    return true;
}

void tcp_proxy::run()
{
    proxy_mode lastMode = proxy_mode::pass;
    while (!m_isStopped) {
        std::vector<pollfd> waiting{{m_listener, POLLIN, 0}};
        for (const connection &open : m_connections) {
            waiting.push_back({open.client, POLLIN, 0});
            waiting.push_back({open.server, POLLIN, 0});
        }
        ::poll(waiting.data(), waiting.size(), kPollMs);
        const proxy_mode mode = m_mode;
        const time_point now = monotonicNow();
        if (mode == proxy_mode::silence && lastMode != mode)
            silenceOpenConnections();
        lastMode = mode;
        accept();
        for (auto open = m_connections.begin(); open != m_connections.end();) {
            const bool isKept = mode != proxy_mode::refuse && relay(&*open, mode, now);
            if (!isKept)
                close(*open, mode == proxy_mode::refuse);
            open = isKept ? std::next(open) : m_connections.erase(open);
        }
    }
}

void tcp_proxy::silenceOpenConnections()
{
    for (connection &open : m_connections)
        open.isSilent = true;
}

void tcp_proxy::accept()
{
    for (;;) {
        const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = toSockaddr(m_target);
        const connection opened{.client = client, .server = server};
        if (::connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
            close(opened, true);
        else
            m_connections.push_back(opened);
    }
}

bool tcp_proxy::relay(connection *relayed, proxy_mode mode, time_point now)
{
    const duration delay = mode == proxy_mode::delay ? kProxyDelay : duration(0);
    const bool isDroppingToServer = relayed->isSilent || mode == proxy_mode::cut_there;
    const bool isDroppingToClient = relayed->isSilent || mode == proxy_mode::cut_back;
    return relayBytes(relayed->client, relayed->server, &relayed->toServer, isDroppingToServer, delay, now)
           && relayBytes(relayed->server, relayed->client, &relayed->toClient, isDroppingToClient, delay, now);
}

// Returns false if the connection has ended.
bool tcp_proxy::relayBytes(int from, int to, relay_buffer *buffer, bool isDropping, duration delay, time_point now)
{
    std::array<char, kReadBytes> received{};
    const auto size = ::recv(from, received.data(), received.size(), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return false;
    if (size > 0 && !isDropping) {
        if (buffer->bytes.empty())
            buffer->bufferedSince = now;
        buffer->bytes.append(received.data(), std::size_t(size));
    }
    if (buffer->bytes.empty() || now - buffer->bufferedSince < delay)
        return true;
    const auto sent = ::send(to, buffer->bytes.data(), buffer->bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
    buffer->bytes.erase(0, std::size_t(sent));
    return true;
}

void tcp_proxy::close(const connection &closed, bool isReset)
{
    const linger reset{.l_onoff = 1, .l_linger = 0};
    for (const int descriptor : {closed.client, closed.server}) {
        if (isReset)
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(descriptor);
    }
}

} // namespace citroncrank::soak
