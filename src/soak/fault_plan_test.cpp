#include "fault_plan.h"

#include <chrono>
#include <gtest/gtest.h>
#include <set>

using namespace citroncrank;
using namespace citroncrank::soak;

// Guards against a plan that depends on more than its seed, so that a failed run could not be reproduced.
TEST(FaultPlan, SameSeedGivesSamePlan)
{
    EXPECT_EQ(planFaults({}, 7), planFaults({}, 7));
    EXPECT_NE(planFaults({}, 7), planFaults({}, 8));
}

// Guards against regression seeds whose faults change because restores of the store or evacuations were added to their plan.
TEST(FaultPlan, RestoresDoNotChangeTheOtherFaults)
{
    auto plan = planFaults({.storeRestores = 3, .evacuations = 2}, 7);
    EXPECT_EQ(std::erase_if(
                  plan, [](const planned_fault &fault) { return std::holds_alternative<restore_store>(fault.what); }),
              3U);
    EXPECT_EQ(std::erase_if(
                  plan, [](const planned_fault &fault) { return std::holds_alternative<evacuate_domain>(fault.what); }),
              2U);
    EXPECT_EQ(plan, planFaults({}, 7));
}

// Guards against kinds of faults that are never drawn, and against restarts of nodes that do not exist.
TEST(FaultPlan, DrawsEachKind)
{
    const fault_plan_settings settings{.balancers = 2, .agents = 3, .storeRestores = 1, .evacuations = 1};
    std::set<std::size_t> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const planned_fault &planned : planFaults(settings, seed)) {
            kinds.insert(planned.what.index());
            if (const auto *const restart = std::get_if<restart_node>(&planned.what)) {
                const bool isBalancer = restart->node.kind == node_kind::balancer;
                EXPECT_LT(restart->node.index, isBalancer ? settings.balancers : settings.agents);
            }
            EXPECT_LT(planned.at, settings.length);
            EXPECT_FALSE(toString(planned.what).empty());
        }
    }
    EXPECT_EQ(kinds.size(), std::variant_size_v<fault>);
}
