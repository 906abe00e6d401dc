#include "citroncrank/agent_directory.h"

#include "packet_fixture_test.h"

#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

std::vector<host_address> candidatesOf(const agent_directory &agents, time_point now)
{
    return agents.candidates(kService, "nbi-west", {}, 3, now);
}

} // namespace

// Guards against a flood of new flows to one agent between two of its reports.
TEST(AgentDirectory, CountsFlowsSentSinceTheLastReport)
{
    agent_directory agents;
    const time_point now{};
    agents.reported(kAgentA, makeReport(1), now);
    agents.reported(kAgentB, makeReport(1, agent_state::ready, 1), now);
    EXPECT_EQ(candidatesOf(agents, now).front(), kAgentA);
    for (int i = 0; i < 2; ++i)
        agents.flowSent(kAgentA);
    EXPECT_EQ(candidatesOf(agents, now).front(), kAgentB);
    agents.reported(kAgentA, makeReport(2), now);
    EXPECT_EQ(candidatesOf(agents, now).front(), kAgentA);
}

// Guards against new upstreams that take the whole rush before they are warm.
TEST(AgentDirectory, ColdAgentsGetFewerFlows)
{
    agent_directory agents;
    const time_point now{};
    agent_report cold = makeReport(1, agent_state::ready, 1);
    cold.coldMilliseconds = 1500;
    agents.reported(kAgentA, cold, now);
    agents.reported(kAgentB, makeReport(1, agent_state::ready, 1), now);
    EXPECT_EQ(candidatesOf(agents, now).front(), kAgentB);
}

// Guards against flows that cross failure domains without need.
TEST(AgentDirectory, PrefersTheOwnDomainAmongEquals)
{
    agent_directory agents;
    const time_point now{};
    agent_report far = makeReport(1);
    far.domain = "nbi-east";
    agents.reported(kAgentA, far, now);
    agents.reported(kAgentB, makeReport(1), now);
    EXPECT_EQ(candidatesOf(agents, now), (std::vector{kAgentB, kAgentA}));
    agents.reported(kAgentB, makeReport(2, agent_state::ready, 2), now);
    EXPECT_EQ(candidatesOf(agents, now).front(), kAgentA);
}

// Guards against flows that go to an upstream which fails requests while another serves, and against a service that is
// refused because all are failing.
TEST(AgentDirectory, FailingUpstreamsComeBehindTheOthers)
{
    agent_directory agents;
    const time_point now{};
    agent_report failing = makeReport(1);
    failing.isFailing = true;
    agents.reported(kAgentA, failing, now);
    agents.reported(kAgentB, makeReport(1, agent_state::ready, 2), now);
    EXPECT_EQ(candidatesOf(agents, now), std::vector{kAgentB});
    failing.number = 2;
    agents.reported(kAgentB, failing, now);
    EXPECT_EQ(candidatesOf(agents, now).size(), 2U);
}

// Guards against callers of ended flows that are told nothing because an agent in the listing never comes back, and against a
// reset of a flow whose agent is about to be back.
TEST(AgentDirectory, SilentAgentsMayOwnFlowsForAWhile)
{
    agent_directory agents;
    time_point now{};
    EXPECT_FALSE(agents.isUnowned({}, now));
    agents.listed(kAgentA, kService, "nbi-west", now);
    agents.listed(kAgentB, kService, "nbi-west", now);
    agents.reported(kAgentA, makeReport(1), now);
    const std::vector deniedBy{kAgentA};
    EXPECT_FALSE(agents.isUnowned(deniedBy, now));
    now += seconds(1);
    agents.reported(kAgentA, makeReport(2), now);
    EXPECT_FALSE(agents.isUnowned(deniedBy, now));
    now += milliseconds(500);
    EXPECT_TRUE(agents.isUnowned(deniedBy, now));
    agents.reported(kAgentB, makeReport(1), now);
    EXPECT_FALSE(agents.isUnowned(deniedBy, now));
}

// Guards against silent or unconfirmed agents that get flows while others are ready, and against a service that is refused
// though agents are listed.
TEST(AgentDirectory, TakesTheBestStandingThereIs)
{
    agent_directory agents;
    const time_point now{};
    agents.listed(kAgentC, kService, "nbi-west", now);
    EXPECT_EQ(candidatesOf(agents, now), std::vector{kAgentC});
    agents.reported(kAgentB, makeReport(1, agent_state::unconfirmed), now);
    EXPECT_EQ(candidatesOf(agents, now), std::vector{kAgentB});
    agents.reported(kAgentA, makeReport(1), now);
    EXPECT_EQ(candidatesOf(agents, now), std::vector{kAgentA});
    EXPECT_EQ(candidatesOf(agents, now + seconds(1)).size(), 3U);
}

// Guards against trials that all balancers send at once and that one balancer repeats before it can know the outcome.
TEST(AgentDirectory, OneTrialForEachReport)
{
    agent_directory agents;
    const time_point now{};
    agent_report failing = makeReport(1);
    failing.isFailing = true;
    agents.reported(kAgentA, failing, now);
    EXPECT_EQ(agents.trialCandidate(kService, now), std::nullopt);
    failing.number = 2;
    failing.isTrialDue = true;
    agents.reported(kAgentA, failing, now);
    EXPECT_EQ(agents.trialCandidate(kService, now), kAgentA);
    EXPECT_EQ(agents.trialCandidate("receipts", now), std::nullopt);
    EXPECT_EQ(agents.trialCandidate(kService, now + seconds(1)), std::nullopt) << "silent";
    agents.flowSent(kAgentA);
    EXPECT_EQ(agents.trialCandidate(kService, now), std::nullopt);
}

// Guards against an agent that is not believed because the time of day had jumped back when it started again (clock_step).
TEST(AgentDirectory, BelievesAnAgentWhoseClockWasSetBack)
{
    agent_directory agents;
    time_point now{};
    agent_report earlier = makeReport(7);
    earlier.incarnation = 5000;
    agents.reported(kAgentA, earlier, now);
    const agent_report restarted = makeReport(1);
    now += milliseconds(200);
    EXPECT_FALSE(agents.reported(kAgentA, restarted, now)) << "a late one of an earlier start";
    now += milliseconds(800);
    EXPECT_TRUE(agents.reported(kAgentA, restarted, now));
}
