#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

constexpr std::uint64_t kStart = 1000;

class LeavingUpstream : public PacketAgent
{
public:
    announcement_result leave(std::optional<std::uint64_t> startedAtMs, const std::string &id = "i-1")
    {
        return core.leave({.id = id, .startedAtMs = startedAtMs}, now, &actions);
    }

    /// Lets time pass, with an announcement each period if `announces`. Returns the number of resets.
    std::size_t pass(duration time, bool announces)
    {
        std::size_t sent = 0;
        for (const time_point end = now + time; now < end; now += kAgentTick) {
            if (announces && now >= m_nextAnnouncement) {
                announce(m_number++, false, kStart);
                m_nextAnnouncement = now + milliseconds(770);
            }
            actions.clear();
            core.advance(now, &actions);
            sent += resets();
        }
        return sent;
    }

private:
    std::uint64_t m_number = 3;
    time_point m_nextAnnouncement{};
};

} // namespace

// Guards against a delay of the resets when the notice names the start that announces itself.
TEST_F(LeavingUpstream, ANoticeOfTheLivingStartEndsItsFlowsPromptly)
{
    open();
    EXPECT_EQ(leave(kStart), announcement_result::accepted);
    EXPECT_EQ(core.state(), agent_state::left);
    EXPECT_FALSE(core.isLeavePending());
    EXPECT_EQ(pass(milliseconds(350), false), 1U);
}

// Guards against a late notice of an earlier start with the same id, which ended all flows of the living one.
TEST_F(LeavingUpstream, ANoticeOfAnEarlierStartEndsNoFlow)
{
    open();
    EXPECT_EQ(leave(kStart - 500), announcement_result::earlier_start);
    EXPECT_EQ(core.state(), agent_state::ready);
    EXPECT_EQ(pass(seconds(5), true), 0U);
}

// The same, when the notice does not name its start: the living start announces itself again.
TEST_F(LeavingUpstream, ANoticeWithoutAStartEndsNoFlowOfAnUpstreamThatAnnouncesItself)
{
    open();
    EXPECT_EQ(leave(std::nullopt), announcement_result::accepted);
    EXPECT_TRUE(core.takeProbeRequest(now));
    EXPECT_EQ(core.state(), agent_state::ready);
    EXPECT_EQ(pass(seconds(5), true), 0U);
    EXPECT_FALSE(core.isLeavePending());
    EXPECT_FALSE(core.takeProbeRequest(now));
    core.recordUpstreamAbsent(now, &actions);
    EXPECT_EQ(core.state(), agent_state::ready) << "the notice has been refuted";
}

// A frozen upstream does not announce itself, but its address still accepts connections.
TEST_F(LeavingUpstream, ANoticeWithoutAStartEndsNoFlowWhileTheAddressListens)
{
    open();
    leave(std::nullopt);
    EXPECT_EQ(pass(seconds(20), false), 0U);
    EXPECT_EQ(core.state(), agent_state::silent);
}

TEST_F(LeavingUpstream, ANoticeWithoutAStartEndsTheFlowsOnceNothingListens)
{
    open();
    leave(std::nullopt);
    EXPECT_EQ(pass(milliseconds(150), false), 0U);
    EXPECT_TRUE(core.takeProbeRequest(now));
    core.recordUpstreamAbsent(now, &actions);
    EXPECT_EQ(core.state(), agent_state::left);
    EXPECT_EQ(pass(milliseconds(200), false), 1U) << "within the grace period that follows the notice";
}

// Guards against probes that fill the queue of a frozen upstream.
TEST_F(LeavingUpstream, ProbesBecomeRarer)
{
    leave(std::nullopt);
    int probes = 0;
    for (int tick = 0; tick < 200; ++tick, now += kAgentTick)
        probes += core.takeProbeRequest(now) ? 1 : 0;
    EXPECT_GE(probes, 5);
    EXPECT_LE(probes, 16) << "in 10 s";
}

// Guards against ending the flows that a restarted agent learned from its living upstream, by late messages of an
// earlier start: its announcement and its notice, with and without its start.
TEST_F(LeavingUpstream, ALateNoticeAfterARestartEndsNoFlow)
{
    for (const std::optional<std::uint64_t> startedAtMs :
         {std::optional<std::uint64_t>(500), std::optional<std::uint64_t>()}) {
        core = packet_agent({.self = kAgentA,
                             .service = kService,
                             .upstream = kUpstream,
                             .announcementPeriod = milliseconds(770),
                             .flowLifetime = seconds(60)},
                            decodeTestHeader, readTestHead, now);
        forward(callerPacket(kUpstreamInitialSequence + 1, "GET"), forward_purpose::probe);
        fromUpstream(upstreamPacket(kUpstreamInitialSequence + 1, "HTTP/1.1 200 OK\r\n"));
        announce(1, false, 500, seconds(9));
        leave(startedAtMs);
        EXPECT_EQ(pass(milliseconds(700), false), 0U);
        EXPECT_EQ(pass(seconds(5), true), 0U);
        EXPECT_EQ(core.state(), agent_state::ready);
    }
}

TEST_F(LeavingUpstream, ANoticeOfAnotherUpstreamIsRefused)
{
    EXPECT_EQ(leave(std::nullopt, "i-9"), announcement_result::foreign);
    EXPECT_FALSE(core.isLeavePending());
}
