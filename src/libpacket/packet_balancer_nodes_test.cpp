#include "packet_balancer_fixture_test.h"

#include <algorithm>
#include <set>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against entries of replaced hosts that stay in the object store permanently, and against the removal of
// entries by a balancer that is itself cut off.
TEST_F(PacketBalancer, ReturnsListedNodesThatStaySilentAsStale)
{
    for (int second = 0; second < 9; ++second) {
        EXPECT_TRUE(core.staleNodes(now).empty());
        advance(seconds(1));
        core.message(kAgentA, makeReport(++number), now, &actions);
    }
    EXPECT_EQ(core.staleNodes(now), std::vector{kAgentB});
    advance(seconds(20));
    EXPECT_TRUE(core.staleNodes(now).empty());
}

// Guards against the loss of packets while a newly started balancer has no routes or agents.
TEST(PacketBalancerStart, OpeningPacketWaitsForRoutesAndAgents)
{
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.callerPacket(openingPacket(), now, &actions);
    now += milliseconds(50);
    core.applyRoutes(makeRoutes(5), now, &actions);
    EXPECT_TRUE(messagesOf<forwarded_packet>(actions).empty());
    now += milliseconds(50);
    core.message(kAgentA, makeReport(1), now, &actions);
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_TRUE(actionsOf<reset_flow>(actions).empty());
    EXPECT_TRUE(core.notReadyReasons(now).empty());
}

/// A balancer that has just started; the store lists two agents and another balancer, and holds routes of version 5.
class PacketBalancerAfterRestore : public ::testing::Test
{
public:
    PacketBalancerAfterRestore()
    {
        core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kOtherBalancer, false, {}, "nbi-west"}}, now,
                          &actions);
        core.applyRoutes(makeRoutes(5), now, &actions);
        core.message(kAgentA, makeReport(1), now, &actions);
        actions.clear();
    }

    void helloFromNeighbour(std::uint64_t routesVersion, const std::vector<host_address> &unlisted = {})
    {
        core.message(kOtherBalancer,
                     balancer_hello{.incarnation = 1,
                                    .domain = "nbi-west",
                                    .routesVersion = routesVersion,
                                    .http = kOtherBalancer,
                                    .unlistedAgents = unlisted},
                     now, &actions);
    }

    time_point now{};
    packet_actions actions;
    packet_balancer core{{.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now};
};

// Guards against an older configuration that a balancer serves after its start, because the store came back from an
// older copy: its neighbours know a newer one.
TEST_F(PacketBalancerAfterRestore, OlderRoutesAreNotServedBeforeANeighbourWasHeard)
{
    core.callerPacket(openingPacket(), now, &actions);
    EXPECT_TRUE(messagesOf<forwarded_packet>(actions).empty());
    EXPECT_FALSE(core.notReadyReasons(now).empty());
    now += milliseconds(9);
    helloFromNeighbour(9);
    EXPECT_TRUE(messagesOf<forwarded_packet>(actions).empty()) << "the neighbour has newer routes";
    EXPECT_TRUE(core.needsNewerRoutes(now));
    EXPECT_FALSE(core.notReadyReasons(now).empty());
    now += milliseconds(20);
    core.applyRoutes(makeRoutes(9), now, &actions);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_FALSE(core.needsNewerRoutes(now));
    EXPECT_TRUE(core.notReadyReasons(now).empty());
}

// Guards against callers that wait for a neighbour which is gone, or whose newer routes cannot be read.
TEST_F(PacketBalancerAfterRestore, TheWaitForNeighboursIsBounded)
{
    core.callerPacket(openingPacket(), now, &actions);
    now += milliseconds(250);
    core.advance(now, &actions);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_TRUE(core.notReadyReasons(now).empty());
    helloFromNeighbour(9);
    EXPECT_TRUE(core.notReadyReasons(now).empty()) << "it serves already";
}

// Guards against callers that wait for newer routes which cannot be read from the neighbour that has them.
TEST_F(PacketBalancerAfterRestore, TheWaitForNewerRoutesIsBounded)
{
    core.callerPacket(openingPacket(), now, &actions);
    helloFromNeighbour(9);
    now += milliseconds(999);
    core.message(kAgentA, makeReport(2), now, &actions);
    core.advance(now, &actions);
    EXPECT_TRUE(messagesOf<forwarded_packet>(actions).empty());
    now += milliseconds(1);
    core.advance(now, &actions);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_TRUE(core.notReadyReasons(now).empty());
}

// Guards against the reset of an open flow whose agent the store does not list, because it has lost the agent's entry
// (fleetbench run mwangaza-returns deploy/days/restored-then-new-hosts.toml --seed 1, FLOW at 22.936 s).
TEST_F(PacketBalancerAfterRestore, AnAgentThatOnlyANeighbourHearsMayOwnAFlow)
{
    helloFromNeighbour(5, {kAgentB});
    const auto hellos = messagesOf<balancer_hello>(actions);
    EXPECT_TRUE(std::any_of(hellos.begin(), hellos.end(), [](const auto &sent) { return sent.first == kAgentB; }))
        << "the agent must learn of this balancer";
    now += milliseconds(400);
    core.message(kAgentA, makeReport(2), now, &actions);
    core.callerPacket(callerPacket(77), now, &actions);
    core.message(kAgentA, owner_nack{kFlow, false}, now, &actions);
    EXPECT_TRUE(actionsOf<reset_flow>(actions).empty()) << "kAgentB has not denied";
    core.message(kAgentB, makeReport(1), now, &actions);
    core.advance(now, &actions);
    core.message(kAgentB, owner_nack{kFlow, false}, now, &actions);
    EXPECT_EQ(actionsOf<reset_flow>(actions).size(), 1U);
}

// Guards against the reset of an open flow by a balancer whose first hello was lost: the store does not list the owner, and
// no neighbour could name it.
TEST_F(PacketBalancerAfterRestore, NoFlowIsTakenForUnownedWhileNoNeighbourWasHeard)
{
    now += milliseconds(400);
    core.advance(now, &actions);
    core.message(kAgentA, makeReport(2), now, &actions);
    core.callerPacket(callerPacket(77), now, &actions);
    core.message(kAgentA, owner_nack{kFlow, false}, now, &actions);
    EXPECT_TRUE(actionsOf<reset_flow>(actions).empty());
    now += milliseconds(1100);
    core.message(kAgentA, makeReport(3), now, &actions);
    core.advance(now, &actions);
    EXPECT_EQ(actionsOf<reset_flow>(actions).size(), 1U) << "the neighbour is gone";
}

// Guards against agents without an entry that a balancer does not name to its neighbours.
TEST_F(PacketBalancer, NamesAgentsThatReportWithoutAnEntry)
{
    core.applyListing({{kAgentA, true, kService, "nbi-west"}}, now, &actions);
    report();
    actions.clear();
    core.message(kOtherBalancer, balancer_hello{.incarnation = 1, .domain = "nbi-west"}, now, &actions);
    const auto hellos = messagesOf<balancer_hello>(actions);
    ASSERT_FALSE(hellos.empty());
    EXPECT_EQ(hellos[0].second.unlistedAgents, std::vector{kAgentB});
}

// Guards against an open flow that a new balancer resets in a large fleet: more agents have no entry than one hello can
// name, and the owner is one of the others.
TEST_F(PacketBalancer, NamesAllAgentsWithoutAnEntryToANewBalancer)
{
    constexpr std::uint32_t kUnlisted = 600;
    for (std::uint32_t i = 0; i < kUnlisted; ++i)
        core.message(host_address{0x0A080000 + i, 7000}, makeReport(1), now, &actions);
    actions.clear();
    core.message(kOtherBalancer, balancer_hello{.incarnation = 1, .domain = "nbi-west"}, now, &actions);
    std::set<host_address> named;
    for (const auto &[target, hello] : messagesOf<balancer_hello>(actions)) {
        EXPECT_EQ(target, kOtherBalancer);
        EXPECT_LE(encodeNodeMessage(hello).size(), 1200U) << "a hello must fit one datagram";
        named.insert(hello.unlistedAgents.begin(), hello.unlistedAgents.end());
    }
    EXPECT_EQ(named.size(), kUnlisted);
}

// Guards against live balancers that are forgotten in a large fleet, where a hello of each arrives only once in 100 s: a
// stopping balancer would hand its flows over to some of its neighbours only.
TEST_F(PacketBalancer, SilentBalancersAreKeptAsLongAsHellosMayTakeInALargeFleet)
{
    for (const std::uint32_t fleet : {30U, 300U}) {
        packet_balancer balancer({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)},
                                 decodeTestHeader, now);
        for (std::uint32_t i = 0; i < fleet; ++i)
            balancer.message(host_address{0x0A080000 + i, 7000}, balancer_hello{.domain = "nbi-west"}, now, &actions);
        balancer.advance(now + seconds(fleet == 300 ? 150 : 50), &actions);
        EXPECT_EQ(balancer.balancerCount(), fleet);
        balancer.advance(now + seconds(1100), &actions);
        EXPECT_EQ(balancer.balancerCount(), 0U) << "they are gone";
    }
}

// Guards against sending callers to a balancer that cannot reach any agent.
TEST_F(PacketBalancer, IsNotReadyWhenNoAgentReports)
{
    EXPECT_TRUE(core.notReadyReasons(now).empty());
    advance(seconds(2));
    EXPECT_EQ(core.notReadyReasons(now).size(), 1U);
}

// Guards against a balancer that keeps old routes while its own watch of the object store is stalled.
TEST_F(PacketBalancer, LearnsOfNewerRoutesFromOtherBalancers)
{
    EXPECT_FALSE(core.newerRoutes());
    core.message(kOtherBalancer,
                 balancer_hello{.incarnation = 1, .routesVersion = 9, .http = kOtherBalancer, .balancers = {}}, now,
                 &actions);
    EXPECT_EQ(core.newerRoutes(), (routes_source{kOtherBalancer, 9}));
    core.applyRoutes(makeRoutes(9), now, &actions);
    EXPECT_FALSE(core.newerRoutes());
}

// Guards against a balancer that contacts only the seeds of its start, none of which may exist any more.
TEST(PacketBalancerSettings, SendsHellosToTheSeedsOfChangedSettings)
{
    time_point now{};
    packet_actions actions;
    packet_balancer core({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader, now);
    core.advance(now, &actions);
    EXPECT_TRUE(messagesOf<balancer_hello>(actions).empty());
    core.changeSettings({.seeds = {kBalancer, kOtherBalancer}, .flowLifetime = seconds(60)});
    now += kHelloPeriod;
    core.advance(now, &actions);
    const auto hellos = messagesOf<balancer_hello>(actions);
    ASSERT_EQ(hellos.size(), 1U);
    EXPECT_EQ(hellos[0].first, kOtherBalancer);
}

// Guards against agents that learn of a restored store only after seconds, although it has lost what they wrote.
TEST_F(PacketBalancer, AgentsAreToldOfALaterStoreEraAtOnce)
{
    const auto told = [&] {
        std::map<host_address, std::uint64_t> eras;
        for (const auto &[to, hello] : messagesOf<balancer_hello>(actions))
            eras[to] = hello.storeEra;
        return eras;
    };
    core.applyStoreEra(1, now);
    advance(kHelloPeriod);
    core.advance(now, &actions);
    actions.clear();
    core.applyStoreEra(2, now);
    core.advance(now, &actions);
    EXPECT_EQ(told()[kAgentA], 2U);
    EXPECT_EQ(told()[kAgentB], 2U);
    actions.clear();
    core.applyStoreEra(2, now);
    core.advance(now, &actions);
    EXPECT_TRUE(told().empty()) << "once for each era";
}

// Guards against an agent without an entry that does not learn of a restored store from a balancer that has just started.
TEST_F(PacketBalancer, AnUnknownAgentThatReportsGetsAHello)
{
    packet_balancer fresh({.self = kBalancer, .domain = "nbi-west", .flowLifetime = seconds(60)}, decodeTestHeader,
                          now);
    fresh.applyStoreEra(2, now);
    fresh.message(kAgentA, makeReport(1), now, &actions);
    const auto hellos = messagesOf<balancer_hello>(actions);
    ASSERT_EQ(hellos.size(), 1U);
    EXPECT_EQ(hellos[0].first, kAgentA);
    EXPECT_EQ(hellos[0].second.storeEra, 2U);
}

// Guards against the reset of open flows after a restart of all balancers: the entry of an agent was removed during a
// long silence, and a starting balancer takes the agents that may own flows from the object store.
TEST_F(PacketBalancer, AgentThatReportsAgainIsRequestedToWriteItsEntry)
{
    const auto missing = [&] {
        std::vector<host_address> requested;
        for (const auto &[to, hello] : messagesOf<balancer_hello>(actions)) {
            if (hello.isEntryMissing)
                requested.push_back(to);
        }
        return requested;
    };
    core.applyListing({{kAgentA, true, kService, "nbi-west"}}, now, &actions);
    for (int second = 0; second < 25; ++second) {
        advance(kHelloPeriod);
        report();
        core.advance(now, &actions);
        EXPECT_TRUE(second >= 9 || missing().empty()) << "its entry may still be in flight";
    }
    ASSERT_FALSE(missing().empty());
    EXPECT_EQ(missing().front(), kAgentB);
    core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kAgentB, true, kService, "nbi-west"}}, now, &actions);
    actions.clear();
    for (int second = 0; second < 25; ++second) {
        advance(kHelloPeriod);
        report();
        core.advance(now, &actions);
    }
    EXPECT_TRUE(missing().empty());
}

// Guards against balancers of other failure domains that count on a watcher which may be cut off from them, and against a
// balancer that hears of newer routes and waits for its own watch, although it has none.
TEST_F(PacketBalancer, WatchersConfirmRoutesWithinTheirFailureDomain)
{
    const host_address far{0x0A090001, 7000};
    core.message(kOtherBalancer, balancer_hello{.domain = "nbi-west", .routesVersion = 5}, now, &actions);
    core.message(far, balancer_hello{.domain = "nbi-east", .routesVersion = 5}, now, &actions);
    actions.clear();
    EXPECT_EQ(core.routesConfirmationAge(now), std::nullopt);
    core.storeConfirmedRoutes({now - milliseconds(40), 5}, now, &actions);
    EXPECT_EQ(core.routesConfirmationAge(now + seconds(1)), milliseconds(1040)) << "its own answer of the store";
    const auto sent = messagesOf<balancer_hello>(actions);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].first, kOtherBalancer);
    EXPECT_TRUE(sent[0].second.areRoutesConfirmed);
    EXPECT_EQ(sent[0].second.confirmationAgeMilliseconds, 40U);

    const auto hearWatchers = [&](const char *domain, std::uint64_t version) {
        for (std::uint32_t i = 0; i < 40; ++i)
            core.message(host_address{0x0A080000 + i, 7000},
                         balancer_hello{.domain = domain, .routesVersion = version, .areRoutesConfirmed = true}, now,
                         &actions);
    };
    hearWatchers("nbi-east", 5);
    EXPECT_TRUE(core.watchesRoutes(now));
    hearWatchers("nbi-west", 5);
    EXPECT_FALSE(core.watchesRoutes(now));
    EXPECT_FALSE(core.needsNewerRoutes(now));
    hearWatchers("nbi-west", 6);
    EXPECT_TRUE(core.needsNewerRoutes(now));
    EXPECT_TRUE(core.watchesRoutes(now + seconds(2) + milliseconds(1))) << "they could not be read";
}

// Guards against older routes that are vouched for, since the newer ones of the store's answer were lost on the way to the
// balancer's thread.
TEST_F(PacketBalancer, AnAnswerOfTheStoreWithRoutesThatAreNotInForceConfirmsNothing)
{
    core.message(kOtherBalancer, balancer_hello{.domain = "nbi-west", .routesVersion = 5}, now, &actions);
    actions.clear();
    core.storeConfirmedRoutes({now, 6}, now, &actions);
    EXPECT_TRUE(messagesOf<balancer_hello>(actions).empty());
    EXPECT_EQ(core.routesConfirmationAge(now), std::nullopt);
    core.storeConfirmedRoutes({now, 4}, now, &actions);
    EXPECT_EQ(messagesOf<balancer_hello>(actions).size(), 1U) << "the operator's write of an older version came late";
}
