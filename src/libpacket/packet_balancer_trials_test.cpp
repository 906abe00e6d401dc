#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// Agent A is failing and due for a trial, agent B is ready. A second route has requests that callers may retry.
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

// Guards against all balancers treating a failing upstream as ready while a trial is due, and against trials with
// requests that callers must not retry (fleetbench run mwangaza-returns-grown sick-servers.toml: 107 requests lost in
// 2 s).
TEST_F(BalancerTrials, UsesOneRetryableRequestAsTheTrial)
{
    EXPECT_EQ(open(kServiceAddress), (std::pair{kAgentB, false}));
    EXPECT_EQ(open(kIdempotentAddress), (std::pair{kAgentA, true}));
    EXPECT_EQ(forwarded().at(0).second.alternates, std::vector{kAgentB});
    EXPECT_EQ(open(kIdempotentAddress), (std::pair{kAgentB, false})) << "a second one before the next report";
}

// Guards against an upstream that is excluded permanently because its service has no requests that callers may retry.
TEST_F(BalancerTrials, UsesAnyRequestIfNoneIsRetryable)
{
    useRoutes(false);
    EXPECT_EQ(open(kServiceAddress), (std::pair{kAgentA, true}));
}

// Guards against marking flows as trials while all upstreams fail and all of them must serve.
TEST_F(BalancerTrials, NoTrialsWhileAllAreFailing)
{
    agent_report failing = makeReport(++number);
    failing.isFailing = true;
    core.message(kAgentB, failing, now, &actions);
    EXPECT_FALSE(open(kIdempotentAddress).second);
}
