#include "citroncrank/packet_agent.h"

#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against delivering packets to the upstream of another service.
TEST_F(PacketAgent, RejectsPacketsOfAnotherService)
{
    forward(openingPacket(), forward_purpose::open, {}, "receipts");
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::wrong_service});
    forward(callerPacket(1), forward_purpose::probe, {}, "receipts");
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
}

// Guards against new flows at a draining upstream, and against interrupting its open flows.
TEST_F(PacketAgent, DrainingUpstreamKeepsItsFlowsAndGetsNoNewOne)
{
    open();
    announce(3, true);
    forward(callerPacket(kUpstreamInitialSequence + 1, "GET / HTTP/1.1\r\n\r\n"));
    EXPECT_EQ(delivered(), 1U);
    packet_header other = openingPacket().header;
    other.source.port = 1;
    forward(makePacket(other), forward_purpose::open, {kAgentB});
    EXPECT_EQ(delivered(), 0U);
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions)[0].first, kAgentB);
}

// Guards against a draining upstream that gets a new flow because its agent has restarted (schedules of
// packet_guarantees_test with restarts of agents).
TEST_F(PacketAgent, ForwardsFlowsToAnAlternateUntilItsUpstreamHasAnnouncedItself)
{
    packet_agent fresh(
        {.self = kAgentA, .service = kService, .upstream = kUpstream, .announcementPeriod = milliseconds(770)},
        decodeTestHeader, readTestHead, now);
    const auto open = [&](std::vector<host_address> alternates) {
        actions.clear();
        fresh.message(kBalancer,
                      forwarded_packet{.purpose = forward_purpose::open,
                                       .service = kService,
                                       .origin = kBalancer,
                                       .alternates = std::move(alternates),
                                       .packetBytes = openingPacket().bytes},
                      now, &actions);
    };
    open({kAgentB});
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    open({});
    EXPECT_EQ(delivered(), 1U);
}

// Guards against accepting packets of a flow that duplicates of its opening packet opened at two upstreams: the caller
// uses the one whose sequence number it acknowledges.
TEST_F(PacketAgent, RejectsAFlowThatTheCallerOpenedElsewhere)
{
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    forward(callerPacket(900'001), forward_purpose::to_owner);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
}

// Guards against resetting a flow that is open at another upstream, because this upstream answered a duplicate of the
// opening packet and then left (fleetbench score mwangaza-returns scale-2, FLOW at 25.988 s).
TEST_F(PacketAgent, LeavingUpstreamResetsOnlyFlowsThatTheCallerConfirmed)
{
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    core.leave({.id = "i-1", .startedAtMs = 1000}, now, &actions);
    now += seconds(1);
    actions.clear();
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against callers that time out on a flow whose upstream has left.
TEST_F(PacketAgent, LeavingUpstreamResetsItsFlows)
{
    open();
    core.leave({.id = "i-1", .startedAtMs = 1000}, now, &actions);
    actions.clear();
    core.advance(now + milliseconds(100), &actions);
    EXPECT_EQ(resets(), 0U) << "the upstream may still be running";
    core.advance(now + seconds(1), &actions);
    ASSERT_EQ(resets(), 1U);
    EXPECT_EQ(actionsOf<reset_flow>(actions)[0], (reset_flow{kFlow, kUpstreamInitialSequence + 1}));
}

// Guards against treating a restarted upstream as the start that held the flows: the flows that it returns have ended.
TEST_F(PacketAgent, RestartedUpstreamEndsItsEarlierFlows)
{
    open();
    EXPECT_EQ(announce(1, false, 2000), announcement_result::accepted);
    forward(callerPacket(kUpstreamInitialSequence + 1));
    EXPECT_EQ(delivered(), 1U);
    fromUpstream(returned(callerPacket(kUpstreamInitialSequence + 1)));
    EXPECT_EQ(resets(), 1U);
    EXPECT_EQ(announce(9, true, 1000), announcement_result::earlier_start);
    EXPECT_EQ(core.state(), agent_state::ready);
}

// Guards against callers that lose a request on each idle flow of an upstream that crashed and restarted.
TEST_F(PacketAgent, IdleFlowsOfACrashedUpstreamAreResetWhenItIsBack)
{
    open();
    for (std::uint64_t number = 3; number < 8; ++number) {
        now += milliseconds(770);
        announce(number);
    }
    actions.clear();
    now += seconds(2);
    announce(1, false, 2000);
    core.advance(now, &actions);
    ASSERT_EQ(resets(), 1U);
    EXPECT_EQ(actionsOf<reset_flow>(actions).front(), (reset_flow{kFlow, kUpstreamInitialSequence + 1}));
}

// Guards against resetting live flows: the only announcement of the earlier start may have been a delayed one.
TEST_F(PacketAgent, OneAnnouncementOfAnEarlierStartEndsNoFlow)
{
    open();
    now += seconds(5);
    announce(1, false, 2000);
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against resetting flows that a restarted upstream accepted before it announced its new start (schedule of
// packet_guarantees_test, seed 3), and against slots that stay occupied by requests of its earlier start.
TEST_F(PacketAgent, RestartedUpstreamKeepsItsNewFlows)
{
    open();
    forward(callerPacket(kUpstreamInitialSequence + 1, "GET / HTTP/1.1\r\n\r\n"));
    EXPECT_EQ(core.busy(), 1U);
    actions.clear();
    EXPECT_EQ(announce(1, false, 2000), announcement_result::accepted);
    EXPECT_EQ(resets(), 0U);
    EXPECT_EQ(core.busy(), 0U);
}

// Guards against accepting delayed, duplicate and foreign announcements.
TEST_F(PacketAgent, AcceptsOnlyNewerAnnouncementsOfItsUpstream)
{
    EXPECT_EQ(announce(3, true), announcement_result::accepted);
    EXPECT_EQ(announce(2, false), announcement_result::out_of_order);
    EXPECT_EQ(announce(3, false), announcement_result::out_of_order);
    EXPECT_EQ(core.state(), agent_state::draining);
    EXPECT_EQ(core.announce({.id = "i-9", .service = "receipts", .address = kUpstream, .number = 9}, now, &actions),
              announcement_result::foreign);
    EXPECT_EQ(core.announce({.id = "i-9", .service = kService, .address = kCaller, .number = 9}, now, &actions),
              announcement_result::foreign);
}

// Guards against an upstream that is never accepted because the time of day was set back before it started
// (clock_step), so that its start time is earlier than that of the previous start.
TEST_F(PacketAgent, AcceptsAnUpstreamWhoseClockWasSetBack)
{
    EXPECT_EQ(announce(1, false, 900), announcement_result::earlier_start) << "a delayed one of an earlier start";
    now += seconds(3);
    core.advance(now, &actions);
    ASSERT_EQ(core.state(), agent_state::silent);
    EXPECT_EQ(announce(1, false, 900), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::ready);
}

// Guards against losing open flows when the agent restarts: packets that the upstream sends or returns show which flows
// it holds.
TEST_F(PacketAgent, LearnsFlowsOfItsUpstreamAfterARestart)
{
    forward(callerPacket(kUpstreamInitialSequence + 1), forward_purpose::probe);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    fromUpstream(upstreamPacket(kUpstreamInitialSequence + 1, "HTTP/1.1 200 OK\r\n"));
    ASSERT_EQ(messagesOf<owner_notice>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<owner_notice>(actions)[0].first, kBalancer);
}

// Guards against resetting a flow that is open elsewhere, because an upstream that was just starting answered a packet
// of a flow that it does not hold with a reset (fleetbench run mwangaza-returns quiet-1 --seed 889653748070, FLOW at
// 3.956 s).
TEST_F(PacketAgent, ResetOfAnUpstreamThatMayNotHoldTheFlowIsDropped)
{
    forward(callerPacket(77, "GET / HTTP/1.1\r\n\r\n"), forward_purpose::probe);
    packet_header reset = upstreamPacket(0).header;
    reset.reset = true;
    fromUpstream(makePacket(reset));
    EXPECT_TRUE(actionsOf<send_to_caller>(actions).empty());
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    EXPECT_EQ(core.busy(), 0U);
}

// Guards against delivering packets of a flow to an upstream where it was opened too but not confirmed: the agent had
// restarted, and the upstream retransmitted its answer to a duplicate of the opening packet (fleetbench run
// mwangaza-returns deploy/days/hosts-restarted.toml, FLOW at 25.837 s).
TEST_F(PacketAgent, KeepsRejectingAFlowThatTheCallerOpenedElsewhere)
{
    forward(callerPacket(900'001), forward_purpose::probe);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    for (int i = 0; i < 3; ++i) {
        forward(callerPacket(900'001), forward_purpose::probe);
        EXPECT_EQ(delivered(), 0U);
        EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
    }
    core.leave({.id = "i-1", .startedAtMs = 1000}, now, &actions);
    core.advance(now + seconds(1), &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against probing this upstream with packets of other upstreams' flows during each search for an owner
// (fleetbench run ofnbokun-grown quiet-1, FLOW at 15.292 s): an agent that accepted the first announcement has seen
// every flow.
TEST_F(PacketAgent, RejectsUnknownFlowsWithoutProbingIfItSawItsUpstreamStart)
{
    packet_agent early({.self = kAgentA,
                        .service = kService,
                        .upstream = kUpstream,
                        .announcementPeriod = milliseconds(770),
                        .flowLifetime = seconds(60)},
                       decodeTestHeader, readTestHead, now);
    early.announce({.id = "i-1",
                    .service = kService,
                    .address = kUpstream,
                    .slots = 2,
                    .number = 1,
                    .startedAtMs = 5,
                    .receivedAtMs = 5},
                   now, &actions);
    actions.clear();
    early.message(kBalancer,
                  forwarded_packet{.purpose = forward_purpose::probe,
                                   .service = kService,
                                   .origin = kBalancer,
                                   .packetBytes = callerPacket(77).bytes},
                  now, &actions);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
}

// Guards against replies to owner queries that do not match the flows that the upstream holds.
TEST_F(PacketAgent, AnswersOwnerQueriesByWhatItsUpstreamHolds)
{
    const auto queryOwner = [&](std::uint32_t acknowledged, const std::string &service) {
        actions.clear();
        core.message(kOtherBalancer, owner_query{kFlow, service, true, acknowledged}, now, &actions);
        EXPECT_EQ(delivered(), 0U);
        return messagesOf<owner_nack>(actions);
    };
    EXPECT_EQ(queryOwner(1, kService), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, true}}}));
    EXPECT_EQ(queryOwner(1, "receipts"), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, false}}}));
    open();
    EXPECT_TRUE(queryOwner(kUpstreamInitialSequence + 1, kService).empty());
    EXPECT_EQ(messagesOf<owner_notice>(actions).size(), 1U);
    EXPECT_EQ(queryOwner(900'001, kService), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, false}}}));
}

// Guards against treating a flow as owned although the upstream returned its packet.
TEST_F(PacketAgent, RejectsAFlowThatItsUpstreamDoesNotHold)
{
    forward(callerPacket(77), forward_purpose::probe);
    EXPECT_EQ(delivered(), 1U);
    fromUpstream(returned(callerPacket(77)));
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
    EXPECT_EQ(resets(), 0U);
}

// Guards against losing an opening packet that the upstream does not accept.
TEST_F(PacketAgent, ReturnedOpeningPacketGoesToTheAlternate)
{
    forward(openingPacket(), forward_purpose::open, {kAgentB});
    fromUpstream(returned(openingPacket()));
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions)[0].first, kAgentB);
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(returned(openingPacket()));
    EXPECT_EQ(rejections(), std::vector{rejection_reason::full});
}

// Guards against delivering new flows to an upstream that has stopped announcing itself.
TEST_F(PacketAgent, SilentUpstreamGetsNoNewFlow)
{
    now += seconds(3);
    core.advance(now, &actions);
    EXPECT_EQ(core.state(), agent_state::silent);
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::not_serving});
    EXPECT_EQ(announce(5), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::ready);
}

// Guards against an agent without an upstream that balancers count as a possible owner of flows (fleetbench run
// ofnbokun trouble-1 from second 38 on).
TEST_F(PacketAgent, AgentWithoutUpstreamHoldsNoFlow)
{
    packet_agent agentWithoutUpstream(
        {.self = kAgentA, .service = kService, .upstream = kUpstream, .announcementPeriod = milliseconds(770)},
        decodeTestHeader, readTestHead, now);
    agentWithoutUpstream.advance(now + seconds(2), &actions);
    EXPECT_EQ(agentWithoutUpstream.state(), agent_state::unconfirmed);
    agentWithoutUpstream.advance(now + seconds(3), &actions);
    EXPECT_EQ(agentWithoutUpstream.state(), agent_state::left);
}

// Guards against the reset of open flows, and the removal of their snapshot, because the announcements of a running
// upstream do not arrive after a restart of its agent.
TEST_F(PacketAgent, MissingAnnouncementsDoNotShowThatAListeningUpstreamIsGone)
{
    packet_agent restarted(
        {.self = kAgentA, .service = kService, .upstream = kUpstream, .announcementPeriod = milliseconds(770)},
        decodeTestHeader, readTestHead, now);
    restarted.recordUpstreamListening();
    restarted.advance(now + seconds(3), &actions);
    EXPECT_EQ(restarted.state(), agent_state::silent);
}

// Guards against a packet to the upstream for each balancer that searches for a flow, and for each search.
TEST_F(PacketAgent, AReturnedFlowIsDeniedWithoutAskingTheUpstreamAgain)
{
    const auto isUncertain = [&] {
        actions.clear();
        core.message(kOtherBalancer, owner_query{kFlow, kService}, now, &actions);
        return messagesOf<owner_nack>(actions).at(0).second.isUncertain;
    };
    EXPECT_TRUE(isUncertain());
    forward(callerPacket(77), forward_purpose::probe);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(isUncertain()) << "the upstream has not shown yet whether it holds the flow";
    fromUpstream(returned(callerPacket(77)));
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
    EXPECT_FALSE(isUncertain());
    forward(callerPacket(77), forward_purpose::probe);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
    // The caller reuses the key, and the flow opens here.
    open();
    actions.clear();
    core.message(kOtherBalancer, owner_query{kFlow, kService}, now, &actions);
    EXPECT_EQ(messagesOf<owner_notice>(actions).size(), 1U);
}

// Guards against the reset of an open flow because the table of its restarted agent is full.
TEST_F(PacketAgent, AFullTableIsNoDenial)
{
    for (std::uint32_t i = 0; i < 20'000; ++i) {
        packet_header header = callerPacket(77).header;
        header.source = {0x64410000 + i, 1};
        forward(makePacket(header), forward_purpose::probe);
    }
    forward(callerPacket(77), forward_purpose::probe);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_TRUE(rejections().empty());
    const auto nacks = messagesOf<owner_nack>(actions);
    ASSERT_EQ(nacks.size(), 1U);
    EXPECT_TRUE(nacks[0].second.isUncertain);
}

// Guards against an agent that is unknown to all balancers after a restart.
TEST_F(PacketAgent, SendsHellosToItsSeedsUntilABalancerAnswers)
{
    packet_agent fresh({.self = kAgentA,
                        .service = kService,
                        .upstream = kUpstream,
                        .seeds = {kBalancer},
                        .announcementPeriod = seconds(1)},
                       decodeTestHeader, readTestHead, now);
    actions.clear();
    fresh.advance(now, &actions);
    ASSERT_EQ(messagesOf<agent_hello>(actions).size(), 1U);
    fresh.message(kBalancer, balancer_hello{.incarnation = 1, .balancers = {kOtherBalancer}}, now, &actions);
    actions.clear();
    fresh.advance(now + seconds(1), &actions);
    EXPECT_TRUE(messagesOf<agent_hello>(actions).empty());
    EXPECT_EQ(messagesOf<agent_report>(actions).size(), 2U);
}

// Guards against an agent that only uses the seeds from its start, which may all be gone.
TEST_F(PacketAgent, SendsHellosToTheSeedsOfChangedSettings)
{
    core.advance(now, &actions);
    core.changeSettings(
        {.seeds = {kOtherBalancer}, .announcementPeriod = milliseconds(770), .flowLifetime = seconds(60)});
    actions.clear();
    core.advance(now, &actions);
    const auto hellos = messagesOf<agent_hello>(actions);
    ASSERT_EQ(hellos.size(), 1U);
    EXPECT_EQ(hellos[0].first, kOtherBalancer);
}

// Guards against a request that cannot be traced in the logs because an agent rejected its packet without a log line.
TEST_F(PacketAgent, LogsPacketsOfFlowsThatItDoesNotHold)
{
    announce(1, false, 2000);
    forward(callerPacket(77));
    EXPECT_EQ(rejections(), std::vector{rejection_reason::unknown_flow});
    bool isLogged = false;
    for (const auto &line : actionsOf<log_decision>(actions))
        isLogged = isLogged || line.text.find("turned packet away, flow=" + toString(kFlow)) != std::string::npos;
    EXPECT_TRUE(isLogged);
}

namespace {

/// An agent that has just started and has received no announcement yet.
class StartingAgent : public ::testing::Test
{
public:
    void announce(std::uint64_t number)
    {
        core.announce({.id = "i-1",
                       .service = kService,
                       .address = kUpstream,
                       .version = "v1",
                       .slots = 2,
                       .number = number,
                       .startedAtMs = 1000,
                       .receivedAtMs = 1000 + (number - 1) * 770},
                      now, &actions);
    }

    /// Whether the agent gives a definite negative reply for an unknown flow, without probing its upstream.
    bool repliesWithDefiniteNack()
    {
        actions.clear();
        core.message(kBalancer, owner_query{kFlow, kService, true, 77}, now, &actions);
        const auto nacks = messagesOf<owner_nack>(actions);
        return !nacks.empty() && !nacks[0].second.isUncertain;
    }

    time_point now{};
    packet_actions actions;
    packet_agent core{
        {.self = kAgentA, .service = kService, .upstream = kUpstream, .announcementPeriod = milliseconds(770)},
        decodeTestHeader,
        readTestHead,
        now};
};

} // namespace

// Guards against callers of flows that no upstream holds and that wait 2.3 s for an agent whose upstream is gone, after
// all hosts lost power (fleetbench run ofnbokun-grown trouble-1: 10 of 51 agents had no upstream).
TEST_F(StartingAgent, HoldsNoFlowIfNothingListensAtItsUpstreamsAddress)
{
    EXPECT_FALSE(repliesWithDefiniteNack());
    core.recordUpstreamAbsent(now, &actions);
    EXPECT_TRUE(repliesWithDefiniteNack());
    EXPECT_EQ(core.state(), agent_state::left);
    core.stop(now, &actions);
    EXPECT_EQ(core.state(), agent_state::left) << "balancers expect a stopping agent to hold flows";
    announce(2);
    EXPECT_EQ(core.state(), agent_state::ready);
    EXPECT_TRUE(repliesWithDefiniteNack()) << "it has seen the upstream start";
}

// Guards against definite negative replies for flows of an upstream that was running although it did not accept
// connections.
TEST_F(StartingAgent, AnUpstreamThatRanBeforeMayHoldFlows)
{
    core.recordUpstreamAbsent(now, &actions);
    announce(9);
    EXPECT_FALSE(repliesWithDefiniteNack());
    EXPECT_EQ(core.state(), agent_state::ready);
    core.recordUpstreamAbsent(now, &actions);
    EXPECT_EQ(core.state(), agent_state::ready) << "an upstream that announces itself is running";
}

TEST_F(PacketAgent, EntryThatABalancerMissesIsWrittenAgainOnce)
{
    core.message(kBalancer, balancer_hello{.incarnation = 1}, now, &actions);
    EXPECT_FALSE(core.takeRegistrationRequest());
    core.message(kBalancer, balancer_hello{.incarnation = 1, .isEntryMissing = true}, now, &actions);
    EXPECT_TRUE(core.takeRegistrationRequest());
    EXPECT_FALSE(core.takeRegistrationRequest());
}
