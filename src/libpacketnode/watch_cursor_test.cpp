#include "watch_cursor_pvt.h"

#include <gtest/gtest.h>

using namespace citroncrank;

// Guards against a configuration that is missed for good (fleetbench run ofnbokun scale-2, CONFIG at 12.294 s): a watch
// was answered without changes at a version behind a change that it had not reported.
TEST(WatchCursor, AnswerWithoutChangesMovesNothing)
{
    watch_cursor cursor;
    EXPECT_FALSE(cursor.from());
    cursor.listed(40);
    cursor.answered({.changes = {}, .version = 55});
    EXPECT_EQ(cursor.from(), 40U);
    cursor.answered({.changes = {{"config/main", 56, "{}"}}, .version = 57});
    EXPECT_EQ(cursor.from(), 57U);
    cursor.historyGone();
    EXPECT_FALSE(cursor.from());
}

// Guards against a call of every balancer for each node when all nodes start (fleetbench run ofnbokun-grown trouble-1: 734 of 2,760
// calls to the store before the traffic), and against a listing that stays slow when the changes have ended.
TEST(ChangePacing, ChangesInQuickSuccessionAreReadTogether)
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
