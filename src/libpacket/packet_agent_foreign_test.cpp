#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

// Guards against openings of this service that run at another one: its upstream has ended, and the agent goes on as ready for
// several periods.
TEST_F(PacketAgent, AnUpstreamOfAnotherServiceAtItsAddressShowsThatItsOwnHasEnded)
{
    EXPECT_EQ(announceOtherService(2000), announcement_result::foreign);
    EXPECT_EQ(core.state(), agent_state::silent);
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::not_serving});
    now += milliseconds(770);
    EXPECT_EQ(announce(3), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::ready) << "its own upstream is running";
}

// The same for an agent that has just started and has not heard its own upstream.
TEST_F(PacketAgent, AnUnconfirmedUpstreamHasEndedIfAnotherServiceAnnouncesItself)
{
    restart();
    EXPECT_EQ(announceOtherService(2000), announcement_result::foreign);
    EXPECT_EQ(core.state(), agent_state::silent);
}

// Guards against an upstream that gets no flows because of an announcement that was held up until its sender had ended.
TEST_F(PacketAgent, ALateAnnouncementOfAnotherServiceChangesNothing)
{
    EXPECT_EQ(announceOtherService(900), announcement_result::foreign);
    EXPECT_EQ(core.state(), agent_state::ready);
}
