#include "packet_agent_fixture_test.h"

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

/// Opens flows of different callers and answers their requests.
class FailingUpstream : public PacketAgent
{
public:
    /// Sends the opening packet of a flow to the agent. Returns whether the agent delivered it to its upstream.
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

// Guards against sending new flows to an upstream that fails its requests while announcing itself as ready, although
// others could serve them (srv_grey, srv_lying_health).
TEST_F(FailingUpstream, NewFlowsAreForwardedToAnAlternate)
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
    EXPECT_TRUE(core.report(now).isTrialDue) << "tells balancers to send a trial";
    EXPECT_FALSE(openOn(3, {kAgentB})) << "a caller that may not repeat its request gets no trial";
    EXPECT_TRUE(openOn(3, {kAgentB}, true));
}

// Guards against rejecting all flows of a service because all its upstreams are failing.
TEST_F(FailingUpstream, TheLastUpstreamKeepsItsFlows)
{
    makeFailing();
    for (std::uint16_t port = 1; port <= 5; ++port)
        EXPECT_TRUE(openOn(port)) << port;
}

// Guards against an upstream that gets no new flows after it has recovered.
TEST_F(FailingUpstream, AnsweredTrialsEndTheFailingState)
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

// Guards against sending flows to an upstream that answers no opening packets (srv_grey, how = mute).
TEST_F(FailingUpstream, UnansweredOpeningsCount)
{
    for (std::uint16_t port = 1; port <= 3; ++port)
        openOn(port);
    now += milliseconds(350);
    core.advance(now, &actions);
    openOn(4, {kAgentB});
    EXPECT_FALSE(openOn(5, {kAgentB}));
}

// Guards against sending flows to an upstream that opens flows but answers no requests (srv_grey, how = hang).
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

// Guards against counting resets that end idle flows as failures of the upstream.
TEST_F(FailingUpstream, ResetsCountOnlyWhileARequestIsInProgress)
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

// Guards against counting failures of an earlier start against a restarted upstream.
TEST_F(FailingUpstream, ARestartClearsEarlierFailures)
{
    makeFailing();
    announce(1, false, 2000);
    EXPECT_TRUE(openOn(1, {kAgentB}));
    EXPECT_TRUE(openOn(2, {kAgentB}));
    EXPECT_FALSE(core.report(now).isFailing);
}
