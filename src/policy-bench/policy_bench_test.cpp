#include "report.h"

#include <gtest/gtest.h>
#include <sstream>

namespace citroncrank::bench {
namespace {

measured_row measure(const deployment &plan, const std::string &scenario, const std::string &policyName,
                     std::uint64_t seed)
{
    return runScenario({.plan = plan,
                        .scenario = scenario,
                        .policyName = policyName,
                        .seed = seed,
                        .phaseLength = std::chrono::seconds(20)});
}

class PolicyBench : public testing::TestWithParam<std::tuple<std::string, std::uint64_t>>
{
protected:
    measured_row measured(const std::string &scenario, const std::string &policyName = "late_binding") const
    {
        const auto &[name, seed] = GetParam();
        return measure(name == "iceland" ? iceland() : kenya(), scenario, policyName, seed);
    }
};

// Guards against results that differ between runs with one seed; the figures of docs/policy.md must be reproducible.
TEST_P(PolicyBench, SameSeedGivesTheSameTable)
{
    std::array<std::ostringstream, 2> tables;
    for (auto &table : tables) {
        const std::vector<measured_row> rows{measured("steady"), measured("flood_urgent"), measured("session_changes")};
        writeTable(std::get<0>(GetParam()), averagedOverSeeds(rows), &table);
        writeCsv(rows, &table);
    }
    EXPECT_EQ(tables[0].str(), tables[1].str());
}

// Guards against losing the advantage over hashing alone: section 1.3 requires less than half of its p99 wait.
TEST_P(PolicyBench, WaitsLessThanHalfOfHashingAlone)
{
    for (const char *scenario : {"steady", "cold_start", "misleading_frozen", "misleading_inverted"})
        EXPECT_LT(measured(scenario).values["queue_p99"], measured(scenario, "hashing").values["queue_p99"] / 2)
            << scenario;
}

// Guards against a flood of one class that displaces the others: section 1.3 requires that they keep at least 95 %.
TEST_P(PolicyBench, OtherClassesKeepTheirCompletionsDuringAFlood)
{
    const auto bulkFlood = measured("flood_bulk").values;
    EXPECT_GE(bulkFlood.at("urgent_kept"), 0.95);
    EXPECT_GE(bulkFlood.at("normal_kept"), 0.95);
    const auto urgentFlood = measured("flood_urgent").values;
    EXPECT_GE(urgentFlood.at("normal_kept"), 0.95);
    EXPECT_GE(urgentFlood.at("bulk_kept"), 0.95);
}

// Guards against sessions broken by planned changes, and against draining upstreams that accept new sessions.
TEST_P(PolicyBench, PlannedChangesBreakNoSession)
{
    const auto values = measured("session_changes").values;
    EXPECT_EQ(values.at("broken_per_100k"), 0);
    EXPECT_EQ(values.at("never_opened"), 0);
    EXPECT_EQ(values.at("opened_draining"), 0);
}

INSTANTIATE_TEST_SUITE_P(Deployments, PolicyBench,
                         testing::Combine(testing::Values("iceland", "kenya"), testing::Values(1U, 2U, 3U)));

} // namespace
} // namespace citroncrank::bench
