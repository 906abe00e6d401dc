#include "citroncrank/evacuations_worker.h"

#include "citroncrank/timer_service.h"
#include "citroncrank/watch_timing.h"

#include "restored_store_fixture_test.h"

#include <atomic>
#include <mutex>
#include <vector>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;

// As with an evacuation-time of 2 s, to keep the tests short.
constexpr milliseconds kLimit{2000};
constexpr watch_timing kTiming = watchTimingFor(kLimit);
static_assert(isWithinLimit(kTiming, kLimit));
// Longer than a watch without a change.
constexpr milliseconds kWatchTime = kTiming.wait + milliseconds(300);

class EvacuationsWorker : public restored_store
{
protected:
    EvacuationsWorker() { m_worker.start(); }
    ~EvacuationsWorker() override { m_worker.stop(); }

    void write(const std::string &domain)
    {
        change([&](standin_platform &store) { writeObject(store, "evacuations/" + domain, "{}"); });
    }

    void remove(const std::string &domain)
    {
        change([&](standin_platform &store) {
            platform_failure reason{};
            if (const auto object = store.objects().get("evacuations/" + domain, &reason))
                store.objects().remove(object->key, object->version.number, &reason);
        });
    }

    evacuation_set last()
    {
        const std::lock_guard lock(m_mutex);
        return m_last;
    }

    bool waitForDomains(const std::vector<std::string> &domains, milliseconds limit = kLimit)
    {
        return waitFor(limit, [&] { return m_answers > 0 && last().domains == domains; });
    }

    /// Returns when the watch in progress has ended, after which the worker makes no further call.
    void stopWatching()
    {
        m_worker.setWatching(false);
        std::this_thread::sleep_for(kWatchTime);
    }

    std::mutex m_mutex;
    evacuation_set m_last;
    time_point m_lastEmptyAt; ///< Of the last listing without a domain.
    std::atomic<int> m_answers = 0;
    evacuations_worker m_worker{access(), kTiming, [this](const evacuation_set &set, time_point listedAt) {
                                    const std::lock_guard lock(m_mutex);
                                    m_last = set;
                                    if (set.domains.empty())
                                        m_lastEmptyAt = listedAt;
                                    ++m_answers;
                                }};
};

} // namespace

// Guards against evacuations that are read late or not at all, and against one that lasts after its removal.
TEST_F(EvacuationsWorker, ReadsWritesAndRemovals)
{
    ASSERT_TRUE(waitForDomains({})) << "a store without evacuations is known";
    write("nbi-west");
    EXPECT_TRUE(waitForDomains({"nbi-west"}));
    const evacuation_version first = last().version;
    write("nbi-east");
    EXPECT_TRUE(waitForDomains({"nbi-east", "nbi-west"}));
    EXPECT_LT(first, last().version);
    remove("nbi-west");
    EXPECT_TRUE(waitForDomains({"nbi-east"}));
}

// Guards against more calls than one for each watch, and against a watch that confirms nothing.
TEST_F(EvacuationsWorker, ConfirmsAfterEachWatch)
{
    ASSERT_TRUE(waitForDomains({}));
    const int before = m_answers;
    std::this_thread::sleep_for(3 * kTiming.wait + milliseconds(300));
    EXPECT_GE(m_answers - before, 2);
    EXPECT_LE(m_answers - before, 4);
}

// Guards against calls of a balancer that does not watch, and against one that reads late once it does.
TEST_F(EvacuationsWorker, ReadsAtOnceWhenItWatchesAgain)
{
    ASSERT_TRUE(waitForDomains({}));
    stopWatching();
    const int before = m_answers;
    write("nbi-west");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(m_answers, before) << "it does not watch";
    m_worker.setWatching(true);
    EXPECT_TRUE(waitForDomains({"nbi-west"}, milliseconds(500)));
}

// Guards against an evacuation that is missed because the store has dropped the change that a watch should have reported,
// and against a watch that vouches at its end for what it read before: other balancers would rely on that.
TEST_F(EvacuationsWorker, ReadsTheEvacuationsAgainAfterTheHistoryIsGone)
{
    ASSERT_TRUE(waitForDomains({}));
    std::this_thread::sleep_for(milliseconds(50));
    const time_point before = monotonicNow();
    change([](standin_platform &store) {
        writeObject(store, "evacuations/nbi-west", "{}");
        store.dropHistory();
    });
    EXPECT_TRUE(waitForDomains({"nbi-west"}, kLimit));
    const std::lock_guard lock(m_mutex);
    EXPECT_LT(m_lastEmptyAt, before);
}

// Guards against evacuations of the store before its restore, in a worker that does not watch.
TEST_F(EvacuationsWorker, ReadsTheEvacuationsAfterARestoreWithoutWatching)
{
    ASSERT_TRUE(waitForDomains({}));
    copy();
    write("nbi-west");
    ASSERT_TRUE(waitForDomains({"nbi-west"}));
    const evacuation_version before = last().version;
    stopWatching();
    restore();
    m_eras->observe(2);
    EXPECT_TRUE(waitForDomains({}));
    EXPECT_LT(before, last().version) << "a later era wins over any revision";
}

// Guards against a store that does not answer being taken for one without evacuations, and against an evacuation that is
// missed because it was written while this node could not reach the store.
TEST_F(EvacuationsWorker, AStoreThatFailsConfirmsNothing)
{
    ASSERT_TRUE(waitForDomains({}));
    write("nbi-west");
    ASSERT_TRUE(waitForDomains({"nbi-west"}));
    change([](standin_platform &store) { store.setSwitches({.down = true}); });
    std::this_thread::sleep_for(milliseconds(100));
    const int before = m_answers;
    std::this_thread::sleep_for(kWatchTime);
    EXPECT_EQ(m_answers, before);
    EXPECT_EQ(last().domains, std::vector<std::string>{"nbi-west"});
    change([](standin_platform &store) {
        writeObject(store, "evacuations/nbi-east", "{}");
        store.setSwitches({});
    });
    EXPECT_TRUE(waitForDomains({"nbi-east", "nbi-west"}));
}
