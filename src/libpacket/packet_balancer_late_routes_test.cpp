#include "packet_balancer_fixture_test.h"

#include <algorithm>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// A balancer with version 5 of the routes. kOtherBalancer has later ones, which this balancer cannot read.
class PacketBalancerLateRoutes : public PacketBalancer
{
public:
    void hearNewerRoutes(std::uint64_t version = 6)
    {
        core.message(kOtherBalancer,
                     balancer_hello{.domain = "nbi-west", .routesVersion = version, .takesOpenings = true}, now,
                     &actions);
    }

    /// Another balancer gives its opening to this one.
    void receiveOpening(std::uint64_t senderRoutes)
    {
        core.message(kOtherBalancer,
                     forwarded_packet{.purpose = forward_purpose::open,
                                      .service = {},
                                      .origin = kOtherBalancer,
                                      .alternates = {},
                                      .packetBytes = openingPacket().bytes,
                                      .routesVersion = senderRoutes},
                     now, &actions);
    }

    void rejectAsReplaced(const host_address &holder)
    {
        core.message(kAgentA,
                     rejection_notice{rejection_reason::replaced_routes, forward_purpose::open, openingPacket().bytes,
                                      6, holder},
                     now, &actions);
    }

    /// Other balancers have newer routes in force for this time.
    void passTime(duration time)
    {
        for (duration passed(0); passed < time; passed += milliseconds(100)) {
            hearNewerRoutes();
            report();
            core.advance(now, &actions);
            advance(milliseconds(100));
        }
    }

    std::vector<host_address> receivers() const
    {
        std::vector<host_address> result;
        for (const auto &[to, message] : forwarded())
            result.push_back(to);
        return result;
    }

    std::size_t logged(const std::string &begin) const
    {
        const auto lines = actionsOf<log_decision>(actions);
        return std::size_t(std::count_if(lines.begin(), lines.end(),
                                         [&](const log_decision &line) { return line.text.starts_with(begin); }));
    }
};

} // namespace

// Guards against a late balancer that cannot be found in the logs: nothing told that it goes on with replaced routes.
TEST_F(PacketBalancerLateRoutes, ALateBalancerLogsOnceThatItsRoutesAreReplaced)
{
    passTime(milliseconds(900));
    EXPECT_EQ(logged("routes are replaced"), 0U);
    passTime(seconds(3));
    EXPECT_EQ(logged("routes are replaced, in_force=5 newest=6"), 1U);
    EXPECT_EQ(core.routesReplacedFor(now), duration(milliseconds(3900)));
    core.applyRoutes(makeRoutes(6), now, &actions);
    EXPECT_EQ(core.routesReplacedFor(now), std::nullopt);
}

// Guards against an opening that runs at the service of an older version, since a balancer that cannot read newer routes goes
// on with its own, for whatever cause.
TEST_F(PacketBalancerLateRoutes, AnOpeningIsNotBoundByRoutesThatWereReplacedLongAgo)
{
    passTime(seconds(2));
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer});
    EXPECT_EQ(core.openingsHandedOver(), 1U);
}

// Guards against openings that take a detail through another balancer at each change, before it has spread.
TEST_F(PacketBalancerLateRoutes, AnOpeningRightAfterAChangeIsPlacedHere)
{
    passTime(seconds(1));
    actions.clear();
    fromCaller(openingPacket());
    ASSERT_EQ(receivers(), std::vector{kAgentA});
    EXPECT_FALSE(forwarded()[0].second.isNewestKnown);
    EXPECT_EQ(forwarded()[0].second.routesVersion, 5U);
}

// Guards against a copy that opens a flow at a second upstream.
TEST_F(PacketBalancerLateRoutes, ACopyOfAnOpeningThatWasPlacedHereFollowsIt)
{
    fromCaller(openingPacket());
    passTime(seconds(2));
    actions.clear();
    fromCaller(openingPacket(1));
    EXPECT_EQ(receivers(), std::vector{kAgentA});
}

// Guards against a late balancer that stops serving while nobody with newer routes can be reached.
TEST_F(PacketBalancerLateRoutes, AnOpeningIsPlacedHereIfNoHolderOfNewerRoutesIsHeard)
{
    passTime(seconds(2));
    for (int i = 0; i < 100; ++i) {
        advance(milliseconds(100));
        report();
    }
    actions.clear();
    fromCaller(openingPacket());
    ASSERT_EQ(receivers(), std::vector{kAgentA});
    EXPECT_TRUE(forwarded()[0].second.isNewestKnown);
}

// Guards against a late balancer whose openings are lost on a path that works in one direction only: it hears hellos of
// others, which do not hear it.
TEST_F(PacketBalancerLateRoutes, AHolderThatDoesNotAnswerGetsNoMoreOpenings)
{
    passTime(seconds(2));
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer});
    passTime(milliseconds(900));
    actions.clear();
    fromCaller(openingWithSequence(600));
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer}) << "a round trip over a full link takes long";
    passTime(milliseconds(200));
    actions.clear();
    fromCaller(openingWithSequence(700));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_NE(forwarded()[0].first, kOtherBalancer);
    EXPECT_TRUE(forwarded()[0].second.isNewestKnown);
    passTime(seconds(3));
    actions.clear();
    fromCaller(openingWithSequence(1400));
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer}) << "it is tried again";
}

// The same holder answers.
TEST_F(PacketBalancerLateRoutes, AHolderThatAnswersGetsFurtherOpenings)
{
    passTime(seconds(2));
    fromCaller(openingPacket());
    core.message(kOtherBalancer, flow_owner_list{}, now, &actions);
    passTime(milliseconds(1100));
    actions.clear();
    fromCaller(openingWithSequence(700));
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer});
}

// Guards against a holder of the last software version, which drops openings of other balancers.
TEST_F(PacketBalancerLateRoutes, AnOpeningIsNotGivenToABalancerThatDoesNotTakeIt)
{
    for (int i = 0; i < 30; ++i) {
        core.message(kOtherBalancer, balancer_hello{.domain = "nbi-west", .routesVersion = 6}, now, &actions);
        report();
        advance(milliseconds(100));
    }
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(receivers(), std::vector{kAgentA});
}

// Guards against a balancer that hears no other one and binds openings by replaced routes without end.
TEST_F(PacketBalancerLateRoutes, AnOpeningThatAnAgentRejectsAsReplacedGoesToTheHolderThatItNames)
{
    fromCaller(openingPacket());
    actions.clear();
    rejectAsReplaced(kOtherBalancer);
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer});
    EXPECT_EQ(core.routesWatchReason(now), watch_reason::replaced);
    actions.clear();
    core.applyRoutes(makeRoutes(6), now, &actions);
    fromCaller(openingWithSequence(700));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_NE(forwarded()[0].first, kOtherBalancer) << "newer routes are in force here";
}

// Guards against an opening that passes between a balancer and an agent without end.
TEST_F(PacketBalancerLateRoutes, AnOpeningIsPlacedAgainIfTheHolderHasNoNewerRoutes)
{
    fromCaller(openingPacket());
    core.applyRoutes(makeRoutes(6), now, &actions);
    actions.clear();
    rejectAsReplaced(kOtherBalancer);
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_NE(forwarded()[0].first, kOtherBalancer);
    EXPECT_EQ(forwarded()[0].second.routesVersion, 6U);
}

// Guards against a balancer that goes on without a watch of the store although an agent knows newer routes.
TEST_F(PacketBalancerLateRoutes, ABalancerWithReplacedRoutesWatchesTheStore)
{
    passTime(seconds(2));
    for (std::uint16_t i = 1; i <= 3; ++i)
        core.message({0x0A010030U + i, 7480},
                     balancer_hello{.domain = "nbi-west", .routesVersion = 5, .areRoutesConfirmed = true}, now,
                     &actions);
    EXPECT_EQ(core.routesWatchReason(now), watch_reason::replaced);
}

// Guards against an opening that is placed by the routes of the balancer that gave it away, and against a search for its
// owner there.
TEST_F(PacketBalancerLateRoutes, AnOpeningOfALateBalancerIsPlacedByTheRoutesHereAndItsOwnerIsPassedOn)
{
    receiveOpening(4);
    ASSERT_EQ(receivers(), std::vector{kAgentA});
    EXPECT_EQ(forwarded()[0].second.origin, kBalancer);
    EXPECT_EQ(messagesOf<flow_owner_list>(actions),
              (std::vector<std::pair<host_address, flow_owner_list>>{{kOtherBalancer, {}}}))
        << "the sender must learn that the opening has arrived";
    EXPECT_EQ(forwarded()[0].second.routesVersion, 5U);
    actions.clear();
    core.message(kAgentB, owner_notice{kFlow, {}}, now, &actions);
    core.message(kAgentB, owner_notice{kFlow, {}}, now, &actions);
    const auto owners = messagesOf<flow_owner_list>(actions);
    ASSERT_EQ(owners.size(), 1U) << "once";
    EXPECT_EQ(owners[0].first, kOtherBalancer);
    EXPECT_EQ(owners[0].second.entries, (std::vector<flow_owner_entry>{{kFlow, kAgentB}}));
}

// Guards against openings that pass between balancers without end.
TEST_F(PacketBalancerLateRoutes, AnOpeningOfABalancerWithTheSameRoutesIsDropped)
{
    receiveOpening(5);
    EXPECT_TRUE(forwarded().empty());
    EXPECT_EQ(logged("dropped forwarded packet"), 1U);
}

// Guards against a flow on an added route that opens through another balancer and whose packets are then dropped here.
TEST_F(PacketBalancerLateRoutes, PacketsOfAFlowOnARouteThatIsMissingHereGoToItsOwner)
{
    auto without = std::make_shared<route_set>(*makeRoutes(6));
    without->routes.clear();
    core.applyRoutes(without, now, &actions);
    for (int i = 0; i < 20; ++i) {
        hearNewerRoutes(7);
        report();
        advance(milliseconds(100));
    }
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(receivers(), std::vector{kOtherBalancer});
    core.message(kOtherBalancer, flow_owner_list{.entries = {{kFlow, kAgentB}}}, now, &actions);
    actions.clear();
    fromCaller(callerPacket(5, "GET"));
    EXPECT_EQ(receivers(), std::vector{kAgentB});
    EXPECT_EQ(resets(), 0U);
}
