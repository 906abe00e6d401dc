#include "watch_cursor_pvt.h"

#include <gtest/gtest.h>

using namespace citroncrank;

// Guards against a configuration that is never applied (fleetbench run ofnbokun scale-2, CONFIG at 12.294 s): a watch
// returned no changes, but a version later than a change that it had not reported.
TEST(WatchCursor, EmptyResultDoesNotAdvance)
{
    watch_cursor cursor;
    EXPECT_FALSE(cursor.from());
    cursor.recordListing({1, 40});
    cursor.recordWatch({.changes = {}, .version = {1, 55}});
    EXPECT_EQ(cursor.from(), (object_version{1, 40}));
    cursor.recordWatch({.changes = {{"config/main", {1, 56}, "{}"}}, .version = {1, 57}});
    EXPECT_EQ(cursor.from(), (object_version{1, 57}));
    cursor.invalidate();
    EXPECT_FALSE(cursor.from());
}

// Guards against a watch that returns the same unreadable change again and again, without a pause.
TEST(WatchCursor, UnreadableChangesAdvance)
{
    watch_cursor cursor;
    cursor.recordListing({1, 40});
    cursor.recordWatch({.changes = {}, .version = {1, 55}, .unreadable = 1});
    EXPECT_EQ(cursor.from(), (object_version{1, 55}));
}

// Guards against one store call per balancer and node when all nodes start (fleetbench run ofnbokun-grown trouble-1:
// 734 of 2,760 store calls before the traffic), and against a pause that stays long after the changes have ended.
TEST(ChangePacing, PauseGrowsWithConsecutiveChanges)
{
    using std::chrono::milliseconds;
    change_pacing pacing;
    EXPECT_EQ(pacing.pauseAfter(false), duration(0));
    EXPECT_EQ(pacing.pauseAfter(true), milliseconds(250));
    EXPECT_EQ(pacing.pauseAfter(true), milliseconds(500));
    for (int i = 0; i < 10; ++i)
        EXPECT_LE(pacing.pauseAfter(true), milliseconds(2000));
    EXPECT_EQ(pacing.pauseAfter(false), duration(0));
    EXPECT_EQ(pacing.pauseAfter(true), milliseconds(250));
}
