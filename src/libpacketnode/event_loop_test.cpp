#include "citroncrank/event_loop.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace citroncrank;

// Guards against a process that is killed by a signal during its start, before the loop handles signals (packet-soak
// seed 9: SIGHUP a few milliseconds after the start of an agent).
TEST(EventLoop, SignalsDuringStartAreNotLost)
{
    event_loop::installSignalHandlers();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    event_loop loop;
    bool isReloaded = false;
    loop.catchSignals([&] { loop.stop(); }, [&] { isReloaded = true; });
    loop.run();
    EXPECT_TRUE(isReloaded);
}
