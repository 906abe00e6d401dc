#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against the loss of a flow whose packets move to a balancer that does not know its owner.
TEST_F(PacketBalancer, PacketOfAnUnknownFlowGoesToAllAgents)
{
    fromCaller(callerPacket(1));
    EXPECT_EQ(ownerQueries().size(), 2U);
    EXPECT_TRUE(forwarded().empty());
    actions.clear();
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    fromCaller(callerPacket(2));
    ASSERT_EQ(forwarded().size(), 2U);
    for (std::uint32_t i = 0; i < 2; ++i) {
        EXPECT_EQ(forwarded()[i].first, kAgentB);
        EXPECT_EQ(forwarded()[i].second.purpose, forward_purpose::to_owner);
        EXPECT_EQ(forwarded()[i].second.packetBytes, callerPacket(i + 1).bytes);
    }
}

// Guards against the reset of an open flow because several negative replies of one agent are counted as replies of
// several agents (fleetbench run ofnbokun quiet-1, FLOW at 20.973 s).
TEST_F(PacketBalancer, SeveralNegativeRepliesOfOneAgentDoNotResetTheFlow)
{
    fromCaller(callerPacket(1));
    fromCaller(callerPacket(2));
    nack(kAgentA, callerPacket(1));
    nack(kAgentA, callerPacket(2));
    EXPECT_EQ(resets(), 0U);
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against an owner query to every agent for each flow that moves when a balancer is replaced. Such queries
// saturated small links, and 15 flows lost packets (fleetbench run ofnbokun-grown quiet-1).
TEST_F(PacketBalancer, HandsOffFlowsToBalancersOfItsDomain)
{
    fromCaller(openingPacket());
    core.message(kOtherBalancer, balancer_hello{.incarnation = 1, .domain = "nbi-west"}, now, &actions);
    const auto sent = messagesOf<flow_owner_list>(actions);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].first, kOtherBalancer);
    EXPECT_EQ(sent[0].second.entries, (std::vector{flow_owner_entry{kFlow, kAgentA}}));
    actions.clear();
    core.handOffFlows(&actions);
    EXPECT_EQ(messagesOf<flow_owner_list>(actions).size(), 1U);
    // The balancer that adopts the flow forwards its packets to the owner without a query.
    packet_balancer other({.self = kOtherBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader,
                          now);
    other.applyRoutes(makeRoutes(5), now, &actions);
    other.message(kAgentA, makeReport(number + 1), now, &actions);
    other.message(kBalancer, sent[0].second, now, &actions);
    actions.clear();
    other.callerPacket(callerPacket(1), now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.purpose, forward_purpose::to_owner);
}

// Guards against an owner query to every agent for each packet of a flow while a query is pending.
TEST_F(PacketBalancer, SendsOneQueryForPacketsInQuickSuccession)
{
    fromCaller(callerPacket(1));
    EXPECT_EQ(ownerQueries().size(), 2U);
    actions.clear();
    fromCaller(callerPacket(2));
    EXPECT_TRUE(ownerQueries().empty());
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    ASSERT_EQ(forwarded().size(), 2U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
    EXPECT_EQ(forwarded()[0].second.packetBytes, callerPacket(1).bytes);
    EXPECT_EQ(forwarded()[1].second.packetBytes, callerPacket(2).bytes);
}

// Guards against a caller that waits until its timeout although no upstream holds its flow.
TEST_F(PacketBalancer, FlowWithoutAnOwnerIsReset)
{
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(resets(), 1U);
    EXPECT_EQ(actionsOf<reset_flow>(actions)[0], (reset_flow{kFlow, 77}));
}

// Guards against the loss of a flow whose agent restarted: only a packet of it shows whether its upstream holds it.
TEST_F(PacketBalancer, UncertainAgentIsProbedWithThePacket)
{
    fromCaller(callerPacket(77));
    EXPECT_TRUE(forwarded().empty());
    for (int i = 0; i < 2; ++i)
        core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    EXPECT_TRUE(forwarded().empty()) << "the other agent may know the flow";
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.purpose, forward_purpose::probe);
    EXPECT_EQ(resets(), 0U);
    core.message(kAgentA,
                 rejection_notice{rejection_reason::unknown_flow, forward_purpose::probe, callerPacket(77).bytes}, now,
                 &actions);
    EXPECT_EQ(resets(), 1U);
}

// Guards against packets to every upstream for a flow that the snapshot of one restarted agent names (fleetbench run
// gclqa-quotes-grown trouble-3: 41,000 packets that upstreams returned after all processes were killed).
TEST_F(PacketBalancer, ExpectedOwnerIsProbedAtOnceAndAlone)
{
    fromCaller(callerPacket(77));
    core.message(kAgentA, owner_nack{kFlow, true, true}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.purpose, forward_purpose::probe);
    core.message(kAgentB, owner_nack{kFlow, true}, now, &actions);
    advance(milliseconds(100));
    core.advance(now, &actions);
    EXPECT_EQ(forwarded().size(), 1U) << "the expected owner may still answer";
    core.message(kAgentA,
                 rejection_notice{rejection_reason::unknown_flow, forward_purpose::probe, callerPacket(77).bytes}, now,
                 &actions);
    ASSERT_EQ(forwarded().size(), 2U) << "its upstream returned the packet";
    EXPECT_EQ(forwarded()[1].first, kAgentB);
}

// Guards against probing every upstream for each flow after a restart of all agents (fleetbench run gclqa-quotes-grown
// trouble-3, untouched: up to 13,000 probes per second next to 1,800 responses).
TEST_F(PacketBalancer, NoUpstreamIsProbedForAFlowWithAKnownOwner)
{
    fromCaller(callerPacket(77));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
    advance(milliseconds(100));
    core.advance(now, &actions);
    EXPECT_EQ(forwarded().size(), 1U);
}

// Guards against a caller that waits until its next retransmission because one agent's reply was lost.
TEST_F(PacketBalancer, UncertainAgentsAreProbedDespiteALostReply)
{
    fromCaller(callerPacket(77));
    core.message(kAgentA, owner_nack{kFlow, true}, now, &actions);
    advance(milliseconds(40));
    core.advance(now, &actions);
    EXPECT_TRUE(forwarded().empty());
    advance(milliseconds(20));
    core.advance(now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
}

// Guards against owner queries to the agents of all services for a flow that an agent of its own service owns.
TEST_F(PacketBalancer, QueriesOtherServicesOnlyAfterItsOwn)
{
    agent_report other = makeReport(1);
    other.service = "receipts";
    core.message(kAgentC, other, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 2U);
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 2U);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(ownerQueries().size(), 3U);
    EXPECT_EQ(ownerQueries()[2].first, kAgentC);
    EXPECT_EQ(resets(), 0U);
    nack(kAgentC, callerPacket(77));
    EXPECT_EQ(resets(), 1U);
}

// Guards against the reset of an open flow after its route changed to another service (packet-soak seed 13): the
// restarted agent of its upstream sent a negative reply, because the query named a service other than its own.
TEST_F(PacketBalancer, QueriesOtherServicesWithoutNamingOne)
{
    agent_report other = makeReport(1);
    other.service = "receipts";
    core.message(kAgentC, other, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    for (const host_address &agent : {kAgentA, kAgentB})
        nack(agent, callerPacket(77));
    ASSERT_EQ(ownerQueries().size(), 3U);
    EXPECT_EQ(ownerQueries()[0].second.service, kService);
    EXPECT_EQ(ownerQueries()[2].second.service, "");
    core.message(kAgentC, owner_nack{kFlow, true}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentC);
    EXPECT_EQ(forwarded()[0].second.service, "");
    EXPECT_EQ(resets(), 0U);
}

// Guards against the reset of a flow whose owner is temporarily silent.
TEST_F(PacketBalancer, NegativeRepliesAreInconclusiveWhileAnAgentIsSilent)
{
    advance(seconds(1));
    core.message(kAgentA, makeReport(++number), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    nack(kAgentB, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
}

// Guards against callers that wait until their timeout after a restart of all nodes, because a listed agent never
// reports again (fleetbench run ofnbokun-grown trouble-1: 0.56 of the requests in the two seconds failed).
TEST_F(PacketBalancer, ReplyOfALongSilentAgentIsNotRequired)
{
    advance(milliseconds(800));
    fromCaller(callerPacket(77));
    core.message(kAgentA, makeReport(++number), now, &actions);
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
    advance(milliseconds(500));
    core.message(kAgentA, makeReport(++number), now, &actions);
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
    advance(milliseconds(300));
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 1U);
}

// Guards against callers that wait until their timeout after a restart of all nodes, because an agent whose upstream
// has left is still listed (fleetbench run ofnbokun trouble-1: 0.87 of the worth from second 36 on).
TEST_F(PacketBalancer, ReplyOfAnAgentWhoseUpstreamLeftIsNotRequired)
{
    core.message(kAgentB, makeReport(++number, agent_state::left), now, &actions);
    advance(seconds(1));
    core.message(kAgentA, makeReport(++number), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(resets(), 1U);
}

// Guards against callers that wait until their next retransmission after a restart of the balancer, because its agents
// become known only after the first packet (fleetbench run mwangaza-returns trouble-1: 0.88 of the worth from second
// 36 on).
TEST(PacketBalancerStart, QueriesAgentsThatBecomeKnownLater)
{
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.applyRoutes(makeRoutes(5), now, &actions);
    core.message(kAgentA, makeReport(1), now, &actions);
    core.callerPacket(callerPacket(77), now, &actions);
    EXPECT_EQ(messagesOf<owner_query>(actions).size(), 1U);
    const auto nack = [&](const host_address &agent) { core.message(agent, owner_nack{kFlow, false}, now, &actions); };
    nack(kAgentA);
    core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kAgentB, true, kService, "nbi-west"}}, now, &actions);
    core.message(kAgentB, makeReport(1), now, &actions);
    actions.clear();
    core.advance(now, &actions);
    ASSERT_EQ(messagesOf<owner_query>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<owner_query>(actions)[0].first, kAgentB);
    nack(kAgentB);
    EXPECT_TRUE(actionsOf<reset_flow>(actions).empty()) << "further agents may still report";
    now += milliseconds(400);
    core.advance(now, &actions);
    EXPECT_EQ(actionsOf<reset_flow>(actions).size(), 1U);
}

// Guards against outdated packets that reach newly started upstreams (fleetbench run ofnbokun-grown scale-2, FLOW at
// 25.788 s): an unanswered owner query was sent to each new agent until the flow's state expired.
TEST_F(PacketBalancer, StopsQueryingForAFlowWhoseCallerIsSilent)
{
    fromCaller(callerPacket(77));
    advance(seconds(3));
    core.message(kAgentC, makeReport(1), now, &actions);
    actions.clear();
    core.advance(now, &actions);
    EXPECT_TRUE(ownerQueries().empty());
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 3U);
}

TEST_F(PacketBalancer, DoesNotQueryAnAgentThatCannotOwnAFlow)
{
    core.message(kAgentC, makeReport(1, agent_state::left), now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 2U);
}

// Guards against forwarding packets to an upstream that does not hold their flow for as long as the caller retransmits
// them (fleetbench run ofnbokun-grown, hosts-restarted.toml --seed 37530847283, FLOW). Copies of the opening packet
// went through two balancers, and the flow opened at another upstream. The agent has restarted, so only the packets
// that its upstream returns show that it is not the owner.
TEST_F(PacketBalancer, AReturnedPacketCorrectsAWrongOwner)
{
    fromCaller(openingPacket());
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    const host_address recorded = messagesOf<forwarded_packet>(actions)[0].first;
    const host_address other = recorded == kAgentA ? kAgentB : kAgentA;
    fromCaller(callerPacket(77));
    actions.clear();
    core.message(recorded,
                 rejection_notice{rejection_reason::unknown_flow, forward_purpose::probe, callerPacket(77).bytes}, now,
                 &actions);
    ASSERT_EQ(ownerQueries().size(), 1U);
    EXPECT_EQ(ownerQueries()[0].first, other);
    // The other agent becomes the owner. A delayed rejection by the first agent is ignored.
    core.message(other, owner_notice{kFlow}, now, &actions);
    actions.clear();
    core.message(recorded,
                 rejection_notice{rejection_reason::unknown_flow, forward_purpose::probe, callerPacket(77).bytes}, now,
                 &actions);
    EXPECT_TRUE(actions.empty());
}

// Guards against callers that wait until their timeout after a restart of all nodes: because of one agent that never
// reported again, the agents of other services were not queried, and without their replies no flow was reset
// (fleetbench run ofnbokun-grown trouble-1, from second 37 on: 2,100 flows that never got a response).
TEST_F(PacketBalancer, QueriesOtherServicesWhileAnAgentOfItsOwnIsSilent)
{
    core.applyListing({{kAgentA, true, kService, "nbi-west"},
                       {kAgentB, true, kService, "nbi-west"},
                       {kAgentC, true, kService, "nbi-west"},
                       {kAgentD, true, "receipts", "nbi-west"}},
                      now, &actions);
    agent_report other = makeReport(1);
    other.service = "receipts";
    core.message(kAgentD, other, now, &actions);
    actions.clear();
    fromCaller(callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 3U);
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(ownerQueries().size(), 3U);
    nack(kAgentB, callerPacket(77));
    ASSERT_EQ(ownerQueries().size(), 4U);
    EXPECT_EQ(ownerQueries()[3].first, kAgentD);
    nack(kAgentD, callerPacket(77));
    EXPECT_EQ(resets(), 0U) << "the silent agent may report again soon";
    advance(milliseconds(1600));
    report();
    other.number = 2;
    core.message(kAgentD, other, now, &actions);
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 1U);
}

namespace {

/// Report of an agent in a fleet with many balancers.
agent_report makeRareReport(std::uint64_t number)
{
    agent_report report = makeReport(number);
    report.periodMilliseconds = 1500;
    return report;
}

} // namespace

// Guards against the reset of an open flow whose owner is alive but reports rarely, as in a large fleet (fleetbench run
// ofnbokun-large quiet-1, FLOW at 19.356 s: 61 balancers, so each agent reports to each of them every 1.5 s).
TEST_F(PacketBalancer, AgentThatReportsRarelyIsWaitedFor)
{
    ++number;
    for (const host_address &agent : {kAgentA, kAgentB})
        core.message(agent, makeRareReport(number), now, &actions);
    advance(milliseconds(1800));
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    EXPECT_EQ(resets(), 0U);
    advance(milliseconds(100));
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
    core.message(kAgentB, owner_notice{kFlow}, now, &actions);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentB);
}

// Guards against callers of ended flows that wait until their timeout in a large fleet, because the end of an agent
// shows in its reports only after several of their long periods.
TEST_F(PacketBalancer, AgentThatReportsRarelyAndAnswersNoQueryIsNotWaitedForLong)
{
    ++number;
    for (const host_address &agent : {kAgentA, kAgentB})
        core.message(agent, makeRareReport(number), now, &actions);
    advance(milliseconds(200));
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    const time_point queriedAt = now;
    while (resets() == 0 && now - queriedAt < seconds(3)) {
        advance(kBalancerTick);
        core.advance(now, &actions);
        nack(kAgentA, callerPacket(77));
    }
    EXPECT_GE(now - queriedAt, milliseconds(1500)) << "an agent that restarts is silent for that long";
    EXPECT_LE(now - queriedAt, seconds(2));
    // The next flow does not wait again.
    actions.clear();
    packet next = callerPacket(78);
    next.header.source.port += 1;
    core.callerPacket(makePacket(next.header), now, &actions);
    nack(kAgentA, next);
    EXPECT_EQ(resets(), 1U);
}

// Guards against the reset of a flow because a few datagrams of its rarely reporting owner were lost.
TEST_F(PacketBalancer, LostRepliesOfAnAgentThatReportsRarelyAreNoSilence)
{
    ++number;
    for (const host_address &agent : {kAgentA, kAgentB})
        core.message(agent, makeRareReport(number), now, &actions);
    advance(milliseconds(2900)); // The report of agent B that was due at 1500 ms was lost.
    core.message(kAgentA, makeRareReport(++number), now, &actions);
    fromCaller(callerPacket(77));
    nack(kAgentA, callerPacket(77));
    for (int lost = 0; lost < 3; ++lost) {
        advance(kBalancerTick);
        core.advance(now, &actions);
        EXPECT_EQ(resets(), 0U) << lost;
    }
    EXPECT_GE(ownerQueries().size(), 3U) << "a query without a reply is repeated";
}

// Guards against a flood of flows without an owner that takes the links of small hosts: each of them is searched for at
// every agent (300 agents, 400 flows: 120,000 queries).
TEST(PacketBalancerLimits, QueriesBeyondTheLikelyOwnersAreBounded)
{
    constexpr std::uint32_t kAgents = 300;
    constexpr std::uint16_t kFlows = 400;
    constexpr std::size_t kMostLikelyOwners = 16;
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.applyRoutes(makeRoutes(5), now, &actions);
    std::vector<listed_node> nodes;
    for (std::uint32_t i = 0; i < kAgents; ++i)
        nodes.push_back({{0x0A020000 + i, 7480}, true, kService, "nbi-west"});
    core.applyListing(nodes, now, &actions);
    now += seconds(1);
    for (const listed_node &node : nodes)
        core.message(node.address, makeReport(1), now, &actions);
    std::size_t queries = 0;
    const auto denyAll = [&] {
        for (packet_actions pending = std::exchange(actions, {}); !pending.empty();
             pending = std::exchange(actions, {})) {
            for (const auto &[agent, query] : messagesOf<owner_query>(pending)) {
                ++queries;
                core.message(agent, owner_nack{query.flow, false}, now, &actions);
            }
        }
    };
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
        packet_header header = callerPacket(77).header;
        header.source.port = port;
        core.callerPacket(makePacket(header), now, &actions);
    }
    denyAll();
    for (int tick = 0; tick < 10; ++tick) {
        now += kBalancerTick;
        core.advance(now, &actions);
        denyAll();
    }
    EXPECT_LE(queries, kFlows * kMostLikelyOwners + 8000U) << "two seconds' allowance";
    EXPECT_GE(queries, 7000U) << "the search goes on";
}

// Guards against resets of open flows (review/6): their owner was handed over before it had reported here, their route has got
// another service since, and a restarted agent denies a packet that names this one.
TEST_F(PacketBalancer, AFlowThatWasHandedOverIsNotNamedAfterItsRoute)
{
    core.applyRoutes(makeRoutes(6, "receipts"), now, &actions);
    core.message(kOtherBalancer, flow_owner_list{{{kFlow, kAgentC}}}, now, &actions);
    actions.clear();
    fromCaller(callerPacket(201, "GET"));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded().back().first, kAgentC);
    EXPECT_EQ(forwarded().back().second.service, "") << "not known, which is no evidence";
    core.message(kAgentC, makeReport(1), now, &actions);
    actions.clear();
    fromCaller(callerPacket(201, "GET", 104));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded().back().second.service, kService);
}

// Guards against the same denial by the owner that a search has just found.
TEST_F(PacketBalancer, PacketsForAnOwnerThatWasSearchedAreNotNamedAfterTheRoute)
{
    core.applyRoutes(makeRoutes(6, "receipts"), now, &actions);
    actions.clear();
    fromCaller(callerPacket(201, "GET"));
    core.message(kAgentA, owner_notice{kFlow}, now, &actions);
    ASSERT_FALSE(forwarded().empty());
    for (const auto &[agent, sent] : forwarded())
        EXPECT_EQ(sent.service, kService) << toString(agent);
}
