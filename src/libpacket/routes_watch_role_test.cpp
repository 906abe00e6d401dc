#include "citroncrank/routes_watch_role.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVersion = 7;

/// Balancers of a failure domain that hear each other's confirmations at once.
class RoutesWatchRole : public ::testing::Test
{
public:
    void start(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            addresses.push_back({0x0A000001 + i, 7000});
            roles.emplace_back(addresses.back(), routes_watch_settings{});
        }
    }

    void confirm(std::size_t from, std::uint64_t version = kVersion, duration age = duration(0))
    {
        for (std::size_t i = 0; i < roles.size(); ++i) {
            if (i != from)
                roles[i].recordConfirmation(addresses[from], version, now - age, now);
        }
    }

    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < roles.size(); ++i) {
            if (roles[i].isWatcher(kVersion, now))
                result.push_back(i);
        }
        return result;
    }

    /// All watchers confirm, as they do after each answer of the store.
    void round(const std::vector<std::size_t> &silent = {})
    {
        for (const std::size_t watcher : watchers()) {
            if (std::find(silent.begin(), silent.end(), watcher) == silent.end())
                confirm(watcher);
        }
        now += milliseconds(1500);
    }

    std::vector<host_address> addresses;
    std::vector<routes_watch_role> roles;
    time_point now{seconds(100)};
};

} // namespace

// Guards against calls to the store that grow with the number of balancers.
TEST_F(RoutesWatchRole, ThreeOfAnyNumberWatch)
{
    for (const std::uint32_t count : {5U, 60U, 300U}) {
        roles.clear();
        addresses.clear();
        start(count);
        EXPECT_EQ(watchers().size(), count) << "nobody has confirmed anything yet";
        round();
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(watchers().size(), 3U) << count << " balancers, round " << i;
            round();
        }
    }
}

// Guards against more calls than before in small deployments, and against a failure domain without a watcher.
TEST_F(RoutesWatchRole, AllOfThreeWatch)
{
    start(3);
    round();
    round();
    EXPECT_EQ(watchers().size(), 3U);
}

// Guards against older routes in force where all watchers have failed.
TEST_F(RoutesWatchRole, AllWatchOnceTheWatchersAreSilent)
{
    start(12);
    round();
    round();
    const auto silent = watchers();
    ASSERT_EQ(silent.size(), 3U);
    now += milliseconds(501);
    EXPECT_EQ(watchers().size(), 12U) << "2 s after the last confirmation";
    for (int i = 0; i < 6; ++i)
        round(silent);
    auto left = watchers();
    std::erase_if(left, [&](std::size_t i) { return std::find(silent.begin(), silent.end(), i) != silent.end(); });
    EXPECT_EQ(left.size(), 3U) << "three others have taken over";
}

// Guards against relying on a watcher that knows less: what it confirms is not what is in force here.
TEST_F(RoutesWatchRole, ConfirmationsOfOtherRoutesDoNotCount)
{
    for (const std::uint64_t other : {kVersion - 1, kVersion + 1}) {
        roles.clear();
        addresses.clear();
        start(12);
        round();
        EXPECT_EQ(watchers().size(), 3U);
        now += milliseconds(501);
        for (std::size_t i = 0; i < 12; ++i)
            confirm(i, other);
        EXPECT_EQ(watchers().size(), 12U) << "2 s after the last confirmation of the routes in force";
    }
}

// Guards against a late change whose cause the log does not show: whether nobody confirmed, or nobody else watches.
TEST_F(RoutesWatchRole, TellsWhyItWatches)
{
    start(12);
    EXPECT_EQ(roles[0].watchReason(kVersion, now), watch_reason::no_confirmation);
    EXPECT_EQ(roles[0].confirmedAt(kVersion), std::nullopt);
    round();
    const std::size_t watcher = watchers().front();
    EXPECT_EQ(roles[watcher].watchReason(kVersion, now), watch_reason::first_in_order);
    EXPECT_EQ(roles[watcher].confirmedAt(kVersion), now - milliseconds(1500));
    now += milliseconds(501);
    EXPECT_EQ(roles[watcher].watchReason(kVersion, now), watch_reason::no_confirmation);
}

// Guards against a confirmation that a paused watcher sends late.
TEST_F(RoutesWatchRole, TheAgeOfTheAnswerCounts)
{
    start(12);
    round();
    now += seconds(4);
    for (std::size_t i = 0; i < 12; ++i)
        confirm(i, kVersion, milliseconds(2001));
    EXPECT_EQ(watchers().size(), 12U);
    for (std::size_t i = 0; i < 12; ++i)
        confirm(i, kVersion, milliseconds(2000));
    EXPECT_EQ(watchers().size(), 3U);
}
