#include "citroncrank/config_dissemination.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::seconds;

// Guards against a stored record that cannot be parsed, and against a second recorder whose record narrows the times
// that the first one wrote.
TEST(InForceRecord, RecordsRoundTripAndMerge)
{
    const config_in_force_record first{"nbi-east",    7, wall_time(seconds(10)), wall_time(seconds(20)), 2,
                                       {"h\"1", "h2"}};
    const config_in_force_record second{"nbi-east", 7, wall_time(seconds(12)), wall_time(seconds(30)), 0, {}};
    EXPECT_EQ(parseInForceRecord(formatInForceRecord(first)), first);
    EXPECT_EQ(parseInForceRecord(formatInForceRecord(second)), second);
    EXPECT_FALSE(parseInForceRecord("domain: x"));
    const auto merged = mergeInForceRecords(first, second);
    EXPECT_EQ(merged, mergeInForceRecords(second, first));
    EXPECT_EQ(merged.firstApplied, first.firstApplied);
    EXPECT_EQ(merged.lastApplied, second.lastApplied);
    EXPECT_EQ(merged.laggingCount, 0U);
}

} // namespace
} // namespace citroncrank
