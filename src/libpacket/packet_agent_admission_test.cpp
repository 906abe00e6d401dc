#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

constexpr request_limits kLimits{.priority = 1, .latencyTargetMs = 300, .timeoutMs = 3000};

class PacketAgentAdmission : public PacketAgent
{
public:
    /// Offers the opening of a flow of another caller. Returns whether the upstream got it.
    bool offer(std::uint16_t port, std::uint32_t copy = 0, request_limits limits = kLimits)
    {
        actions.clear();
        packet_header header = openingPacket(copy).header;
        header.source.port = port;
        core.message(kBalancer,
                     forwarded_packet{.purpose = forward_purpose::open,
                                      .service = kService,
                                      .origin = kBalancer,
                                      .limits = limits,
                                      .packetBytes = makePacket(header).bytes},
                     now, &actions);
        return delivered() == 1;
    }

    /// Sends a request on the flow.
    void request(std::uint16_t port)
    {
        packet_header header = callerPacket(kUpstreamInitialSequence + 1).header;
        header.source.port = port;
        core.message(kBalancer,
                     forwarded_packet{.purpose = forward_purpose::to_owner,
                                      .service = kService,
                                      .origin = kBalancer,
                                      .limits = kLimits,
                                      .packetBytes = makePacket(header, "GET / HTTP/1.1\r\n\r\n").bytes},
                     now, &actions);
    }

    /// Offers flows, each with a request, at the same time. Returns the number of flows that the upstream got.
    std::size_t flood(std::uint16_t flows)
    {
        std::size_t opened = 0;
        for (std::uint16_t port = 1000; port < 1000 + flows; ++port) {
            if (!offer(port))
                continue;
            ++opened;
            request(port);
        }
        return opened;
    }
};

} // namespace

// Guards against openings that are taken although their requests can only wait until the callers give up.
TEST_F(PacketAgentAdmission, RefusesAtOnceWhatCannotBeAnsweredInTime)
{
    const std::size_t opened = flood(400);
    EXPECT_GT(opened, 2U);
    EXPECT_LT(opened, 100U);
    EXPECT_FALSE(offer(7));
    EXPECT_EQ(rejections(), std::vector{rejection_reason::no_time});
    EXPECT_EQ(resets(), 0U) << "the balancer may still find another agent";
    EXPECT_EQ(core.refusals()[std::size_t(refusal_cause::no_time)], 401 - opened);
}

// Guards against a refusal of a flow that has been opened: its caller may have used it.
TEST_F(PacketAgentAdmission, ACopyForAnOpenedFlowIsDelivered)
{
    ASSERT_TRUE(offer(7));
    flood(400);
    EXPECT_TRUE(offer(7, 1));
}

// Guards against refusals that go on after the overload.
TEST_F(PacketAgentAdmission, AdmitsAgainWhenTheLoadIsGone)
{
    flood(400);
    ASSERT_FALSE(offer(7));
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        core.advance(now, &actions);
        announce(std::uint64_t(i) + 3);
    }
    EXPECT_TRUE(offer(7));
}

// Guards against refusals where the route has no timeout, and so nothing shows that the caller gives up.
TEST_F(PacketAgentAdmission, RefusesNothingWithoutATimeout)
{
    flood(400);
    EXPECT_TRUE(offer(7, 0, {.priority = 1}));
}

// Guards against waits that the operator cannot see.
TEST_F(PacketAgentAdmission, ReportsEstimatedAndActualWaits)
{
    flood(4);
    const auto waits = core.takeWaits();
    const auto count = [&](wait_kind kind) {
        return std::count_if(waits.begin(), waits.end(),
                             [kind](const wait_observation &wait) { return wait.kind == kind && wait.priority == 1; });
    };
    EXPECT_EQ(count(wait_kind::estimated), 4);
    EXPECT_EQ(count(wait_kind::actual), 3) << "two slots and one request ready at the upstream";
    EXPECT_TRUE(core.takeWaits().empty());
}

// Guards against a refusal by an agent without room while the alternates that came with the opening are not asked.
TEST_F(PacketAgentAdmission, AlternatesAreAskedBeforeARefusal)
{
    flood(400);
    actions.clear();
    packet_header header = openingPacket().header;
    header.source.port = 7;
    core.message(kBalancer,
                 forwarded_packet{.purpose = forward_purpose::open,
                                  .service = kService,
                                  .origin = kBalancer,
                                  .alternates = {kAgentB},
                                  .limits = kLimits,
                                  .packetBytes = makePacket(header).bytes},
                 now, &actions);
    EXPECT_TRUE(rejections().empty());
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
}
