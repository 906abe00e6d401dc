#include "citroncrank/agent_directory.h"

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

std::vector<host_address> candidateAgents(const agent_directory &agents, time_point now)
{
    std::mt19937_64 random;
    return agents.candidates({kService, "nbi-west", kFlow}, {}, 3, now, &random);
}

} // namespace

// Guards against a flood of new flows to one agent between two of its reports.
TEST(AgentDirectory, CountsFlowsSentSinceTheLastReport)
{
    agent_directory agents;
    const time_point now{};
    agents.applyReport(kAgentA, makeReport(1), now);
    agents.applyReport(kAgentB, makeReport(1, agent_state::ready, 1), now);
    EXPECT_EQ(candidateAgents(agents, now).front(), kAgentA);
    for (int i = 0; i < 2; ++i)
        agents.recordFlowSent(kAgentA);
    EXPECT_EQ(candidateAgents(agents, now).front(), kAgentB);
    agents.applyReport(kAgentA, makeReport(2), now);
    EXPECT_EQ(candidateAgents(agents, now).front(), kAgentA);
}

// Guards against upstreams that are overloaded by new flows during their warm-up.
TEST(AgentDirectory, ColdAgentsGetFewerFlows)
{
    agent_directory agents;
    const time_point now{};
    agent_report cold = makeReport(1, agent_state::ready, 1);
    cold.coldMilliseconds = 1500;
    agents.applyReport(kAgentA, cold, now);
    agents.applyReport(kAgentB, makeReport(1, agent_state::ready, 1), now);
    EXPECT_EQ(candidateAgents(agents, now).front(), kAgentB);
}

// Guards against flows that cross failure domains without need.
TEST(AgentDirectory, PrefersTheOwnDomainAmongEquals)
{
    agent_directory agents;
    const time_point now{};
    agent_report far = makeReport(1);
    far.domain = "nbi-east";
    agents.applyReport(kAgentA, far, now);
    agents.applyReport(kAgentB, makeReport(1), now);
    EXPECT_EQ(candidateAgents(agents, now), (std::vector{kAgentB, kAgentA}));
    agents.applyReport(kAgentB, makeReport(2, agent_state::ready, 2), now);
    EXPECT_EQ(candidateAgents(agents, now).front(), kAgentA);
}

// Guards against new flows to an upstream that fails requests while another one serves, and against rejecting all flows
// of a service because all its upstreams fail.
TEST(AgentDirectory, FailingUpstreamsComeBehindTheOthers)
{
    agent_directory agents;
    const time_point now{};
    agent_report failing = makeReport(1);
    failing.isFailing = true;
    agents.applyReport(kAgentA, failing, now);
    agents.applyReport(kAgentB, makeReport(1, agent_state::ready, 2), now);
    EXPECT_EQ(candidateAgents(agents, now), std::vector{kAgentB});
    failing.number = 2;
    agents.applyReport(kAgentB, failing, now);
    EXPECT_EQ(candidateAgents(agents, now).size(), 2U);
}

// Guards against callers of ended flows that get no reset because a listed agent never reports again, and against the
// reset of a flow whose agent restarts.
TEST(AgentDirectory, SilentAgentsMayOwnFlowsForAWhile)
{
    agent_directory agents;
    time_point now{};
    EXPECT_FALSE(agents.isUnowned([](const host_address &) { return false; }, now));
    agents.markListed(kAgentA, kService, "nbi-west", now);
    agents.markListed(kAgentB, kService, "nbi-west", now);
    agents.applyReport(kAgentA, makeReport(1), now);
    agents.recordQuery(kAgentB, now);
    const auto nackedBy = [](const host_address &agent) { return agent == kAgentA; };
    EXPECT_FALSE(agents.isUnowned(nackedBy, now));
    now += seconds(1);
    agents.applyReport(kAgentA, makeReport(2), now);
    EXPECT_FALSE(agents.isUnowned(nackedBy, now));
    now += milliseconds(500);
    EXPECT_TRUE(agents.isUnowned(nackedBy, now));
    agents.applyReport(kAgentB, makeReport(1), now);
    EXPECT_FALSE(agents.isUnowned(nackedBy, now));
}

// Guards against new flows to silent or unconfirmed agents while others are ready, and against rejecting flows of a
// service that has listed agents only.
TEST(AgentDirectory, PrefersTheBestAvailability)
{
    agent_directory agents;
    const time_point now{};
    agents.markListed(kAgentC, kService, "nbi-west", now);
    EXPECT_EQ(candidateAgents(agents, now), std::vector{kAgentC});
    agents.applyReport(kAgentB, makeReport(1, agent_state::unconfirmed), now);
    EXPECT_EQ(candidateAgents(agents, now), std::vector{kAgentB});
    agents.applyReport(kAgentA, makeReport(1), now);
    EXPECT_EQ(candidateAgents(agents, now), std::vector{kAgentA});
    EXPECT_EQ(candidateAgents(agents, now + seconds(1)).size(), 3U);
}

// Guards against trials that all balancers send at once, and against a second trial from one balancer before the next
// report can show the outcome.
TEST(AgentDirectory, OneTrialForEachReport)
{
    agent_directory agents;
    const time_point now{};
    agent_report failing = makeReport(1);
    failing.isFailing = true;
    agents.applyReport(kAgentA, failing, now);
    EXPECT_EQ(agents.trialCandidate(kService, now), std::nullopt);
    failing.number = 2;
    failing.isTrialDue = true;
    agents.applyReport(kAgentA, failing, now);
    EXPECT_EQ(agents.trialCandidate(kService, now), kAgentA);
    EXPECT_EQ(agents.trialCandidate("receipts", now), std::nullopt);
    EXPECT_EQ(agents.trialCandidate(kService, now + seconds(1)), std::nullopt) << "silent";
    agents.recordFlowSent(kAgentA);
    EXPECT_EQ(agents.trialCandidate(kService, now), std::nullopt);
}

// Guards against dropping the reports of an agent because its time of day was set back before it restarted
// (clock_step).
TEST(AgentDirectory, AcceptsAnAgentWhoseClockWasSetBack)
{
    agent_directory agents;
    time_point now{};
    agent_report earlier = makeReport(7);
    earlier.incarnation = 5000;
    agents.applyReport(kAgentA, earlier, now);
    const agent_report restarted = makeReport(1);
    now += milliseconds(200);
    EXPECT_FALSE(agents.applyReport(kAgentA, restarted, now)) << "a delayed report of an earlier incarnation";
    now += milliseconds(800);
    EXPECT_TRUE(agents.applyReport(kAgentA, restarted, now));
}

// Guards against the reset of an open flow whose agent has restarted and has no entry in the store (review/1, review/4):
// neither the missing entry nor the missing announcement shows that its upstream holds no flow.
TEST(AgentDirectory, UnconfirmedAgentWithoutAnEntryMayOwnFlowsUntilItDenies)
{
    agent_directory agents;
    const time_point now{};
    agents.applyReport(kAgentA, makeReport(1), now);
    agents.applyReport(kAgentB, makeReport(1, agent_state::unconfirmed), now);
    EXPECT_FALSE(agents.isUnowned([](const host_address &agent) { return agent == kAgentA; }, now));
    EXPECT_EQ(agents.ownerCandidates(kService).size(), 2U);
    EXPECT_EQ(agents.likelyOwners({kService, "nbi-west", kFlow}).size(), 2U);
    EXPECT_TRUE(agents.isUnowned([](const host_address &) { return true; }, now));
    agents.applyReport(kAgentB, makeReport(2, agent_state::left), now);
    EXPECT_TRUE(agents.isUnowned([](const host_address &agent) { return agent == kAgentA; }, now));
}
