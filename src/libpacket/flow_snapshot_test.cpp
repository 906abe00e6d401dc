#include "citroncrank/flow_snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace citroncrank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kStart = 1000;

snapshot_flow makeFlow(std::uint16_t port, std::uint32_t acknowledged = 1)
{
    return {{{0x64400007, port}, {0xC6120001, 443}}, acknowledged};
}

flow_snapshot makeSnapshot(std::uint16_t flows, std::uint32_t acknowledged = 1)
{
    flow_snapshot snapshot{.upstreamStartedAtMs = kStart, .flows = {}};
    for (std::uint16_t port = 1; port <= flows; ++port)
        snapshot.flows.push_back(makeFlow(port, acknowledged));
    return snapshot;
}

} // namespace

// Guards against a field that only one direction of the codec handles.
TEST(FlowSnapshot, TextKeepsEveryFlow)
{
    rc::check([](const std::vector<std::pair<std::uint16_t, std::uint32_t>> &entries) {
        flow_snapshot snapshot{.upstreamStartedAtMs = *rc::gen::arbitrary<std::uint64_t>(), .flows = {}};
        for (const auto &[port, acknowledged] : entries)
            snapshot.flows.push_back(makeFlow(port, acknowledged));
        snapshot_fault fault{};
        RC_ASSERT(parseFlowSnapshot(formatFlowSnapshot(snapshot), &fault) == snapshot);
    });
}

// Guards against reading flows from a text that was truncated or changed in the store.
TEST(FlowSnapshot, ChangedTextIsRejected)
{
    const std::string text = formatFlowSnapshot(makeSnapshot(3));
    rc::check([&] {
        std::string changed = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        changed[at] = char(changed[at] ^ *rc::gen::inRange(1, 128));
        snapshot_fault fault{};
        RC_ASSERT(!parseFlowSnapshot(changed, &fault));
        RC_ASSERT(!parseFlowSnapshot(text.substr(0, at), &fault));
    });
    snapshot_fault fault = snapshot_fault::malformed;
    EXPECT_FALSE(parseFlowSnapshot("", &fault));
    EXPECT_EQ(fault, snapshot_fault::not_text);
}

// The figures in CAPACITY.md for the store and the links assume this size.
TEST(FlowSnapshot, SizeOfAFlow)
{
    const auto growth = formatFlowSnapshot(makeSnapshot(2000)).size() - formatFlowSnapshot(makeSnapshot(1000)).size();
    EXPECT_LE(growth, 1000U * 28);
    EXPECT_LT(formatFlowSnapshot(makeSnapshot(kMaxSnapshotFlows)).size(), 1024U * 1024);
}

// Guards against resetting live flows: after a restart of the agent the first announcement may be a delayed one of an
// upstream that ended before the snapshot was taken.
TEST(FlowSnapshot, VerdictNeedsEvidenceOfALaterStart)
{
    const flow_snapshot snapshot = makeSnapshot(1);
    EXPECT_EQ(evaluateSnapshot(snapshot, {}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.isAbsent = true}), snapshot_verdict::dead);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart}), snapshot_verdict::living);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart - 1}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart - 1, .isProven = true}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart + 1}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart + 1, .isProven = true}), snapshot_verdict::dead);
}

// Load pattern: callers open all their flows within a second, as at the start of a day.
TEST(SnapshotSchedule, ManyNewFlowsAreWrittenAfterTheMinimumInterval)
{
    snapshot_schedule schedule;
    time_point now{};
    EXPECT_FALSE(schedule.isDue({}, seconds(1), now));
    EXPECT_TRUE(schedule.isDue(makeSnapshot(1), seconds(1), now));
    schedule.recordWritten(makeSnapshot(1), now);
    EXPECT_FALSE(schedule.isDue(makeSnapshot(50), seconds(1), now + milliseconds(900)));
    EXPECT_TRUE(schedule.isDue(makeSnapshot(50), seconds(1), now + seconds(1)));
}

// Load pattern: few new flows. Guards against one write call per agent and second.
TEST(SnapshotSchedule, FewNewFlowsWait)
{
    snapshot_schedule schedule;
    schedule.recordWritten(makeSnapshot(50), time_point{});
    EXPECT_FALSE(schedule.isDue(makeSnapshot(52), seconds(1), time_point{} + milliseconds(4900)));
    EXPECT_TRUE(schedule.isDue(makeSnapshot(52), seconds(1), time_point{} + seconds(5)));
    EXPECT_FALSE(schedule.isDue(makeSnapshot(40), seconds(1), time_point{} + seconds(60)))
        << "ended flows cost no call";
}

// Guards against treating live flows as ended because the last snapshot names an earlier start of their upstream.
TEST(SnapshotSchedule, FlowsOfALaterStartAreWritten)
{
    snapshot_schedule schedule;
    schedule.recordWritten(makeSnapshot(10), time_point{});
    flow_snapshot later = makeSnapshot(5);
    later.upstreamStartedAtMs = kStart + 1;
    EXPECT_TRUE(schedule.isDue(later, seconds(1), time_point{} + seconds(1)));
}

// Guards against a reset that the caller ignores because the flow has advanced since the snapshot.
TEST(SnapshotSchedule, OutdatedAcknowledgementsAreRewritten)
{
    snapshot_schedule schedule;
    schedule.recordWritten(makeSnapshot(10, 1000), time_point{});
    EXPECT_FALSE(schedule.isDue(makeSnapshot(10, 20'000), seconds(1), time_point{} + seconds(60)));
    EXPECT_TRUE(schedule.isDue(makeSnapshot(10, 60'000), seconds(1), time_point{} + seconds(1)));
}

// Guards against agents that together use more than a tenth of the store's write calls, whatever their number.
TEST(SnapshotSchedule, FleetStaysBelowItsShareOfTheStoreWrites)
{
    rc::check([] {
        const auto agents = *rc::gen::inRange<std::size_t>(1, 10'000);
        const auto writes = *rc::gen::inRange<std::uint32_t>(1, 10'000);
        const double perSecond =
            double(agents) / std::chrono::duration<double>(snapshotIntervalForFleet(agents, writes)).count();
        RC_ASSERT(perSecond <= writes / 10.0 * 1.001);
    });
}
