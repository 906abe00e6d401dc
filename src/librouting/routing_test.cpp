#include "citroncrank/routing.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace citroncrank {
namespace {

time_point at(int ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

member_record agent(const std::string &name, const std::string &domain)
{
    return {.name = name,
            .role = node_role::agent,
            .incarnation = 1,
            .domain = domain,
            .service = "receipts",
            .serving = serving_state::ready,
            .slots = 2,
            .connections = 100};
}

std::vector<member_record> sixAgents()
{
    return {agent("a1", "nbi-west"), agent("a2", "nbi-west"),  agent("b1", "nbi-east"),
            agent("b2", "nbi-east"), agent("c1", "nbi-south"), agent("c2", "nbi-south")};
}

candidate_query query(std::uint64_t flow, std::string_view domain = "nbi-west")
{
    return {.service = "receipts", .flow = {1, flow}, .ownDomain = domain};
}

load_report busy(std::uint16_t slots)
{
    return {.busySlots = slots, .slots = 2, .connections = 100};
}

// Guards against a stale record that replaces a newer one, and against agents of another service.
TEST(UpstreamTable, KeepsTheNewestRecordAndSeparatesServices)
{
    auto members = sixAgents();
    auto newer = members[0];
    newer.incarnation = 2;
    newer.address = {1, 2};
    members.insert(members.begin(), newer);
    members.push_back(agent("d1", "nbi-west"));
    members.back().service = "returns-desk";
    members.push_back({.name = "balancer", .role = node_role::balancer, .service = "receipts"});
    const auto table = upstream_table::build(members, 9);
    EXPECT_EQ(table.revision(), 9U);
    EXPECT_EQ(table.ofService("receipts").size(), 6U);
    EXPECT_EQ(table.ofService("returns-desk").size(), 1U);
    EXPECT_TRUE(table.ofService("unknown").empty());
    ASSERT_TRUE(table.find(nodeIdFromName("a1")));
    EXPECT_EQ(table.find(nodeIdFromName("a1"))->address, (host_address{1, 2}));
    EXPECT_FALSE(table.find(nodeIdFromName("balancer")));
}

// Guards against opens sent to agents that cannot accept them.
TEST(ChooseCandidate, SkipsTriedDeadAndDraining)
{
    auto members = sixAgents();
    members[0].state = member_state::dead;
    members[1].serving = serving_state::draining;
    members[2].serving = serving_state::starting;
    const auto table = upstream_table::build(members, 1);
    load_hints hints;
    hints.reported(nodeIdFromName("b2"), {.slots = 2, .draining = true}, at(0));
    const std::vector<node_id> tried{nodeIdFromName("c1")};
    auto request = query(1);
    request.tried = tried;
    for (request.flow.low = 1; request.flow.low < 200; ++request.flow.low)
        EXPECT_EQ(chooseCandidate(table, hints, request, at(1), nullptr)->agent, nodeIdFromName("c2"));
}

// Guards against a refusal that does not report its cause to the edge and to operators.
TEST(ChooseCandidate, ReportsWhyThereIsNone)
{
    auto members = sixAgents();
    members.resize(1);
    const std::vector<node_id> tried{nodeIdFromName("a1")};
    auto request = query(1);
    no_candidate_reason reason{};
    EXPECT_FALSE(chooseCandidate({}, load_hints(), request, at(0), &reason));
    EXPECT_EQ(reason, no_candidate_reason::unknown_service);
    request.tried = tried;
    EXPECT_FALSE(chooseCandidate(upstream_table::build(members, 1), load_hints(), request, at(0), &reason));
    EXPECT_EQ(reason, no_candidate_reason::all_tried);
    members[0].state = member_state::left;
    EXPECT_FALSE(chooseCandidate(upstream_table::build(members, 1), load_hints(), request, at(0), &reason));
    EXPECT_EQ(reason, no_candidate_reason::none_ready);
}

// Guards against unnecessary traffic between failure domains, which is expensive, and against overload of the own
// failure domain by the preference for it.
TEST(ChooseCandidate, PrefersTheOwnDomainWhileItHasRoom)
{
    const auto table = upstream_table::build(sixAgents(), 1);
    load_hints hints;
    for (std::uint64_t flow = 0; flow < 100; ++flow)
        EXPECT_EQ(chooseCandidate(table, hints, query(flow), at(0), nullptr)->domain, "nbi-west");
    hints.reported(nodeIdFromName("a1"), busy(2), at(0));
    hints.reported(nodeIdFromName("a2"), busy(2), at(0));
    for (std::uint64_t flow = 0; flow < 100; ++flow)
        EXPECT_NE(chooseCandidate(table, hints, query(flow), at(1), nullptr)->domain, "nbi-west");
}

// Guards against a burst of opens to a single agent after one report of an idle agent.
TEST(LoadHints, OpensSinceTheReportCount)
{
    const auto table = upstream_table::build(sixAgents(), 1);
    load_hints hints;
    std::array<int, 2> chosen{};
    for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2"})
        hints.reported(nodeIdFromName(name), busy(0), at(0));
    for (std::uint64_t flow = 0; flow < 12; ++flow) {
        const auto candidate = chooseCandidate(table, hints, query(flow), at(1), nullptr);
        hints.opened(candidate->agent, at(1));
        if (candidate->domain == "nbi-west")
            ++chosen[candidate->agent == nodeIdFromName("a1") ? 0 : 1];
    }
    EXPECT_EQ(chosen, (std::array<int, 2>{2, 2}));
}

// Guards against preferring an outdated report of an idle agent to its more recent answer "queued".
TEST(LoadHints, QueuedAnswerOutweighsAnIdleReport)
{
    const auto table = upstream_table::build(sixAgents(), 1);
    const auto *upstream = table.find(nodeIdFromName("a1"));
    load_hints hints;
    hints.queuedAt(upstream->agent, 0, at(0));
    hints.reported(upstream->agent, busy(0), at(1));
    EXPECT_GT(hints.estimate(*upstream, at(1)).slotLoad, 1);
    EXPECT_EQ(hints.estimate(*upstream, at(200)).slotLoad, 0);
}

// Guards against an agent that reports free slots although it queues opens and so attracts the flows of all balancers.
TEST(LoadHints, ContradictedReportsAreIgnored)
{
    const auto table = upstream_table::build(sixAgents(), 1);
    const auto *upstream = table.find(nodeIdFromName("a1"));
    load_hints hints;
    hints.reported(upstream->agent, busy(0), at(0));
    hints.queuedAt(upstream->agent, 0, at(0));
    hints.reported(upstream->agent, busy(0), at(1000));
    EXPECT_EQ(hints.estimate(*upstream, at(1000)).slotLoad, load_hint_settings().assumedLoad);
    hints.reported(upstream->agent, busy(0), at(10'001));
    EXPECT_EQ(hints.estimate(*upstream, at(10'001)).slotLoad, 0);
}

// Guards against selection by outdated reports, and against entries kept for agents that no longer exist.
TEST(LoadHints, Expire)
{
    const auto table = upstream_table::build(sixAgents(), 1);
    const auto *upstream = table.find(nodeIdFromName("a1"));
    load_hints hints;
    hints.reported(upstream->agent, busy(2), at(0));
    EXPECT_EQ(hints.estimate(*upstream, at(2000)).slotLoad, 1);
    EXPECT_EQ(hints.estimate(*upstream, at(2001)).slotLoad, load_hint_settings().assumedLoad);
    hints.removeStale(at(2001));
    EXPECT_EQ(hints.size(), 0U);
}

// Guards against a selection that depends on the order of the table, so that balancers disagree, and against moving
// flows whose agent was not removed.
RC_GTEST_PROP(ChooseCandidate, RemovalMovesOnlyFlowsOfTheRemovedAgent, (std::uint64_t flow))
{
    auto members = sixAgents();
    const auto before =
        chooseCandidate(upstream_table::build(members, 1), load_hints(), query(flow, ""), at(0), nullptr);
    std::reverse(members.begin(), members.end());
    const auto removed = *rc::gen::inRange<std::size_t>(0, members.size());
    const auto removedAgent = memberNodeId(members[removed]);
    members.erase(members.begin() + std::ptrdiff_t(removed));
    const auto after =
        chooseCandidate(upstream_table::build(members, 2), load_hints(), query(flow, ""), at(0), nullptr);
    RC_ASSERT(before->agent == removedAgent || before->agent == after->agent);
}

// Guards against retries that multiply the load of a failing service.
TEST(RetryBudget, IsEarnedSpentAndCapped)
{
    retry_budget budget({.retriesPer1000Successes = 100, .initialTokens = 1, .maxTokens = 2});
    EXPECT_TRUE(budget.trySpend());
    EXPECT_FALSE(budget.trySpend());
    for (int success = 0; success < 1000; ++success)
        budget.onSuccess();
    EXPECT_EQ(budget.tokens(), 2U);
}

} // namespace
} // namespace citroncrank
