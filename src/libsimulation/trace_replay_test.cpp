#include "trace_replay_pvt.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace citroncrank::simulation {
namespace {

std::vector<std::string> readLines(const std::filesystem::path &file)
{
    std::ifstream input(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(input, line);)
        lines.push_back(line);
    return lines;
}

// Guards against regressions of the faults that schedules have found; each recorded trace reproduces one.
TEST(TraceReplay, EveryRecordedTraceHasItsOutcome)
{
    int traces = 0;
    for (const auto &entry : std::filesystem::directory_iterator(CITRONCRANK_TRACES)) {
        ++traces;
        for (const auto &failure : replayTrace(readLines(entry.path())))
            ADD_FAILURE() << entry.path().filename() << ": " << failure;
    }
    EXPECT_GT(traces, 0);
}

// Guards against a replay that accepts any trace: a failed expectation and an unknown event must both be reported.
TEST(TraceReplay, ReportsWrongExpectationsAndUnknownEvents)
{
    EXPECT_EQ(replayTrace({"0 open request", "1 expect outcome refused"}).size(), 1U);
    EXPECT_EQ(replayTrace({"0 jump"}).size(), 1U);
}

} // namespace
} // namespace citroncrank::simulation
