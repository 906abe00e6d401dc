#include "citroncrank/balancer_evacuations.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <vector>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTimeout = milliseconds(3333);
constexpr duration kWatchWait = milliseconds(2500);
const routes_watch_settings kWatch{.watchers = 1, .confirmationTimeout = kTimeout};

/// Balancers of a failure domain that know the same evacuations and hear each other's confirmations at once.
class BalancerEvacuations : public ::testing::Test
{
public:
    void start(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            addresses.push_back({0x0A000001 + i, 7000});
            balancers.emplace_back(addresses.back(), kWatch);
            balancers.back().apply(set, now);
        }
    }

    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            if (balancers[i].isWatcher(now))
                result.push_back(i);
        }
        return result;
    }

    void confirm(std::size_t from, const evacuation_set &confirmed)
    {
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            if (i != from)
                balancers[i].recordConfirmation(addresses[from], confirmed, now, now);
        }
    }

    /// All watchers but one confirm, as they do after each answer of the store.
    void round(std::optional<std::size_t> silent = std::nullopt)
    {
        for (const std::size_t watcher : watchers()) {
            if (watcher != silent)
                confirm(watcher, set);
        }
        now += kWatchWait;
    }

    evacuation_set set{{1, 10}, {"nbi-west"}};
    std::vector<host_address> addresses;
    std::vector<balancer_evacuations> balancers;
    time_point now{seconds(100)};
};

} // namespace

// Guards against calls to the store that grow with the number of balancers.
TEST_F(BalancerEvacuations, OneOfAnyNumberWatches)
{
    for (const std::uint32_t count : {2U, 19U, 146U}) {
        balancers.clear();
        addresses.clear();
        start(count);
        EXPECT_EQ(watchers().size(), count) << "nobody has confirmed anything yet";
        round();
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(watchers().size(), 1U) << count << " balancers, round " << i;
            round();
        }
    }
}

// Guards against a failure domain without a watcher once its only one is killed or cut off.
TEST_F(BalancerEvacuations, AnotherOneTakesOverFromAWatcherThatDisappears)
{
    start(12);
    round();
    const auto silent = watchers();
    ASSERT_EQ(silent.size(), 1U);
    now += kTimeout - kWatchWait + milliseconds(1);
    EXPECT_EQ(watchers().size(), 12U) << "nobody hears a confirmation any more";
    for (int i = 0; i < 6; ++i)
        round(silent.front());
    EXPECT_EQ(watchers().size(), 2U) << "one that is heard, and the silent one, which hears it but comes first";
}

// Guards against all balancers calling the store whenever one of them starts: its listing has a version of its own.
TEST_F(BalancerEvacuations, ALaterVersionOfTheSameDomainsKeepsTheConfirmation)
{
    start(12);
    round();
    ASSERT_EQ(watchers().size(), 1U);
    for (balancer_evacuations &balancer : balancers)
        EXPECT_EQ(balancer.apply({{1, 99}, {"nbi-west"}}, now), evacuation_change::version);
    EXPECT_EQ(watchers().size(), 1U);
    round();
    EXPECT_EQ(watchers().size(), 1U) << "a confirmation of the same domains at an earlier version counts too";
}

// Guards against relying on a watcher that knows other evacuations, or those of a store that was restored since.
TEST_F(BalancerEvacuations, ConfirmationsOfOtherEvacuationsDoNotCount)
{
    const std::vector<evacuation_set> others{{{1, 11}, {}}, {{1, 11}, {"nbi-east"}}, {{2, 10}, {"nbi-west"}}};
    for (const evacuation_set &other : others) {
        balancers.clear();
        addresses.clear();
        start(4);
        for (std::size_t i = 0; i < 4; ++i)
            confirm(i, other);
        EXPECT_EQ(watchers().size(), 4U);
    }
    round();
    ASSERT_EQ(watchers().size(), 1U);
    for (balancer_evacuations &balancer : balancers)
        balancer.apply({{2, 1}, {"nbi-west"}}, now);
    EXPECT_EQ(watchers().size(), 4U) << "nobody has confirmed anything since the restore";
}

// Guards against hellos that answer every report of an agent which does not apply evacuations, as an older one.
TEST_F(BalancerEvacuations, AnAgentIsToldAtMostOncePerSecond)
{
    start(1);
    balancer_evacuations &balancer = balancers.front();
    const host_address agent{0x0A000101, 7000};
    int told = 0;
    for (int i = 0; i < 50; ++i, now += milliseconds(200))
        told += balancer.takeDueUpdate(agent, {}, now) ? 1 : 0;
    EXPECT_EQ(told, 10);
    EXPECT_FALSE(balancer.takeDueUpdate(agent, set.version, now + seconds(2))) << "it applies this version";
    EXPECT_FALSE(balancer.takeDueUpdate(agent, {1, 11}, now + seconds(2))) << "it knows a later one";
}

// Guards against evacuations that take effect in a deployment which has none.
TEST_F(BalancerEvacuations, NothingIsAppliedWithoutTheSetting)
{
    balancer_evacuations balancer({0x0A000001, 7000}, std::nullopt);
    EXPECT_EQ(balancer.apply(set, now), evacuation_change::none);
    EXPECT_FALSE(balancer.state().isEvacuated("nbi-west"));
    EXPECT_FALSE(balancer.isWatcher(now));
}
