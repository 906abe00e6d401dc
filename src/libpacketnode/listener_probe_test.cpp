#include "citroncrank/listener_probe.h"

#include "citroncrank/socket_address.h"

#include <cerrno>
#include <chrono>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace citroncrank;

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr duration kTimeout = std::chrono::milliseconds(500);

/// A socket bound to a free port of the loopback address.
class BoundSocket : public ::testing::Test
{
public:
    BoundSocket()
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound = toSockaddr({kLoopback, 0});
        socklen_t size = sizeof bound;
        EXPECT_EQ(::bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), size), 0);
        EXPECT_EQ(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &size), 0);
        address = fromSockaddr(bound);
    }
    ~BoundSocket() override { ::close(descriptor); }

    int descriptor;
    host_address address;
    std::error_code reason;
};

} // namespace

// Guards against an agent that treats an upstream that does not run as one that may hold flows, and vice versa.
TEST_F(BoundSocket, DistinguishesListeningFromAbsent)
{
    EXPECT_EQ(probeListener(address, kTimeout, &reason), listener_state::absent);
    ASSERT_EQ(::listen(descriptor, 1), 0);
    EXPECT_EQ(probeListener(address, kTimeout, &reason), listener_state::listening);
    EXPECT_FALSE(reason);
}

// Guards against an agent that blocks on an upstream that neither accepts nor refuses connections, or that treats the
// time-out as one of the two answers.
TEST_F(BoundSocket, TimeoutIsUnknown)
{
    ASSERT_EQ(::listen(descriptor, 0), 0);
    const sockaddr_in target = toSockaddr(address);
    int waiting[3] = {}; // Fill the accept queue of the listener.
    for (int &connection : waiting) {
        connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        EXPECT_EQ(::connect(connection, reinterpret_cast<const sockaddr *>(&target), sizeof target), -1);
        EXPECT_EQ(errno, EINPROGRESS);
    }
    EXPECT_EQ(probeListener(address, std::chrono::milliseconds(30), &reason), std::nullopt);
    EXPECT_EQ(reason, std::errc::timed_out);
    for (const int connection : waiting)
        ::close(connection);
}
