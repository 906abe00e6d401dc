#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against callers of ended flows that wait for a new agent without an upstream for longer than it takes to reply.
TEST_F(PacketBalancer, ANewAgentWithoutAnUpstreamDelaysAResetUntilItsReplyOnly)
{
    core.message(kAgentC, makeReport(1, agent_state::unconfirmed), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    nack(kAgentB, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
    nack(kAgentC, callerPacket(77));
    EXPECT_EQ(resets(), 1U);
}

// Guards against callers of ended flows that wait for a new agent which has found out that no upstream runs, but whose
// reply was lost.
TEST_F(PacketBalancer, ReportThatNoUpstreamRunsCountsAsReply)
{
    core.message(kAgentC, makeReport(1, agent_state::unconfirmed), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    nack(kAgentB, callerPacket(77));
    core.message(kAgentC, makeReport(2, agent_state::left), now, &actions);
    advance(kBalancerTick);
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 1U);
}

// Guards against the reset of an open flow whose agent was cut off, lost its entry and restarted (review/1: 3, 2 and 1
// flows on seeds 1 to 3).
TEST_F(PacketBalancer, RestartedAgentWhoseEntryWasRemovedIsWaitedFor)
{
    core.applyListing({{kAgentA, true, kService, "nbi-west"}}, now, &actions);
    agent_report restarted = makeReport(1, agent_state::unconfirmed);
    restarted.incarnation = 2;
    core.message(kAgentB, restarted, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 2U);
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(resets(), 0U) << "the upstream of agent B may hold the flow";
    core.message(kAgentB, owner_nack{kFlow, true}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against the reset of open flows of a new upstream whose agent restarts while the store rejects its host, so
// that it never had an entry (review/4: about 11 flows, 5 of 5 runs).
TEST_F(PacketBalancer, RestartedAgentThatNeverHadAnEntryIsWaitedFor)
{
    core.message(kAgentC, makeReport(1), now, &actions);
    core.message(kAgentC, makeReport(2, agent_state::stopping), now, &actions);
    advance(milliseconds(400));
    report();
    agent_report restarted = makeReport(1, agent_state::unconfirmed);
    restarted.incarnation = 2;
    core.message(kAgentC, restarted, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 3U);
    nack(kAgentA, callerPacket(77));
    nack(kAgentB, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
    core.message(kAgentC, owner_notice{kFlow}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentC);
    EXPECT_EQ(resets(), 0U);
}

// Guards against the reset of an open flow by a balancer that starts while the store rejects the owner's host: another
// balancer must name an agent without an entry before its upstream has announced itself again.
TEST_F(PacketBalancer, NamesAnUnconfirmedAgentWithoutAnEntryToOtherBalancers)
{
    core.message(kAgentC, makeReport(1, agent_state::unconfirmed), now, &actions);
    EXPECT_EQ(core.agents().unlistedAgents(now), std::vector{kAgentC});
}

// Guards against the reset of open flows under a planned restart that takes longer than the time after which a silent
// agent counts as failed (heartbeat that waits 0.8 s for a stopping process, and the restart itself).
TEST_F(PacketBalancer, AgentInAPlannedRestartIsWaitedForLongerThanASilentOne)
{
    core.message(kAgentB, makeReport(++number, agent_state::stopping), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    for (const time_point until = now + milliseconds(2400); now < until; advance(kBalancerTick)) {
        core.message(kAgentA, makeReport(++number), now, &actions);
        fromCaller(callerPacket(77));
        nack(kAgentA, callerPacket(77));
        core.advance(now, &actions);
        ASSERT_EQ(resets(), 0U);
    }
    for (const time_point until = now + milliseconds(3000); now < until && resets() == 0; advance(kBalancerTick)) {
        core.message(kAgentA, makeReport(++number), now, &actions);
        if (resets() > 0)
            break; // The caller sends no further packet.
        fromCaller(callerPacket(77));
        nack(kAgentA, callerPacket(77));
        core.advance(now, &actions);
    }
    EXPECT_EQ(resets(), 1U) << "an agent that does not come back must not delay the reset for good";
}

// Guards against a search that each retransmission starts anew, with all its queries and probes (fleetbench run
// gclqa-quotes-grown trouble-3).
TEST_F(PacketBalancer, RetransmissionsJoinTheSearchInProgress)
{
    fromCaller(callerPacket(77, "GET"));
    for (const host_address &agent : {kAgentA, kAgentB})
        core.message(agent, owner_nack{kFlow, true}, now, &actions);
    EXPECT_EQ(forwarded().size(), 2U) << "probes";
    actions.clear();
    for (int copy = 0; copy < 19; ++copy) {
        advance(milliseconds(100));
        report();
        fromCaller(callerPacket(77, "GET"));
        core.advance(now, &actions);
        for (const auto &[agent, query] : ownerQueries())
            EXPECT_EQ(query.flow, kFlow);
    }
    EXPECT_LE(ownerQueries().size(), 2U * (kMaxQueriesPerAgent - 1));
    EXPECT_EQ(forwarded().size(), 0U) << "agents without a further reply are not probed again";
}

// Guards against an open flow that is searched for as long as its caller sends no data, since the upstream that holds it
// does not answer such packets.
TEST_F(PacketBalancer, UpstreamsThatReturnedNothingAreProbedAgainWithData)
{
    fromCaller(callerPacket(77));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(forwarded().size(), 1U);
    actions.clear();
    advance(milliseconds(250));
    report();
    actions.clear();
    fromCaller(callerPacket(77, "GET"));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.purpose, forward_purpose::probe);
    EXPECT_EQ(forwarded()[0].second.packetBytes, callerPacket(77, "GET").bytes);
    actions.clear();
    core.message(kAgentA, owner_notice{kFlow}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].second.packetBytes, callerPacket(77).bytes) << "the packet with data was the probe";
}

// Guards against a caller that waits because a probe was lost.
TEST_F(PacketBalancer, ALostProbeIsRepeated)
{
    fromCaller(callerPacket(77, "GET"));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(forwarded().size(), 1U);
    actions.clear();
    advance(milliseconds(100));
    core.advance(now, &actions);
    ASSERT_EQ(ownerQueries().size(), 1U);
    EXPECT_EQ(ownerQueries()[0].first, kAgentA);
    advance(milliseconds(10));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
}

// Guards against the reset of a new flow by the search for an earlier one with the same key.
TEST_F(PacketBalancer, AReusedKeyEndsTheSearchForTheEarlierFlow)
{
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    fromCaller(openingPacket());
    nack(kAgentB, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
}

// Guards against the same where the new flow opened through another balancer: the denials are those of the earlier flow.
TEST_F(PacketBalancer, APacketOfANewFlowWithTheSameKeyStartsItsOwnSearch)
{
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    actions.clear();
    fromCaller(callerPacket(0x80000000, "GET", 0x40000000));
    EXPECT_EQ(ownerQueries().size(), 2U);
    nack(kAgentB, callerPacket(77));
    EXPECT_EQ(resets(), 0U) << "agent A has not replied for the new flow";
}

// Guards against a second search within a second, for instance when the owner that the first one found returns a packet.
TEST_F(PacketBalancer, SearchesForAFlowStartAtMostOnceASecond)
{
    fromCaller(callerPacket(77, "GET"));
    core.message(kAgentA, owner_notice{kFlow}, now, &actions);
    advance(milliseconds(300));
    report();
    actions.clear();
    core.message(
        kAgentA,
        rejection_notice{rejection_reason::unknown_flow, forward_purpose::to_owner, callerPacket(77, "GET").bytes}, now,
        &actions);
    EXPECT_TRUE(ownerQueries().empty());
    advance(milliseconds(600));
    core.advance(now, &actions);
    EXPECT_TRUE(ownerQueries().empty());
    advance(milliseconds(100));
    report();
    core.advance(now, &actions);
    ASSERT_EQ(ownerQueries().size(), 1U);
    EXPECT_EQ(ownerQueries()[0].first, kAgentB);
}

// Guards against packets that cross failure domains although the owner is in the own one.
TEST_F(PacketBalancer, UpstreamsOfTheOwnDomainAreProbedFirst)
{
    agent_report far = makeReport(1);
    far.domain = "nbi-east";
    core.message(kAgentC, far, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77, "GET"));
    for (const host_address &agent : {kAgentA, kAgentB, kAgentC})
        core.message(agent, owner_nack{kFlow, true}, now, &actions);
    ASSERT_EQ(forwarded().size(), 2U);
    for (const auto &[agent, sent] : forwarded())
        EXPECT_NE(agent, kAgentC);
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(forwarded().size(), 2U);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(forwarded().size(), 3U);
    EXPECT_EQ(forwarded()[2].first, kAgentC);
}

// Guards against an open flow without requests whose search never ends: its upstream does not answer packets without data,
// and all others have denied the flow.
TEST_F(PacketBalancer, TheLastAgentThatDoesNotDenyIsTakenForTheOwner)
{
    fromCaller(callerPacket(77));
    nack(kAgentB, callerPacket(77));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    for (int tick = 0; tick < 10; ++tick) {
        advance(kBalancerTick);
        const std::size_t before = ownerQueries().size();
        core.message(kAgentA, makeReport(++number), now, &actions);
        core.message(kAgentB, makeReport(number), now, &actions);
        core.advance(now, &actions);
        if (ownerQueries().size() > before)
            core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    }
    EXPECT_EQ(resets(), 0U);
    EXPECT_LE(forwarded().size(), kMaxProbesPerAgent);
    actions.clear();
    fromCaller(callerPacket(77, "GET"));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.purpose, forward_purpose::to_owner);
}
