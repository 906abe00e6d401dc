#include "packet_balancer_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

class PacketBalancerAdmission : public PacketBalancer
{
public:
    static constexpr std::uint32_t kTimeoutMs = 3000;

    PacketBalancerAdmission()
    {
        auto routes = std::make_shared<route_set>(*makeRoutes(6));
        for (auto &[address, route] : routes->routes)
            route.timeout = milliseconds(kTimeoutMs);
        core.applyRoutes(routes, now, &actions);
        for (std::uint16_t port = 30'000; port < 30'040; ++port)
            fromCaller(openingOf(port)); // The budget of moves is a tenth of the openings.
        actions.clear();
    }

    void reportWait(const host_address &agent, std::uint32_t waitMs, agent_state state = agent_state::ready)
    {
        agent_report report = makeReport(++number, state);
        report.waitMilliseconds = waitMs;
        report.processingMilliseconds = 50;
        core.message(agent, report, now, &actions);
    }

    static packet openingOf(std::uint16_t port, std::uint32_t copy = 0)
    {
        packet_header header = openingPacket(copy).header;
        header.source.port = port;
        return makePacket(header);
    }

    /// The agent that has the opening refuses it. Returns the number of agents that it is sent to then.
    std::size_t refuse(const packet &opening, rejection_reason reason = rejection_reason::no_time)
    {
        const host_address agent = forwarded().back().first;
        actions.clear();
        core.message(agent, rejection_notice{reason, forward_purpose::open, opening.bytes}, now, &actions);
        return forwarded().size();
    }

    std::uint64_t refused(refusal_cause cause) const { return core.refusals()[std::size_t(cause)]; }
};

} // namespace

// Guards against openings that cross the network although each agent of the service would refuse them.
TEST_F(PacketBalancerAdmission, RefusesWithoutSendingWhenNoAgentCanAnswerInTime)
{
    reportWait(kAgentA, 2 * kTimeoutMs);
    reportWait(kAgentB, 2 * kTimeoutMs);
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_TRUE(forwarded().empty());
    EXPECT_EQ(resets(), 1U);
    EXPECT_EQ(refused(refusal_cause::no_time), 1U);
}

// Guards against a refusal of what one agent can still serve.
TEST_F(PacketBalancerAdmission, OneAgentWithTimeIsEnough)
{
    reportWait(kAgentA, 2 * kTimeoutMs);
    reportWait(kAgentB, 100);
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(forwarded().size(), 1U);
    EXPECT_EQ(resets(), 0U);
}

// Guards against a refusal on old reports, and on those of older agents, which do not tell their wait.
TEST_F(PacketBalancerAdmission, OldReportsAndUnknownAgentsRefuseNothing)
{
    reportWait(kAgentA, kTimeoutMs + 400);
    reportWait(kAgentB, kTimeoutMs + 400);
    advance(milliseconds(350));
    actions.clear();
    fromCaller(openingPacket());
    EXPECT_EQ(forwarded().size(), 1U) << "the upstreams have worked on since";
    reportWait(kAgentA, 2 * kTimeoutMs);
    reportWait(kAgentB, 0);
    actions.clear();
    fromCaller(openingOf(7));
    EXPECT_EQ(forwarded().size(), 1U);
    reportWait(kAgentB, 2 * kTimeoutMs, agent_state::unconfirmed);
    actions.clear();
    fromCaller(openingOf(8));
    EXPECT_EQ(forwarded().size(), 1U) << "an unconfirmed agent may have room";
}

// Guards against the refusal of a flow that an earlier copy of its opening packet has opened.
TEST_F(PacketBalancerAdmission, ACopyIsNotRefused)
{
    fromCaller(openingPacket());
    reportWait(kAgentA, 2 * kTimeoutMs);
    reportWait(kAgentB, 2 * kTimeoutMs);
    actions.clear();
    fromCaller(openingPacket(1));
    fromCaller(openingOf(9, 1));
    EXPECT_EQ(forwarded().size(), 2U) << "the first copy may have passed through another balancer";
    EXPECT_EQ(resets(), 0U);
}

// Guards against a balancer that sends each opening to agents that have just refused one of the same route.
TEST_F(PacketBalancerAdmission, ARefusalCountsForTheTimeOfOneAnswer)
{
    reportWait(kAgentA, 500);
    reportWait(kAgentB, 500);
    actions.clear();
    fromCaller(openingOf(7));
    EXPECT_EQ(refuse(openingOf(7)), 1U);
    EXPECT_EQ(refuse(openingOf(7)), 0U);
    actions.clear();
    fromCaller(openingOf(8));
    EXPECT_EQ(forwarded().size(), 0U);
    advance(milliseconds(60));
    fromCaller(openingOf(9));
    EXPECT_EQ(forwarded().size(), 1U) << "an upstream has answered a request since";
}

// Guards against repeats of our own that multiply an overload.
TEST_F(PacketBalancerAdmission, InOverloadOpeningsAreMovedWithinABudget)
{
    constexpr std::size_t kOpenings = 500;
    std::size_t moved = 0;
    std::size_t withAlternates = 0;
    for (std::uint16_t port = 1; port <= kOpenings; ++port) {
        advance(milliseconds(60));
        reportWait(kAgentA, 500);
        reportWait(kAgentB, 500);
        actions.clear();
        fromCaller(openingOf(port));
        ASSERT_EQ(forwarded().size(), 1U);
        withAlternates += forwarded()[0].second.alternates.empty() ? 0 : 1;
        moved += refuse(openingOf(port));
        if (!forwarded().empty())
            refuse(openingOf(port));
    }
    EXPECT_LE(moved, kOpenings / 10 + 10) << "and what calm times have saved";
    EXPECT_LE(withAlternates, 10U);
    EXPECT_GT(refused(refusal_cause::retry_budget), kOpenings / 2);
}

// Guards against a budget that applies to openings which a draining agent turns away.
TEST_F(PacketBalancerAdmission, OtherRefusalsMoveWithoutABudget)
{
    for (std::uint16_t port = 1; port <= 100; ++port) {
        actions.clear();
        fromCaller(openingOf(port));
        EXPECT_EQ(refuse(openingOf(port), rejection_reason::draining), 1U);
    }
    EXPECT_EQ(refused(refusal_cause::retry_budget), 0U);
}

// Guards against a reset of a flow whose first opening packet has opened it at an agent that the balancer has not heard
// of yet, when an agent refuses the copy.
TEST_F(PacketBalancerAdmission, ARefusedCopyResetsNothing)
{
    fromCaller(openingPacket());
    fromCaller(openingPacket(1));
    actions.clear();
    core.message(kAgentA, rejection_notice{rejection_reason::no_time, forward_purpose::open, openingPacket(1).bytes},
                 now, &actions);
    core.message(kAgentB, rejection_notice{rejection_reason::no_time, forward_purpose::open, openingPacket(1).bytes},
                 now, &actions);
    EXPECT_EQ(resets(), 0U);
    core.message(kAgentB, rejection_notice{rejection_reason::no_time, forward_purpose::open, openingPacket().bytes},
                 now, &actions);
    EXPECT_EQ(resets(), 1U) << "the first packet is refused truthfully";
}

// Guards against a reset of an open flow because a late copy of its opening packet is refused.
TEST_F(PacketBalancerAdmission, ALateCopyDoesNotMakeAnOpenFlowAnOpeningOne)
{
    fromCaller(openingPacket());
    core.message(forwarded().back().first, owner_notice{kFlow, {}}, now, &actions);
    fromCaller(callerPacket(77));
    fromCaller(openingPacket(1));
    actions.clear();
    for (const host_address &agent : {kAgentA, kAgentB})
        core.message(agent,
                     rejection_notice{rejection_reason::evacuated, forward_purpose::open, openingPacket(1).bytes}, now,
                     &actions);
    EXPECT_EQ(resets(), 0U);
}
