#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// An agent that balancers send openings of different versions of the routes.
class PacketAgentLateRoutes : public PacketAgent
{
public:
    void openBy(const host_address &balancer, std::uint64_t version, std::uint16_t callerPort,
                bool isNewestKnown = false)
    {
        packet_header header = openingPacket().header;
        header.source.port = callerPort;
        actions.clear();
        core.message(balancer,
                     forwarded_packet{.purpose = forward_purpose::open,
                                      .service = kService,
                                      .origin = balancer,
                                      .alternates = {},
                                      .packetBytes = makePacket(header).bytes,
                                      .routesVersion = version,
                                      .isNewestKnown = isNewestKnown},
                     now, &actions);
    }

    void hearHello(const host_address &balancer, std::uint64_t version)
    {
        core.message(balancer, balancer_hello{.domain = "a", .routesVersion = version, .takesOpenings = true}, now,
                     &actions);
    }

    void passTime(duration time)
    {
        for (duration passed(0); passed < time; passed += milliseconds(500)) {
            now += milliseconds(500);
            announce(++m_number);
        }
    }

private:
    std::uint64_t m_number = 2;
};

} // namespace

// Guards against an opening that runs at the service of an older version: a balancer that is late, for whatever cause, has
// bound it by routes that others replaced long ago.
TEST_F(PacketAgentLateRoutes, AnOpeningBoundByRoutesThatWereReplacedLongAgoIsHandedBack)
{
    openBy(kOtherBalancer, 6, 1);
    passTime(seconds(2));
    openBy(kBalancer, 5, 2);
    EXPECT_EQ(delivered(), 0U);
    const auto notices = messagesOf<rejection_notice>(actions);
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices[0].first, kBalancer);
    EXPECT_EQ(notices[0].second.reason, rejection_reason::replaced_routes);
    EXPECT_EQ(notices[0].second.newestRoutes, 6U);
    EXPECT_EQ(notices[0].second.newestHolder, kOtherBalancer);
    EXPECT_EQ(core.counts().replacedRoutes, 1U);
}

// The same if only hellos tell of the newer routes.
TEST_F(PacketAgentLateRoutes, AHelloTellsOfNewerRoutes)
{
    hearHello(kOtherBalancer, 6);
    passTime(seconds(2));
    openBy(kBalancer, 5, 1);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::replaced_routes});
}

// Guards against callers that wait at each change, while it spreads.
TEST_F(PacketAgentLateRoutes, AnOpeningRightAfterAChangeIsTaken)
{
    openBy(kOtherBalancer, 6, 1);
    passTime(seconds(1));
    openBy(kBalancer, 5, 2);
    EXPECT_EQ(delivered(), 1U);
}

// Guards against a fleet that stops serving because its newer routes are gone: all balancers were replaced, and the store
// came back from an older copy.
TEST_F(PacketAgentLateRoutes, AnOpeningOfABalancerThatCanReachNoNewerRoutesIsTaken)
{
    openBy(kOtherBalancer, 6, 1);
    passTime(seconds(2));
    openBy(kBalancer, 5, 2, true);
    EXPECT_EQ(delivered(), 1U);
}

// Guards against openings of balancers of the last software version, which tell no version of their routes.
TEST_F(PacketAgentLateRoutes, AnOpeningWithoutAVersionIsTaken)
{
    openBy(kOtherBalancer, 6, 1);
    passTime(seconds(2));
    openBy(kBalancer, 0, 2);
    EXPECT_EQ(delivered(), 1U);
}

// Guards against a flow that opens at two upstreams: a copy belongs to the flow that the first packet has opened here.
TEST_F(PacketAgentLateRoutes, ACopyIsTakenWhateverRoutesItWasBoundBy)
{
    openBy(kBalancer, 5, 1);
    openBy(kOtherBalancer, 6, 2);
    passTime(seconds(2));
    openBy(kBalancer, 5, 1);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(rejections().empty());
}
