#include "citroncrank/event_loop.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace citroncrank;

// Guards against a process that ends without an exit code because a signal came while it started (packet-soak seed 9: SIGHUP
// a few milliseconds after the start of an agent).
TEST(EventLoop, SignalsOfTheStartAreNotLost)
{
    event_loop::rememberSignals();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    event_loop loop;
    bool isReloaded = false;
    loop.catchSignals([&] { loop.stop(); }, [&] { isReloaded = true; });
    loop.run();
    EXPECT_TRUE(isReloaded);
}
