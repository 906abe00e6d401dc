#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against an opening of a caller that uses a port again and is taken for a copy, although the routes in force name
// another service.
TEST_F(PacketAgent, AnOpeningWithTheKeyOfAnEarlierFlowIsNoCopy)
{
    open();
    forward(openingWithSequence(700), forward_purpose::open, {}, kOtherService);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::wrong_service});
}

// Guards against the state of an earlier flow that is kept for a later one with the same key: its caller acknowledges other
// sequence numbers, so its packets would be rejected as those of another upstream's flow.
TEST_F(PacketAgent, AnOpeningWithTheKeyOfAnEarlierFlowOpensANewOne)
{
    constexpr std::uint32_t kLaterUpstreamSequence = kUpstreamInitialSequence + 1'000'000;
    open();
    forward(openingWithSequence(700), forward_purpose::open);
    EXPECT_EQ(delivered(), 1U);
    fromUpstream(upstreamPacket(kLaterUpstreamSequence, {}, true));
    forward(callerPacket(kLaterUpstreamSequence + 1, {}, 701));
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(rejections().empty());
}

// Guards against a flow that opens at two upstreams: the balancer names the service in force, and a copy belongs to the flow
// that the first packet has opened here.
TEST_F(PacketAgent, ACopyIsTakenWhateverServiceItNames)
{
    forward(openingPacket(), forward_purpose::open);
    forward(openingPacket(1), forward_purpose::open, {}, kOtherService);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_TRUE(rejections().empty());
}

// Guards against a copy that opens a flow at a service that is no longer in force, since the first packet was lost.
TEST_F(PacketAgent, ACopyOfAnUnknownOpeningIsBoundByItsService)
{
    forward(openingPacket(1), forward_purpose::open, {}, kOtherService);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::wrong_service});
}

// Guards against an opening that is taken for a copy by an agent that has restarted and does not know what opened the flow.
TEST_F(PacketAgent, AnOpeningOfAnotherServiceIsNotTakenForAFlowThatThisAgentDidNotOpen)
{
    fromUpstream(upstreamPacket(kUpstreamInitialSequence + 1, "answer"));
    forward(openingWithSequence(700), forward_purpose::open, {}, kOtherService);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::wrong_service});
}
