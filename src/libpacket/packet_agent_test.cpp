#include "citroncrank/packet_agent.h"

#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against packets that reach the upstream of another service.
TEST_F(PacketAgent, RefusesPacketsOfAnotherService)
{
    forward(openingPacket(), forward_purpose::open, {}, "receipts");
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(denials(), std::vector{rejection_reason::wrong_service});
    forward(callerPacket(1), forward_purpose::ask, {}, "receipts");
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
}

// Guards against a draining upstream that gets new flows, and against its open flows being cut off.
TEST_F(PacketAgent, DrainingUpstreamKeepsItsFlowsAndTakesNoNewOne)
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
// packet_promises_test with agents restarted).
TEST_F(PacketAgent, PassesAFlowOnUntilItsUpstreamHasAnnouncedItself)
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

// Guards against a flow that was opened at two upstreams by copies of its opening packet: the caller goes on with the
// one whose sequence number it acknowledges.
TEST_F(PacketAgent, DeniesAFlowThatTheCallerOpenedElsewhere)
{
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    forward(callerPacket(900'001), forward_purpose::carry);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
}

// Guards against the reset of a flow that is open at another upstream (fleetbench score mwangaza-returns scale-2, FLOW at
// 25.988 s): this upstream had answered a copy of the opening packet, and then left.
TEST_F(PacketAgent, LeavingUpstreamResetsOnlyFlowsThatTheCallerConfirmed)
{
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    core.leave("i-1", now, &actions);
    now += seconds(1);
    actions.clear();
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against callers that wait out their time on a flow whose upstream has left.
TEST_F(PacketAgent, LeavingUpstreamResetsItsFlows)
{
    open();
    core.leave("i-1", now, &actions);
    actions.clear();
    core.advance(now + milliseconds(100), &actions);
    EXPECT_EQ(resets(), 0U) << "the upstream may still live";
    core.advance(now + seconds(1), &actions);
    ASSERT_EQ(resets(), 1U);
    EXPECT_EQ(actionsOf<reset_flow>(actions)[0], (reset_flow{kFlow, kUpstreamInitialSequence + 1}));
}

// Guards against an upstream that has started again being taken for the one that held the flows: what it returns has ended.
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

// Guards against callers that lose a request on each idle flow of an upstream that has crashed and started again.
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

// Guards against the reset of living flows: the only announcement of the earlier start may have been a late one.
TEST_F(PacketAgent, OneAnnouncementOfAnEarlierStartEndsNoFlow)
{
    open();
    now += seconds(5);
    announce(1, false, 2000);
    core.advance(now, &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against the reset of flows that a restarted upstream took before it announced its new start (schedule of
// packet_promises_test, seed 3), and against slots that the requests of its earlier start occupy.
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

// Guards against late, doubled and foreign announcements.
TEST_F(PacketAgent, TakesOnlyNewerAnnouncementsOfItsUpstream)
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

// Guards against an upstream that stays out because the time of day had jumped back when it started (clock_step): its start seems
// to be earlier than that of the one before it.
TEST_F(PacketAgent, TakesAnUpstreamWhoseClockWasSetBack)
{
    EXPECT_EQ(announce(1, false, 900), announcement_result::earlier_start) << "a late one of an earlier start";
    now += seconds(3);
    core.advance(now, &actions);
    ASSERT_EQ(core.state(), agent_state::silent);
    EXPECT_EQ(announce(1, false, 900), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::ready);
}

// Guards against open flows that are lost when the agent restarts: the upstream's own packets and what it returns show
// what it holds.
TEST_F(PacketAgent, LearnsFlowsOfItsUpstreamAfterARestart)
{
    forward(callerPacket(kUpstreamInitialSequence + 1), forward_purpose::ask);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    fromUpstream(upstreamPacket(kUpstreamInitialSequence + 1, "HTTP/1.1 200 OK\r\n"));
    ASSERT_EQ(messagesOf<owner_notice>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<owner_notice>(actions)[0].first, kBalancer);
}

// Guards against the reset of a flow that is open elsewhere (fleetbench run mwangaza-returns quiet-1 --seed 889653748070, FLOW
// at 3.956 s): an upstream that was just starting answered a packet of a flow it does not hold with a reset.
TEST_F(PacketAgent, ResetOfAnUpstreamThatMayNotHoldTheFlowIsNotPassedOn)
{
    forward(callerPacket(77, "GET / HTTP/1.1\r\n\r\n"), forward_purpose::ask);
    packet_header reset = upstreamPacket(0).header;
    reset.reset = true;
    fromUpstream(makePacket(reset));
    EXPECT_TRUE(actionsOf<send_to_caller>(actions).empty());
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    EXPECT_EQ(core.busy(), 0U);
}

// Guards against packets of a flow that go to an upstream where it was opened too but not confirmed (fleetbench run
// mwangaza-returns deploy/days/hosts-restarted.toml, FLOW at 25.837 s): the agent had restarted, and the upstream
// repeated its answer to a copy of the opening packet.
TEST_F(PacketAgent, KeepsDenyingAFlowThatTheCallerOpenedElsewhere)
{
    forward(callerPacket(900'001), forward_purpose::ask);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    EXPECT_TRUE(messagesOf<owner_notice>(actions).empty());
    for (int i = 0; i < 3; ++i) {
        forward(callerPacket(900'001), forward_purpose::ask);
        EXPECT_EQ(delivered(), 0U);
        EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
    }
    core.leave("i-1", now, &actions);
    core.advance(now + seconds(1), &actions);
    EXPECT_EQ(resets(), 0U);
}

// Guards against packets of other upstreams' flows that reach this one with each question for an owner (fleetbench run
// ofnbokun-grown quiet-1, FLOW at 15.292 s): an agent that took the first announcement has seen every flow.
TEST_F(PacketAgent, DeniesWithoutAskingAnUpstreamWhoseStartItSaw)
{
    packet_agent early({.self = kAgentA,
                        .service = kService,
                        .upstream = kUpstream,
                        .announcementPeriod = milliseconds(770),
                        .flowLifetime = seconds(60)},
                       decodeTestHeader, readTestHead, now);
    early.announce({.id = "i-1", .service = kService, .address = kUpstream, .slots = 2, .number = 1, .startedAtMs = 5},
                   now, &actions);
    actions.clear();
    early.message(kBalancer,
                  forwarded_packet{.purpose = forward_purpose::ask,
                                   .service = kService,
                                   .origin = kBalancer,
                                   .packetBytes = callerPacket(77).bytes},
                  now, &actions);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
}

// Guards against answers to questions that do not fit what the upstream holds.
TEST_F(PacketAgent, AnswersQuestionsFromFact)
{
    const auto ask = [&](std::uint32_t acknowledged, const std::string &service) {
        actions.clear();
        core.message(kOtherBalancer, owner_query{kFlow, service, true, acknowledged}, now, &actions);
        EXPECT_EQ(delivered(), 0U);
        return messagesOf<owner_nack>(actions);
    };
    EXPECT_EQ(ask(1, kService), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, true}}}));
    EXPECT_EQ(ask(1, "receipts"), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, false}}}));
    open();
    EXPECT_TRUE(ask(kUpstreamInitialSequence + 1, kService).empty());
    EXPECT_EQ(messagesOf<owner_notice>(actions).size(), 1U);
    EXPECT_EQ(ask(900'001, kService), (std::vector{std::pair{kOtherBalancer, owner_nack{kFlow, false}}}));
}

// Guards against a flow that is taken as owned although the upstream returned its packet.
TEST_F(PacketAgent, DeniesAFlowThatItsUpstreamDoesNotHold)
{
    forward(callerPacket(77), forward_purpose::ask);
    EXPECT_EQ(delivered(), 1U);
    fromUpstream(returned(callerPacket(77)));
    EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
    EXPECT_EQ(resets(), 0U);
}

// Guards against an opening packet that is lost when the upstream does not take it.
TEST_F(PacketAgent, ReturnedOpeningPacketGoesToTheAlternate)
{
    forward(openingPacket(), forward_purpose::open, {kAgentB});
    fromUpstream(returned(openingPacket()));
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions)[0].first, kAgentB);
    forward(openingPacket(), forward_purpose::open);
    fromUpstream(returned(openingPacket()));
    EXPECT_EQ(denials(), std::vector{rejection_reason::full});
}

// Guards against new flows that go to an upstream which has stopped announcing itself.
TEST_F(PacketAgent, SilentUpstreamTakesNoNewFlow)
{
    now += seconds(3);
    core.advance(now, &actions);
    EXPECT_EQ(core.state(), agent_state::silent);
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(denials(), std::vector{rejection_reason::not_serving});
    EXPECT_EQ(announce(5), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::ready);
}

// Guards against an agent without an upstream that keeps balancers from knowing who can hold a flow (fleetbench run ofnbokun
// trouble-1 from second 38 on).
TEST_F(PacketAgent, AgentWithoutUpstreamHoldsNoFlow)
{
    packet_agent lone(
        {.self = kAgentA, .service = kService, .upstream = kUpstream, .announcementPeriod = milliseconds(770)},
        decodeTestHeader, readTestHead, now);
    lone.advance(now + seconds(2), &actions);
    EXPECT_EQ(lone.state(), agent_state::unconfirmed);
    lone.advance(now + seconds(3), &actions);
    EXPECT_EQ(lone.state(), agent_state::left);
}

// Guards against an agent that no balancer knows after a restart.
TEST_F(PacketAgent, AsksItsSeedsUntilABalancerAnswers)
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

// Guards against an agent that keeps to the seeds of its start, which may all be gone by now.
TEST_F(PacketAgent, AsksTheSeedsOfChangedSettings)
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

// Guards against a request that cannot be followed in the logs because an agent refused its packet without a line.
TEST_F(PacketAgent, LogsPacketsOfFlowsThatItDoesNotHold)
{
    announce(1, false, 2000);
    forward(callerPacket(77));
    EXPECT_EQ(denials(), std::vector{rejection_reason::unknown_flow});
    bool isLogged = false;
    for (const auto &line : actionsOf<log_decision>(actions))
        isLogged = isLogged || line.text.find("turned packet away, flow=" + toString(kFlow)) != std::string::npos;
    EXPECT_TRUE(isLogged);
}

namespace {

/// An agent that has just started and has heard nothing of its upstream.
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
                       .startedAtMs = 1000},
                      now, &actions);
    }

    /// Whether the agent denies a flow that it does not know, without asking its upstream.
    bool denies()
    {
        actions.clear();
        core.message(kBalancer, owner_query{kFlow, kService, true, 77}, now, &actions);
        const auto denials = messagesOf<owner_nack>(actions);
        return !denials.empty() && !denials[0].second.isUncertain;
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

// Guards against callers of flows that nobody holds which wait 2.3 s for an agent whose upstream is gone, after all hosts lost
// power (fleetbench run ofnbokun-grown trouble-1: 10 of 51 agents had none).
TEST_F(StartingAgent, WithoutAListenerItHoldsNoFlow)
{
    EXPECT_FALSE(denies());
    core.upstreamAbsent(now, &actions);
    EXPECT_TRUE(denies());
    EXPECT_EQ(core.state(), agent_state::left);
    core.stop(now, &actions);
    EXPECT_EQ(core.state(), agent_state::left) << "balancers expect a stopping agent to hold flows";
    announce(2);
    EXPECT_EQ(core.state(), agent_state::ready);
    EXPECT_TRUE(denies()) << "it has seen the upstream start";
}

// Guards against the denial of flows of an upstream that ran although it did not accept connections.
TEST_F(StartingAgent, AnUpstreamThatRanBeforeMayHoldFlows)
{
    core.upstreamAbsent(now, &actions);
    announce(9);
    EXPECT_FALSE(denies());
    EXPECT_EQ(core.state(), agent_state::ready);
    core.upstreamAbsent(now, &actions);
    EXPECT_EQ(core.state(), agent_state::ready) << "an upstream that announces itself is there";
}

TEST_F(PacketAgent, EntryThatABalancerMissesIsWrittenAgainOnce)
{
    core.message(kBalancer, balancer_hello{.incarnation = 1}, now, &actions);
    EXPECT_FALSE(core.takeRegistrationRequest());
    core.message(kBalancer, balancer_hello{.incarnation = 1, .isEntryMissing = true}, now, &actions);
    EXPECT_TRUE(core.takeRegistrationRequest());
    EXPECT_FALSE(core.takeRegistrationRequest());
}
