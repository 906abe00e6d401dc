#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// Agent A is failing and waits for a trial, agent B serves. A second route carries requests that may be repeated.
class BalancerTrials : public PacketBalancer
{
public:
    BalancerTrials()
    {
        useRoutes(true);
        agent_report failing = makeReport(++number);
        failing.isFailing = true;
        failing.isTrialDue = true;
        core.message(kAgentA, failing, now, &actions);
    }

    void useRoutes(bool hasIdempotent)
    {
        auto routes = std::make_shared<route_set>(*makeRoutes(++version));
        routes->routes[kIdempotentAddress] = {
            .name = "r2", .address = kIdempotentAddress, .targets = {{kService, 1}}, .isIdempotent = hasIdempotent};
        core.applyRoutes(routes, now, &actions);
    }

    /// First agent of a new flow, and whether it is a trial.
    std::pair<host_address, bool> open(const host_address &service)
    {
        actions.clear();
        packet_header header = openingPacket().header;
        header.source.port = ++port;
        header.destination = service;
        fromCaller(makePacket(header));
        const auto sent = forwarded();
        EXPECT_EQ(sent.size(), 1U);
        return {sent.at(0).first, sent.at(0).second.isTrial};
    }

    static constexpr host_address kIdempotentAddress{0xC6120001, 444};
    std::uint64_t version = 5;
    std::uint16_t port = 1000;
};

} // namespace

// Guards against a failing upstream that all balancers take for a serving one while a trial is due, and against trials
// with requests that must not be repeated (fleetbench run mwangaza-returns-grown sick-servers.toml: 107 requests lost in 2 s).
TEST_F(BalancerTrials, OneRequestThatMayBeRepeatedIsTheTrial)
{
    EXPECT_EQ(open(kServiceAddress), (std::pair{kAgentB, false}));
    EXPECT_EQ(open(kIdempotentAddress), (std::pair{kAgentA, true}));
    EXPECT_EQ(forwarded().at(0).second.alternates, std::vector{kAgentB});
    EXPECT_EQ(open(kIdempotentAddress), (std::pair{kAgentB, false})) << "a second one before the next report";
}

// Guards against an upstream that stays out for good because no request of its service may be repeated.
TEST_F(BalancerTrials, WithoutSuchRequestsAnyOtherIs)
{
    useRoutes(false);
    EXPECT_EQ(open(kServiceAddress), (std::pair{kAgentA, true}));
}

// Guards against trials that are counted as such while all upstreams fail and each of them has to serve.
TEST_F(BalancerTrials, NoTrialsWhileAllAreFailing)
{
    agent_report failing = makeReport(++number);
    failing.isFailing = true;
    core.message(kAgentB, failing, now, &actions);
    EXPECT_FALSE(open(kIdempotentAddress).second);
}
