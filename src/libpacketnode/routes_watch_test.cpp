#include "citroncrank/routes_worker.h"

#include "restored_store_fixture_test.h"

#include <atomic>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

// Longer than a watch without a change.
constexpr milliseconds kWatchTime{1800};

class RoutesWatch : public restored_store
{
protected:
    RoutesWatch()
    {
        write(5);
        m_worker.start();
        EXPECT_TRUE(waitForVersion(5));
    }
    ~RoutesWatch() override { m_worker.stop(); }

    void write(std::uint64_t version)
    {
        change([&](standin_platform &store) { writeObject(store, "config/main", configuration(version)); });
    }

    bool waitForVersion(std::uint64_t version)
    {
        return waitFor(kConfigApplyLimit, [&] { return m_version == version; });
    }

    /// Returns when the watch in progress has ended, after which the worker makes no further call.
    void stopWatching()
    {
        m_worker.setWatching(false);
        std::this_thread::sleep_for(kWatchTime);
    }

    std::atomic<std::uint64_t> m_version = 0;
    std::atomic<int> m_confirmations = 0;
    routes_worker m_worker{
        access(),
        [this](const std::shared_ptr<const route_set> &routes, const std::string &) { m_version = routes->version; },
        [this](duration) { ++m_confirmations; }, {}};
};

} // namespace

// Guards against calls of a balancer that does not watch, and against one that reads late once it does: a watch answers
// only after a change.
TEST_F(RoutesWatch, ReadsTheConfigurationAtOnceWhenItWatchesAgain)
{
    stopWatching();
    write(7);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(m_version, 5U) << "it does not watch";
    const int before = m_confirmations;
    m_worker.setWatching(true);
    EXPECT_TRUE(waitFor(milliseconds(500), [&] { return m_version == 7 && m_confirmations > before; }));
}

// Guards against an older configuration that stays in force after a restore at a balancer that does not watch.
TEST_F(RoutesWatch, ReadsTheConfigurationAfterARestoreWithoutWatching)
{
    stopWatching();
    copy();
    restore();
    write(9);
    m_eras->observe(2);
    EXPECT_TRUE(waitForVersion(9));
}

// Guards against balancers that take the configuration for confirmed by a store that does not answer.
TEST_F(RoutesWatch, AStoreThatFailsConfirmsNothing)
{
    change([](standin_platform &store) { store.setSwitches({.down = true}); });
    std::this_thread::sleep_for(milliseconds(100));
    const int before = m_confirmations;
    std::this_thread::sleep_for(kWatchTime);
    EXPECT_EQ(m_confirmations, before);
}
