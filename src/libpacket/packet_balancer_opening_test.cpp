#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

agent_report makeReportOf(const std::string &service, std::uint64_t number)
{
    agent_report report = makeReport(number);
    report.service = service;
    return report;
}

/// A balancer whose route names kService, with agents of it and of kOtherService.
class PacketBalancerChangedRoutes : public PacketBalancer
{
public:
    PacketBalancerChangedRoutes()
    {
        core.applyListing({{kAgentA, true, kService, "nbi-west"}, {kAgentC, true, kOtherService, "nbi-west"}}, now,
                          &actions);
        reportAll();
        actions.clear();
    }

    void reportAll()
    {
        ++number;
        core.message(kAgentA, makeReport(number), now, &actions);
        core.message(kAgentC, makeReportOf(kOtherService, number), now, &actions);
    }

    /// The route goes to kOtherService from now on.
    void changeRoute() { core.applyRoutes(makeRoutes(6, kOtherService), now, &actions); }

    void passTime(seconds time)
    {
        for (seconds passed(0); passed < time; passed += seconds(1)) {
            advance(seconds(1));
            reportAll();
            core.advance(now, &actions);
        }
        actions.clear();
    }

    void reject(rejection_reason reason, const packet &rejected)
    {
        core.message(kAgentA, rejection_notice{reason, forward_purpose::open, rejected.bytes}, now, &actions);
    }
};

} // namespace

// Guards against an opening that goes to the service of an older version because its caller uses a port again.
TEST_F(PacketBalancerChangedRoutes, AnOpeningWithTheKeyOfAnEarlierFlowIsBoundByTheRoutesInForce)
{
    fromCaller(openingPacket());
    fromCaller(callerPacket(5));
    changeRoute();
    passTime(seconds(8));
    fromCaller(openingWithSequence(700));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentC);
    EXPECT_EQ(forwarded()[0].second.service, kOtherService);
}

// The same after a flow whose end the balancer has seen.
TEST_F(PacketBalancerChangedRoutes, AnOpeningAfterAFinishedFlowIsBoundByTheRoutesInForce)
{
    fromCaller(openingPacket());
    packet last = callerPacket(5);
    last.header.finish = true;
    fromCaller(makePacket(last.header));
    changeRoute();
    passTime(seconds(2));
    fromCaller(openingWithSequence(700));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentC);
}

// Guards against copies that open a flow at the service of an older version because the balancer has sent the first packet
// there: the agent takes them only if its upstream has got that packet.
TEST_F(PacketBalancerChangedRoutes, ACopyAfterAChangeNamesTheServiceInForce)
{
    fromCaller(openingPacket());
    changeRoute();
    actions.clear();
    for (std::uint32_t copy = 1; copy <= 2; ++copy) {
        advance(milliseconds(300));
        fromCaller(openingPacket(copy));
    }
    ASSERT_EQ(forwarded().size(), 2U);
    for (const auto &[agent, message] : forwarded()) {
        EXPECT_EQ(agent, kAgentA);
        EXPECT_EQ(message.service, kOtherService);
    }
}

// Guards against an opening that is moved to a further agent of the service that an older version named.
TEST_F(PacketBalancerChangedRoutes, ARejectedOpeningIsPlacedByTheRoutesInForce)
{
    for (const auto reason : {rejection_reason::wrong_service, rejection_reason::full}) {
        const packet opening = openingWithSequence(900 + std::uint32_t(reason));
        core.applyRoutes(makeRoutes(core.routesVersion() + 1), now, &actions);
        fromCaller(opening);
        core.applyRoutes(makeRoutes(core.routesVersion() + 1, kOtherService), now, &actions);
        actions.clear();
        reject(reason, opening);
        ASSERT_EQ(forwarded().size(), 1U) << toString(reason);
        EXPECT_EQ(forwarded()[0].first, kAgentC) << toString(reason);
        EXPECT_EQ(forwarded()[0].second.service, kOtherService) << toString(reason);
    }
}

// Guards against an opening that is moved to a further agent although its route has been removed meanwhile.
TEST_F(PacketBalancerChangedRoutes, ARejectedOpeningWithoutARouteIsReset)
{
    fromCaller(openingPacket());
    auto without = std::make_shared<route_set>();
    without->version = 6;
    core.applyRoutes(without, now, &actions);
    actions.clear();
    reject(rejection_reason::full, openingPacket());
    EXPECT_TRUE(forwarded().empty());
    EXPECT_EQ(resets(), 1U);
}

// Guards against resets of open flows: packets other than openings go to the owner whatever the routes name.
TEST_F(PacketBalancerChangedRoutes, AnOpenFlowKeepsItsOwnerAndService)
{
    fromCaller(openingPacket());
    fromCaller(callerPacket(5));
    changeRoute();
    fromCaller(openingPacket(2));
    actions.clear();
    fromCaller(callerPacket(6));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
    EXPECT_EQ(forwarded()[0].second.service, kService);
}

// Guards against resets of an open flow by a late rejection of a copy.
TEST_F(PacketBalancerChangedRoutes, ARejectedCopyOfAnOpenFlowChangesNothing)
{
    fromCaller(openingPacket());
    fromCaller(callerPacket(5));
    changeRoute();
    fromCaller(openingPacket(1));
    actions.clear();
    reject(rejection_reason::wrong_service, openingPacket(1));
    EXPECT_TRUE(forwarded().empty());
    EXPECT_EQ(resets(), 0U);
    fromCaller(callerPacket(6));
    ASSERT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(forwarded()[0].first, kAgentA);
}
