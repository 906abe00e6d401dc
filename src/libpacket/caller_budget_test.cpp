#include "citroncrank/caller_budget.h"

#include <chrono>
#include <gtest/gtest.h>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr host_address kBookings{0xC6120001, 443};
constexpr host_address kDocuments{0xC6120002, 443};

} // namespace

TEST(CallerBudgets, AgeIsTheTimeSpentOfTheLongestBudgetSeen)
{
    caller_budgets budgets;
    const time_point now{};
    EXPECT_EQ(budgets.requestAge(kBookings, 3990, false, now), duration(0));
    EXPECT_EQ(budgets.requestAge(kBookings, 2990, false, now), milliseconds(1000));
    EXPECT_EQ(budgets.requestAge(kDocuments, 2990, false, now), duration(0)) << "another service address";
}

// Guards against requests of impatient callers that are taken for old ones although no earlier attempt is possible.
TEST(CallerBudgets, FirstAttemptsHaveNoAge)
{
    caller_budgets budgets;
    const time_point now{};
    budgets.requestAge(kBookings, 4000, true, now);
    EXPECT_EQ(budgets.requestAge(kBookings, 1000, true, now), duration(0));
    EXPECT_EQ(budgets.requestAge(kBookings, 1000, false, now), milliseconds(3000));
}

// Guards against a budget that callers used once and no longer do, which would make all requests look old.
TEST(CallerBudgets, EarlierBudgetsAreForgotten)
{
    caller_budgets budgets;
    time_point now{};
    budgets.requestAge(kBookings, 8000, false, now);
    now += seconds(11);
    EXPECT_EQ(budgets.requestAge(kBookings, 4000, false, now), milliseconds(4000));
    now += seconds(11);
    EXPECT_EQ(budgets.requestAge(kBookings, 4000, false, now), duration(0));
}
