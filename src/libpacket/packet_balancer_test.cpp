#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against placing a new flow at the busier of two agents.
TEST_F(PacketBalancer, OpeningPacketGoesToTheLeastLoadedAgent)
{
    fromCaller(openingPacket());
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.alternates, std::vector{kAgentB});
}

// Guards against a flow that opens at two upstreams because a copy of its opening packet is placed independently.
TEST_F(PacketBalancer, CopyOfAnOpeningPacketGoesToTheSameAgent)
{
    fromCaller(openingPacket());
    core.message(kAgentA, makeReport(++number, agent_state::ready, 2), now, &actions);
    actions.clear();
    fromCaller(openingPacket(1));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
}

// Guards against a caller whose copies of the opening packet all go to an agent that has failed.
TEST_F(PacketBalancer, CopyGoesElsewhereWhenTheFirstAgentIsSilent)
{
    fromCaller(openingPacket());
    advance(milliseconds(800));
    core.message(kAgentB, makeReport(++number, agent_state::ready, 1), now, &actions);
    actions.clear();
    fromCaller(openingPacket(1));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
}

// Guards against a caller that waits until its timeout although its service address has no route.
TEST_F(PacketBalancer, OpeningPacketWithoutRouteIsResetAtOnce)
{
    packet stray = openingPacket();
    stray.header.destination.port = 9;
    fromCaller(makePacket(stray.header));
    EXPECT_EQ(resets(), 1U);
    EXPECT_TRUE(forwarded().empty());
}

// Guards against the reset of an open flow whose route is newer than the routes in force at this balancer.
TEST_F(PacketBalancer, PacketOfAFlowWithoutAKnownRouteIsNotReset)
{
    packet stray = callerPacket(5);
    stray.header.destination.port = 9;
    fromCaller(makePacket(stray.header));
    EXPECT_EQ(resets(), 0U);
}

// Guards against reverting to an earlier version of the routes that arrives late.
TEST_F(PacketBalancer, EarlierRoutesAreNotPutInForce)
{
    core.applyRoutes(makeRoutes(4, "receipts"), now, &actions);
    fromCaller(openingPacket());
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].second.service, kService);
}

// Guards against new flows to a draining upstream.
TEST_F(PacketBalancer, DrainingAgentGetsNoNewFlow)
{
    core.message(kAgentA, makeReport(++number, agent_state::draining), now, &actions);
    fromCaller(openingPacket());
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
    EXPECT_TRUE(forwarded()[0].second.alternates.empty());
}

// Guards against a delayed report that makes a draining agent available again.
TEST_F(PacketBalancer, DelayedReportIsIgnored)
{
    core.message(kAgentA, makeReport(number + 2, agent_state::draining), now, &actions);
    core.message(kAgentA, makeReport(number + 1), now, &actions);
    fromCaller(openingPacket());
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
}

// Guards against a caller that waits until its timeout although all agents reject its flow.
TEST_F(PacketBalancer, FlowThatAllAgentsRejectIsResetAtOnce)
{
    fromCaller(openingPacket());
    actions.clear();
    const auto full = [&](const host_address &agent) {
        core.message(agent, rejection_notice{rejection_reason::full, forward_purpose::open, openingPacket().bytes}, now,
                     &actions);
    };
    full(kAgentA);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
    full(kAgentB);
    EXPECT_EQ(resets(), 1U);
}

// Guards against overloading small hosts with owner queries at each retransmission, also to agents that have already
// replied that they do not own the flow (fleetbench run ofnbokun-grown trouble-1, all hosts lose power: 4,000 queries
// per second to all agents for 15 s).
TEST(PacketBalancerSettings, DoesNotRepeatAQuerySoonAfterANegativeReply)
{
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.applyRoutes(makeRoutes(5), now, &actions);
    core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kAgentB, true, kService, "nbi-west"}}, now, &actions);
    core.message(kAgentA, makeReport(1), now, &actions);
    core.callerPacket(callerPacket(77), now, &actions);
    core.message(kAgentA, owner_nack{kFlow, false}, now, &actions);
    now += milliseconds(400);
    actions.clear();
    core.callerPacket(callerPacket(77), now, &actions);
    const auto queries = messagesOf<owner_query>(actions);
    ASSERT_EQ(queries.size(), 1U);
    EXPECT_EQ(queries[0].first, kAgentB);
    EXPECT_TRUE(actionsOf<reset_flow>(actions).empty());
}

// Guards against the reset of an open flow because its own agent, after a restart, replies that it does not own it
// (fleetbench hunt ofnbokun-grown, hosts-restarted.toml --seed 37530847283, FLOW). The flow was handed off to the
// balancer before the agent was known there, so the service of the flow was unknown.
TEST(PacketBalancerSettings, KnowsTheServiceOfAFlowAdoptedBeforeItsAgentReported)
{
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.message(kOtherBalancer, flow_owner_list{{{kFlow, kAgentA}}}, now, &actions);
    core.applyRoutes(makeRoutes(5), now, &actions);
    core.message(kAgentA, makeReport(1), now, &actions);
    core.callerPacket(callerPacket(77), now, &actions);
    const auto forwarded = messagesOf<forwarded_packet>(actions);
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].second.service, kService);
}

// Guards against requests that are lost during planned restarts of an agent (packet-soak --seed 2038: the
// retransmissions of a request fell into two such restarts).
TEST_F(PacketBalancer, PacketsAreHeldDuringAPlannedRestart)
{
    fromCaller(openingPacket());
    const host_address owner = forwarded().front().first;
    core.message(owner, makeReport(++number, agent_state::stopping), now, &actions);
    actions.clear();
    fromCaller(callerPacket(1, "GET"));
    fromCaller(callerPacket(1, "more", 104));
    EXPECT_TRUE(forwarded().empty());
    fromCaller(callerPacket(2));
    EXPECT_EQ(forwarded().size(), 1U) << "an acknowledgement";
    actions.clear();
    advance(milliseconds(600));
    agent_report back = makeReport(1, agent_state::unconfirmed);
    back.incarnation = 2;
    core.message(owner, back, now, &actions);
    ASSERT_EQ(forwarded().size(), 2U);
    EXPECT_EQ(forwarded()[0].first, owner);
    EXPECT_EQ(forwarded()[0].second.packetBytes, callerPacket(1, "GET").bytes);
    actions.clear();
    fromCaller(callerPacket(3, "GET", 108));
    EXPECT_EQ(forwarded().size(), 1U);
}

// Guards against outdated packets that reach an upstream after their caller's timeout, and against unbounded memory for
// the flows of an agent that does not return.
TEST_F(PacketBalancer, HeldPacketsAreLimitedInTimeAndNumber)
{
    fromCaller(openingPacket());
    const host_address owner = forwarded().front().first;
    core.message(owner, makeReport(++number, agent_state::stopping), now, &actions);
    actions.clear();
    for (std::uint32_t i = 0; i < 20; ++i)
        fromCaller(callerPacket(1, "GET", 101 + i));
    EXPECT_EQ(forwarded().size(), 4U) << "at most 16 are held";
    actions.clear();
    advance(seconds(2));
    core.message(owner, makeReport(++number), now, &actions);
    EXPECT_TRUE(forwarded().empty());
}
