#include "citroncrank/listener_probe.h"

#include "citroncrank/socket_address.h"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citroncrank {

namespace {

/// Waits for the result of a pending connect(). Returns its errno value, 0 on success.
int awaitConnection(int descriptor, duration timeout)
{
    pollfd waiting{.fd = descriptor, .events = POLLOUT, .revents = 0};
    const int ready = ::poll(&waiting, 1, int(wholeMilliseconds(timeout)));
    if (ready == 0)
        return ETIMEDOUT;
    int error = 0;
    socklen_t size = sizeof error;
    if (ready < 0 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return errno;
    return error;
}

int connectionError(int descriptor, const host_address &address, duration timeout)
{
    const sockaddr_in target = toSockaddr(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0)
        return 0;
    return errno == EINPROGRESS ? awaitConnection(descriptor, timeout) : errno;
}

} // namespace

std::optional<listener_state> probeListener(const host_address &address, duration timeout, std::error_code *lastReason)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int error = descriptor < 0 ? errno : connectionError(descriptor, address, timeout);
    if (descriptor >= 0)
        ::close(descriptor);
    if (error == 0)
        return listener_state::listening;
    if (error == ECONNREFUSED)
        return listener_state::absent;
    *lastReason = {error, std::generic_category()};
    return std::nullopt;
}

} // namespace citroncrank
