#include "citroncrank/standin_platform_thread.h"

#include <gtest/gtest.h>

#include <future>

namespace citroncrank {
namespace {

using failure = platform_failure;
using std::chrono::milliseconds;

/// Longer than any test runs, so that a test that expects a response never gets a timeout instead.
constexpr milliseconds kLongWait{60'000};

/// The stand-in in its own thread, with a client.
class running_platform : public standin_platform_thread
{
public:
    using standin_platform_thread::standin_platform_thread;

    http_object_store store(milliseconds deadline = kLongWait) const
    {
        return http_object_store({.address = address(), .callDeadline = deadline});
    }
};

// Guards against an API field that client and platform encode differently.
TEST(HttpObjectStore, CallsReachThePlatformAndBack)
{
    running_platform platform;
    http_object_store store = platform.store();
    failure reason{};
    const std::string value = "line\n\"quoted\" \\ \x01 vi\xC3\xB0 " + std::string(kMaxObjectValueBytes - 64, '\n');
    const auto created = store.create("config/1", value, &reason);
    ASSERT_TRUE(created) << toString(reason);
    EXPECT_EQ(store.get("config/1", &reason), (stored_object{"config/1", *created, value}));
    const auto updated = store.update("config/1", "two", *created, &reason);
    ASSERT_TRUE(updated);
    ASSERT_TRUE(store.create("config/2", "", &reason));
    const list_query query{.prefix = "config/", .limit = 1, .descending = true};
    const object_version second{updated->era, updated->number + 1};
    EXPECT_EQ(store.list(query, &reason), (object_list{{{"config/2", second, 0}}, true, second}));
    ASSERT_TRUE(store.remove("config/2", second, &reason));
    const auto changes = store.watch({.prefix = "config/", .from = *created}, &reason);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->changes, (std::vector<object_change>{{"config/1", *updated, "two"},
                                                            {"config/2", {1, updated->number + 2}, std::nullopt}}));
}

// Guards against failures that are reported as a different platform_failure.
TEST(HttpObjectStore, ConditionsFailWithTheirKind)
{
    running_platform platform;
    http_object_store store = platform.store();
    failure reason{};
    EXPECT_FALSE(store.get("absent", &reason));
    EXPECT_EQ(reason, failure::not_found);
    ASSERT_TRUE(store.create("a", "1", &reason));
    EXPECT_FALSE(store.create("a", "2", &reason));
    EXPECT_EQ(reason, failure::conflict);
    EXPECT_FALSE(store.update("a", "2", {1, 99}, &reason));
    EXPECT_EQ(reason, failure::conflict);
    EXPECT_FALSE(store.create("b", "\xFF\xFE", &reason));
    EXPECT_EQ(reason, failure::rejected);
    EXPECT_FALSE(store.list({.limit = 0}, &reason));
    EXPECT_EQ(reason, failure::rejected);
}

// Guards against a write that took effect although the client reports it as failed: without a response its outcome is
// unknown.
TEST(HttpObjectStore, LostAnswerIsAnUnknownOutcome)
{
    running_platform platform;
    http_object_store store = platform.store();
    failure reason{};
    platform.set({.loseAnswers = 1});
    EXPECT_FALSE(store.create("a", "1", &reason));
    EXPECT_EQ(reason, failure::unknown_outcome);
    EXPECT_EQ(store.get("a", &reason)->value, "1");
    EXPECT_TRUE(store.create("b", "1", &reason));
}

// Guards against a rejected write that is reported as an unknown outcome, which operators would have to resolve.
TEST(HttpObjectStore, PlatformThatIsDownOrGoneIsUnavailable)
{
    auto platform = std::make_unique<running_platform>();
    http_object_store store = platform->store();
    failure reason{};
    platform->set({.down = true});
    EXPECT_FALSE(store.create("a", "1", &reason));
    EXPECT_EQ(reason, failure::unavailable);
    platform->set({});
    EXPECT_FALSE(store.get("a", &reason));
    EXPECT_EQ(reason, failure::not_found);
    platform.reset();
    EXPECT_FALSE(store.create("a", "1", &reason));
    EXPECT_EQ(reason, failure::unavailable);
}

// Guards against calls without a timeout while the platform is slow. A read that times out is unavailable; a write that
// times out may have taken effect, so its outcome is unknown.
TEST(HttpObjectStore, DeadlineDistinguishesReadsAndWrites)
{
    running_platform platform;
    http_object_store store = platform.store(milliseconds(20));
    failure reason{};
    platform.set({.slow = kLongWait});
    EXPECT_FALSE(store.get("a", &reason));
    EXPECT_EQ(reason, failure::unavailable);
    EXPECT_FALSE(store.create("a", "1", &reason));
    EXPECT_EQ(reason, failure::unknown_outcome);
}

// Guards against a write that is sent over a connection which a restarted platform has closed: its outcome would be
// unknown.
TEST(HttpObjectStore, ClosedIdleConnectionIsReplacedBeforeAWrite)
{
    auto platform = std::make_unique<running_platform>();
    const host_address address = platform->address();
    http_object_store store = platform->store();
    failure reason{};
    ASSERT_TRUE(store.create("a", "1", &reason));
    platform.reset();
    running_platform restarted(address.port);
    EXPECT_TRUE(store.create("a", "1", &reason)) << toString(reason);
}

// Guards against a pending watch that does not report a change under its prefix.
TEST(HttpObjectStore, WaitingWatchIsAnsweredByAChangeUnderItsPrefix)
{
    running_platform platform;
    auto watched = std::async(std::launch::async, [&] {
        http_object_store watcher = platform.store();
        failure reason{};
        return watcher.watch({.prefix = "roster/", .from = {}, .wait = kLongWait}, &reason);
    });
    http_object_store store = platform.store();
    failure reason{};
    ASSERT_TRUE(store.create("config/1", "other prefix", &reason));
    ASSERT_TRUE(store.create("roster/a", "member", &reason));
    const auto result = watched.get();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->changes, (std::vector<object_change>{{"roster/a", {1, 2}, "member"}}));
    EXPECT_EQ(store.watch({.prefix = "", .from = {1, 2}, .wait = milliseconds(1)}, &reason),
              (watch_result{{}, {1, 2}}));
}

// Guards against a process whose shutdown waits for the end of a long poll.
TEST(HttpObjectStore, StopEndsAWaitingWatch)
{
    running_platform platform;
    http_object_store watcher = platform.store();
    auto watched = std::async(std::launch::async, [&] {
        failure reason{};
        EXPECT_FALSE(watcher.watch({.prefix = "", .from = {}, .wait = kLongWait}, &reason));
        return reason;
    });
    watcher.stop();
    EXPECT_EQ(watched.get(), failure::unavailable);
}

} // namespace
} // namespace citroncrank
