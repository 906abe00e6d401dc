#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// Opens flows of callers of their own and answers their requests.
class FailingUpstream : public PacketAgent
{
public:
    /// Opens a flow at the agent, or at an alternate. Returns whether this agent took it.
    bool openOn(std::uint16_t port, std::vector<host_address> alternates = {}, bool isTrial = false)
    {
        packet_header header = openingPacket().header;
        header.source.port = port;
        forward(makePacket(header), forward_purpose::open, std::move(alternates), kService, isTrial);
        return delivered() > 0;
    }

    void answerOpening(std::uint16_t port)
    {
        packet_header header = upstreamPacket(kUpstreamInitialSequence, {}, true).header;
        header.destination.port = port;
        fromUpstream(makePacket(header));
    }

    void request(std::uint16_t port)
    {
        packet_header header = callerPacket(kUpstreamInitialSequence + 1).header;
        header.source.port = port;
        forward(makePacket(header, "GET / HTTP/1.1\r\n\r\n"));
    }

    void serve(std::uint16_t port, const std::string &answer)
    {
        openOn(port);
        answerOpening(port);
        request(port);
        packet_header header = upstreamPacket(kUpstreamInitialSequence + 1).header;
        header.destination.port = port;
        fromUpstream(makePacket(header, answer));
        now += milliseconds(20);
    }

    void makeFailing()
    {
        for (std::uint16_t port = 100; port < 104; ++port)
            serve(port, "HTTP/1.1 500 Internal Server Error\r\n");
    }
};

} // namespace

// Guards against flows that go to an upstream which fails its requests while it announces itself as ready, although
// others could serve them (srv_grey, srv_lying_health).
TEST_F(FailingUpstream, NewFlowsArePassedOn)
{
    makeFailing();
    now += milliseconds(200);
    EXPECT_FALSE(openOn(1, {kAgentB}));
    EXPECT_TRUE(openOn(1, {kAgentB}, true));
    EXPECT_FALSE(openOn(2, {kAgentB}, true)) << "one trial at a time";
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions)[0].first, kAgentB);
    EXPECT_TRUE(core.report(now).isFailing);
    now += milliseconds(200);
    EXPECT_TRUE(core.report(now).isFailing);
    EXPECT_TRUE(core.report(now).isTrialDue) << "balancers send a trial";
    EXPECT_FALSE(openOn(3, {kAgentB})) << "of a caller that may not repeat its request";
    EXPECT_TRUE(openOn(3, {kAgentB}, true));
}

// Guards against a service that is refused because all its upstreams are failing.
TEST_F(FailingUpstream, TheLastUpstreamKeepsItsFlows)
{
    makeFailing();
    for (std::uint16_t port = 1; port <= 5; ++port)
        EXPECT_TRUE(openOn(port)) << port;
}

// Guards against an upstream that stays out after it has recovered.
TEST_F(FailingUpstream, AnsweredTrialsBringItBack)
{
    makeFailing();
    for (std::uint16_t port = 1; port <= 5; ++port) {
        EXPECT_TRUE(core.report(now).isFailing);
        now += milliseconds(200);
        serve(port, "HTTP/1.1 200 OK\r\n");
    }
    EXPECT_FALSE(core.report(now).isFailing);
    EXPECT_TRUE(openOn(10, {kAgentB}));
}

// Guards against flows that are sent to an upstream which answers no opening packet (srv_grey, how = mute).
TEST_F(FailingUpstream, UnansweredOpeningsCount)
{
    for (std::uint16_t port = 1; port <= 3; ++port)
        openOn(port);
    now += milliseconds(350);
    core.advance(now, &actions);
    openOn(4, {kAgentB});
    EXPECT_FALSE(openOn(5, {kAgentB}));
}

// Guards against requests that hang at an upstream which opens flows but answers none (srv_grey, how = hang).
TEST_F(FailingUpstream, UnansweredRequestsCount)
{
    for (std::uint16_t port = 1; port <= 3; ++port) {
        openOn(port);
        answerOpening(port);
        request(port);
    }
    now += milliseconds(1100);
    core.advance(now, &actions);
    openOn(4, {kAgentB});
    EXPECT_FALSE(openOn(5, {kAgentB}));
}

// Guards against an upstream that is blamed for resets with which it ends idle flows.
TEST_F(FailingUpstream, ResetsCountWhileARequestIsAtWorkOnly)
{
    const auto resetFlow = [&](std::uint16_t port) {
        packet_header header = upstreamPacket(kUpstreamInitialSequence + 1).header;
        header.destination.port = port;
        header.reset = true;
        fromUpstream(makePacket(header));
    };
    for (std::uint16_t port = 1; port <= 5; ++port) {
        serve(port, "HTTP/1.1 200 OK\r\n");
        resetFlow(port);
    }
    EXPECT_TRUE(openOn(20, {kAgentB}));
    answerOpening(20);
    resetFlow(20);
    for (std::uint16_t port = 21; port <= 23; ++port) {
        openOn(port);
        answerOpening(port);
        request(port);
        resetFlow(port);
    }
    openOn(24, {kAgentB});
    EXPECT_FALSE(openOn(25, {kAgentB}));
}

// Guards against a new start of the upstream that pays for the failures of the earlier one.
TEST_F(FailingUpstream, ARestartedUpstreamIsJudgedAnew)
{
    makeFailing();
    announce(1, false, 2000);
    EXPECT_TRUE(openOn(1, {kAgentB}));
    EXPECT_TRUE(openOn(2, {kAgentB}));
    EXPECT_FALSE(core.report(now).isFailing);
}
