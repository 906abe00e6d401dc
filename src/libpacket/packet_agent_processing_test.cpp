#include "packet_agent_fixture_test.h"

#include <string>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

class AgentProcessing : public PacketAgent
{
public:
    AgentProcessing() { open(); }

    /// A request on the open flow, answered after `processing`.
    void request(duration processing, const std::string &status = "200")
    {
        const std::string data = "GET / HTTP/1.1\r\n\r\n";
        forward(callerPacket(m_answered, data, m_sent));
        m_sent += std::uint32_t(data.size());
        now += processing;
        const std::string answer = "HTTP/1.1 " + status + " x\r\n\r\n";
        fromUpstream(upstreamPacket(m_answered, answer));
        m_answered += std::uint32_t(answer.size());
    }

private:
    std::uint32_t m_sent = 101;
    std::uint32_t m_answered = kUpstreamInitialSequence + 1;
};

} // namespace

TEST_F(AgentProcessing, ReportsWhatItLearned)
{
    EXPECT_EQ(core.report(now).answers, 0U);
    for (int i = 0; i < 40; ++i)
        request(milliseconds(20));
    const agent_report report = core.report(now);
    EXPECT_NEAR(report.processingMicroseconds, 20'000, 1500);
    EXPECT_NEAR(report.processingMilliseconds, 20, 2) << "for balancers of earlier versions";
    EXPECT_GT(report.answers, 20U);
    EXPECT_EQ(report.waitMilliseconds, 0U);
}

// Guards against an upstream that gets more flows because it fails requests at once.
TEST_F(AgentProcessing, FailedAnswersAreNotFast)
{
    for (int i = 0; i < 40; ++i)
        request(milliseconds(20));
    const std::uint32_t before = core.report(now).processingMicroseconds;
    for (int i = 0; i < 20; ++i)
        request(milliseconds(1), "500");
    EXPECT_EQ(core.report(now).processingMicroseconds, before);
}

// Guards against the speed of an earlier start of the upstream.
TEST_F(AgentProcessing, NewStartForgets)
{
    for (int i = 0; i < 40; ++i)
        request(milliseconds(20));
    announce(1, false, 900'000);
    const agent_report report = core.report(now);
    EXPECT_EQ(report.answers, 0U);
    EXPECT_EQ(report.processingMicroseconds, 50'000U);
}

// Guards against a full upstream whose expected wait is not reported.
TEST_F(AgentProcessing, ReportsTheExpectedWait)
{
    fillSlots();
    ASSERT_EQ(core.competingRequests(now), 3U) << "with the one expected on the open flow";
    EXPECT_EQ(core.report(now).waitMilliseconds, 50U) << "two of them end before, at two slots";
}
