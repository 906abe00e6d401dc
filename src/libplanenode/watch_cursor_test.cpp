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
