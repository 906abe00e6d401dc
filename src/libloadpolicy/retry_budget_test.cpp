#include "citroncrank/retry_budget.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against a limit on moved openings where nothing is overloaded.
TEST(RetryBudget, HasNoLimitWithoutOverload)
{
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
        EXPECT_TRUE(budget.take(time_point{}));
}

// Guards against repeats of our own that multiply an overload.
TEST(RetryBudget, AddsAtMostATenthInOverload)
{
    retry_budget budget;
    time_point now{};
    int taken = 0;
    for (int i = 0; i < 10'000; ++i, now += milliseconds(1)) {
        budget.recordOverload(now);
        budget.recordOpening();
        for (int attempt = 0; attempt < 3; ++attempt)
            taken += budget.take(now) ? 1 : 0;
    }
    EXPECT_EQ(taken, 1000);
}

// Guards against a first wave of an overload that is repeated with what calm hours have saved.
TEST(RetryBudget, SavesFewRetries)
{
    retry_budget budget;
    for (int i = 0; i < 100'000; ++i)
        budget.recordOpening();
    budget.recordOverload(time_point{});
    int taken = 0;
    while (budget.take(time_point{}))
        ++taken;
    EXPECT_EQ(taken, 10);
}

// Guards against a budget that outlasts the overload.
TEST(RetryBudget, EndsASecondAfterTheLastRefusal)
{
    retry_budget budget;
    budget.recordOverload(time_point{});
    EXPECT_FALSE(budget.take(time_point{} + milliseconds(999)));
    EXPECT_TRUE(budget.take(time_point{} + seconds(1)));
}
