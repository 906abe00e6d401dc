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

// Guards against a field that one direction of the codec forgets.
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

// Guards against flows read from a text that was cut or changed in the store.
TEST(FlowSnapshot, ChangedTextIsLeftOut)
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

// The price in the store and on the links: CAPACITY.md counts with it.
TEST(FlowSnapshot, SizeOfAFlow)
{
    const auto growth = formatFlowSnapshot(makeSnapshot(2000)).size() - formatFlowSnapshot(makeSnapshot(1000)).size();
    EXPECT_LE(growth, 1000U * 28);
    EXPECT_LT(formatFlowSnapshot(makeSnapshot(kMaxSnapshotFlows)).size(), 1024U * 1024);
}

// Guards against the reset of living flows. After a restart of the agent the first announcement may be a late one of an upstream
// that ended before the snapshot was made.
TEST(FlowSnapshot, VerdictNeedsEvidenceOfALaterStart)
{
    const flow_snapshot snapshot = makeSnapshot(1);
    EXPECT_EQ(evaluateSnapshot(snapshot, {}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.isAbsent = true}), snapshot_verdict::dead);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart, .announcements = 1}), snapshot_verdict::living);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart - 1, .isStartSeen = true, .announcements = 2}),
              snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart + 1, .announcements = 1}), snapshot_verdict::unknown);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart + 1, .isStartSeen = true, .announcements = 1}),
              snapshot_verdict::dead);
    EXPECT_EQ(evaluateSnapshot(snapshot, {.startedAtMs = kStart + 1, .announcements = 2}), snapshot_verdict::dead);
}

// Load pattern: a start of the day, when callers open all their flows within a second.
TEST(SnapshotSchedule, ManyNewFlowsAreWrittenAfterTheShortestPause)
{
    snapshot_schedule pace;
    time_point now{};
    EXPECT_FALSE(pace.isDue({}, seconds(1), now));
    EXPECT_TRUE(pace.isDue(makeSnapshot(1), seconds(1), now));
    pace.noteWritten(makeSnapshot(1), now);
    EXPECT_FALSE(pace.isDue(makeSnapshot(50), seconds(1), now + milliseconds(900)));
    EXPECT_TRUE(pace.isDue(makeSnapshot(50), seconds(1), now + seconds(1)));
}

// Load pattern: a calm day with few new flows. Guards against a call of each agent a second.
TEST(SnapshotSchedule, FewNewFlowsWait)
{
    snapshot_schedule pace;
    pace.noteWritten(makeSnapshot(50), time_point{});
    EXPECT_FALSE(pace.isDue(makeSnapshot(52), seconds(1), time_point{} + milliseconds(4900)));
    EXPECT_TRUE(pace.isDue(makeSnapshot(52), seconds(1), time_point{} + seconds(5)));
    EXPECT_FALSE(pace.isDue(makeSnapshot(40), seconds(1), time_point{} + seconds(60))) << "ended flows cost no call";
}

// Guards against flows that are taken for dead because the last snapshot names the earlier start of their upstream.
TEST(SnapshotSchedule, FlowsOfALaterStartAreWritten)
{
    snapshot_schedule pace;
    pace.noteWritten(makeSnapshot(10), time_point{});
    flow_snapshot later = makeSnapshot(5);
    later.upstreamStartedAtMs = kStart + 1;
    EXPECT_TRUE(pace.isDue(later, seconds(1), time_point{} + seconds(1)));
}

// Guards against a reset that the caller does not take, since the flow went on after the snapshot.
TEST(SnapshotSchedule, AcknowledgementsAreRenewed)
{
    snapshot_schedule pace;
    pace.noteWritten(makeSnapshot(10, 1000), time_point{});
    EXPECT_FALSE(pace.isDue(makeSnapshot(10, 20'000), seconds(1), time_point{} + seconds(60)));
    EXPECT_TRUE(pace.isDue(makeSnapshot(10, 60'000), seconds(1), time_point{} + seconds(1)));
}

// Guards against agents that together take more than a tenth of the store's writing calls, whatever their number.
TEST(SnapshotSchedule, FleetStaysUnderItsPartOfTheStore)
{
    rc::check([] {
        const auto agents = *rc::gen::inRange<std::size_t>(1, 10'000);
        const auto writes = *rc::gen::inRange<std::uint32_t>(1, 10'000);
        const double perSecond =
            double(agents) / std::chrono::duration<double>(snapshotIntervalForFleet(agents, writes)).count();
        RC_ASSERT(perSecond <= writes / 10.0 * 1.001);
    });
}
