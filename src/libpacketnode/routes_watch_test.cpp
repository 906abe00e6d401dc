#include "citroncrank/routes_worker.h"

#include "citroncrank/timer_service.h"

#include "restored_store_fixture_test.h"

#include <atomic>
#include <map>
#include <mutex>

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
    std::atomic<bool> m_isBusy = false; ///< Routes are not taken.
    std::mutex m_mutex;
    std::map<std::uint64_t, time_point> m_lastConfirmedAt; ///< By the version that was confirmed.
    routes_worker m_worker{access(),
                           [this](const std::shared_ptr<const route_set> &routes, const std::string &) {
                               if (m_isBusy)
                                   return false;
                               m_version = routes->version;
                               return true;
                           },
                           [this](const routes_confirmation &answer) {
                               ++m_confirmations;
                               const std::lock_guard lock(m_mutex);
                               m_lastConfirmedAt[answer.version] = answer.at;
                           },
                           {}};
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

// Guards against a watch that ends without the change that it missed and vouches for the older configuration at its end:
// other balancers would rely on that for a whole time-out.
TEST_F(RoutesWatch, AWatchThatMissedAChangeConfirmsNoTimeAfterTheChange)
{
    ASSERT_TRUE(waitFor(kWatchTime, [&] { return m_confirmations > 1; })) << "a watch is in progress";
    std::this_thread::sleep_for(milliseconds(50));
    const time_point before = monotonicNow();
    change([&](standin_platform &store) {
        writeObject(store, "config/main", configuration(9));
        store.dropHistory();
    });
    const int seen = m_confirmations;
    EXPECT_TRUE(waitForVersion(9));
    EXPECT_GE(m_confirmations, seen + 1) << "the watch ended without the change";
    const std::lock_guard lock(m_mutex);
    EXPECT_LT(m_lastConfirmedAt[5], before);
}

// Guards against a configuration that cannot be read here while its predecessor is vouched for in the whole failure domain.
TEST_F(RoutesWatch, AConfigurationThatCannotBeReadConfirmsNothing)
{
    ASSERT_TRUE(waitFor(kWatchTime, [&] { return m_confirmations > 1; })) << "a watch is in progress";
    change([](standin_platform &store) { writeObject(store, "config/main", R"({"version":7})"); });
    ASSERT_TRUE(waitFor(kConfigApplyLimit, [&] { return m_malformed > 0; }));
    const int before = m_confirmations;
    std::this_thread::sleep_for(kWatchTime);
    EXPECT_EQ(m_confirmations, before);
    write(9);
    EXPECT_TRUE(waitFor(kConfigApplyLimit, [&] { return m_version == 9 && m_confirmations > before; }));
}

// Guards against a change that is lost, since the event loop could not take it, and whose predecessor is vouched for.
TEST_F(RoutesWatch, AChangeThatWasNotTakenIsReadAgainAndNotConfirmedBefore)
{
    ASSERT_TRUE(waitFor(kWatchTime, [&] { return m_confirmations > 1; })) << "a watch is in progress";
    m_isBusy = true;
    write(9);
    std::this_thread::sleep_for(milliseconds(100));
    const int before = m_confirmations;
    std::this_thread::sleep_for(kWatchTime);
    EXPECT_EQ(m_confirmations, before);
    m_isBusy = false;
    EXPECT_TRUE(waitForVersion(9));
}
