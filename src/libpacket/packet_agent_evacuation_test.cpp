#include "packet_agent_fixture_test.h"

#include <algorithm>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

const std::string kOwnDomain = "nbi-west";

class PacketAgentEvacuation : public PacketAgent
{
public:
    void hear(const evacuation_version &version, std::vector<std::string> domains)
    {
        actions.clear();
        core.message(kBalancer,
                     balancer_hello{.domain = kOwnDomain, .evacuations = evacuation_set{version, std::move(domains)}},
                     now, &actions);
    }

    std::vector<host_address> passedTo() const
    {
        std::vector<host_address> result;
        for (const auto &[to, message] : messagesOf<forwarded_packet>(actions))
            result.push_back(to);
        return result;
    }
};

/// An agent with a limit of openings while its upstream is cold.
class PacketAgentColdLimit : public PacketAgent
{
public:
    PacketAgentColdLimit()
    {
        // Another start of the agent might have delivered openings in the last second.
        now += seconds(10);
        announceCold(1, seconds(20));
    }

    void announceCold(std::uint64_t number, duration remaining)
    {
        cold.announce({.id = "i-1",
                       .service = kService,
                       .address = kUpstream,
                       .version = "v1",
                       .slots = 200,
                       .coldRemaining = remaining,
                       .number = number,
                       .startedAtMs = 1000},
                      now, &actions);
    }

    /// Whether the opening packet reached the upstream.
    bool openFrom(std::uint16_t port, std::uint32_t rateMilli = 4000, std::vector<host_address> alternates = {},
                  std::uint32_t copy = 0)
    {
        actions.clear();
        packet_header header = openingPacket(copy).header;
        header.source.port = port;
        cold.message(kBalancer,
                     forwarded_packet{.purpose = forward_purpose::open,
                                      .service = kService,
                                      .origin = kBalancer,
                                      .alternates = std::move(alternates),
                                      .limits = {.coldRateMilli = rateMilli},
                                      .packetBytes = makePacket(header).bytes},
                     now, &actions);
        return delivered() == 1;
    }

    static packet_agent_settings settings()
    {
        return {.self = kAgentA,
                .service = kService,
                .domain = kOwnDomain,
                .incarnation = 1,
                .upstream = kUpstream,
                .announcementPeriod = milliseconds(770),
                .flowLifetime = seconds(60),
                .evacuationTime = seconds(5),
                .coldLimit = cold_opening_limit{.excessMilli = 1250, .slackMilli = 2000}};
    }

    packet_agent cold{settings(), decodeTestHeader, readTestHead, now};
};

constexpr std::size_t kColdLimit = 7; // 4 x 1.25 + 2

} // namespace

// Guards against new flows in an evacuated failure domain that an older or cut-off balancer sends, and against a refusal
// that outlasts the evacuation.
TEST_F(PacketAgentEvacuation, RefusesOpeningPacketsWhileItsDomainIsEvacuated)
{
    hear({1, 5}, {"nbi-east", kOwnDomain});
    EXPECT_EQ(core.report(now).evacuations, (evacuation_version{1, 5}));
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::evacuated});
    hear({1, 4}, {});
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U) << "an earlier set changes nothing";
    hear({1, 9}, {"nbi-east"});
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(delivered(), 1U);
    EXPECT_EQ(core.counts().openedEvacuated, 0U);
}

// Guards against a caller that is refused although an alternate in another failure domain would take its flow.
TEST_F(PacketAgentEvacuation, PassesOpeningPacketsOnToAlternates)
{
    hear({1, 5}, {kOwnDomain});
    forward(openingPacket(), forward_purpose::open, {kAgentB});
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(passedTo(), std::vector{kAgentB});
}

// Guards against a trial or a move of another agent that opens a flow in an evacuated failure domain.
TEST_F(PacketAgentEvacuation, RefusesTrialsAndSettledFlows)
{
    hear({1, 5}, {kOwnDomain});
    forward(openingPacket(), forward_purpose::open, {}, kService, true);
    EXPECT_EQ(delivered(), 0U);
    actions.clear();
    core.message(kAgentB,
                 forwarded_packet{.purpose = forward_purpose::open,
                                  .service = kService,
                                  .origin = kBalancer,
                                  .packetBytes = openingPacket().bytes,
                                  .isSettled = true},
                 now, &actions);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::evacuated});
}

// Guards against a copy that makes the upstream accept the flow, and against an open flow that is reset: a flow that was
// refused must not open through a late answer to its first opening packet.
TEST_F(PacketAgentEvacuation, RefusesACopyForAFlowThatHasNotOpenedAndDropsItsAnswer)
{
    forward(openingPacket(), forward_purpose::open);
    ASSERT_EQ(delivered(), 1U);
    hear({1, 5}, {kOwnDomain});
    forward(openingPacket(1), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::evacuated});
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    EXPECT_TRUE(actionsOf<send_to_caller>(actions).empty());
    EXPECT_EQ(core.busy(), 0U);
    hear({1, 6}, {});
    forward(openingPacket(2), forward_purpose::open);
    EXPECT_EQ(delivered(), 1U);
    fromUpstream(upstreamPacket(kUpstreamInitialSequence, {}, true));
    EXPECT_EQ(actionsOf<send_to_caller>(actions).size(), 1U) << "the flow may open after the evacuation";
}

// Guards against open flows that break with the evacuation, also those whose opening answer was lost.
TEST_F(PacketAgentEvacuation, OpenFlowsContinue)
{
    open();
    hear({1, 5}, {kOwnDomain});
    forward(callerPacket(kUpstreamInitialSequence + 1, "request"));
    EXPECT_EQ(delivered(), 1U);
    forward(openingPacket(1), forward_purpose::open);
    EXPECT_EQ(delivered(), 1U) << "only a copy makes the upstream repeat its opening answer";
    EXPECT_EQ(resets(), 0U);
    EXPECT_TRUE(rejections().empty());
    EXPECT_EQ(core.counts().openedEvacuated, 0U);
}

// Guards against a new flow that is taken for a copy, since its caller uses the key of an earlier flow again.
TEST_F(PacketAgentEvacuation, AKeyThatIsUsedAgainIsANewFlow)
{
    open();
    hear({1, 5}, {kOwnDomain});
    packet_header header = openingPacket().header;
    header.sequence += 70'000;
    forward(makePacket(header), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U);
    EXPECT_EQ(rejections(), std::vector{rejection_reason::evacuated});
    fromUpstream(upstreamPacket(kUpstreamInitialSequence + 1, "late"));
    EXPECT_TRUE(actionsOf<send_to_caller>(actions).empty()) << "the caller has given up the earlier flow";
}

// Guards against the hellos of an older balancer, which name no set, being taken for an empty set.
TEST_F(PacketAgentEvacuation, AHelloWithoutASetChangesNothing)
{
    hear({1, 5}, {kOwnDomain});
    core.message(kOtherBalancer, balancer_hello{.domain = kOwnDomain}, now, &actions);
    forward(openingPacket(), forward_purpose::open);
    EXPECT_EQ(delivered(), 0U);
}

// Guards against more openings at a cold upstream than its service bears, in any second and from any balancer.
TEST_F(PacketAgentColdLimit, NoSecondHasMoreOpeningsThanTheLimit)
{
    std::vector<time_point> opened;
    std::uint16_t port = 1;
    for (int i = 0; i < 1000; ++i, now += milliseconds(7)) {
        if (openFrom(++port))
            opened.push_back(now);
        else
            EXPECT_EQ(rejections(), std::vector{rejection_reason::cold});
    }
    EXPECT_GE(opened.size(), kColdLimit * 5) << "the limit is used";
    for (auto first = opened.begin(); first != opened.end(); ++first)
        EXPECT_LE(std::size_t(std::lower_bound(first, opened.end(), *first + seconds(1)) - first), kColdLimit);
    EXPECT_EQ(cold.counts().refusedCold, 1000 - opened.size());
}

// Guards against refusing a caller whose flow an alternate would take.
TEST_F(PacketAgentColdLimit, FurtherOpeningsGoToAnAlternate)
{
    std::uint16_t port = 1;
    while (openFrom(++port)) {
    }
    openFrom(++port, 4000, {kAgentB});
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_TRUE(rejections().empty());
}

// Guards against copies of opening packets that a cold upstream gets beyond the limit.
TEST_F(PacketAgentColdLimit, CopiesCount)
{
    std::size_t reached = 0;
    for (std::uint32_t copy = 0; copy < 20; ++copy)
        reached += openFrom(1, 4000, {}, copy) ? 1 : 0;
    EXPECT_EQ(reached, kColdLimit);
    EXPECT_TRUE(rejections().empty()) << "the first opening packet may still be answered";
}

// Guards against a limit without a rate of the service, and against one that outlasts the cold time.
TEST_F(PacketAgentColdLimit, HoldsOnlyWithARateAndWhileCold)
{
    std::size_t reached = 0;
    std::uint16_t port = 1;
    for (int i = 0; i < 30; ++i)
        reached += openFrom(++port, 0) ? 1 : 0;
    EXPECT_EQ(reached, 30U) << "0 or absent means no limit";
    EXPECT_FALSE(openFrom(++port));
    announceCold(2, duration(0));
    EXPECT_TRUE(openFrom(++port));
}

// Guards against twice the limit in one second across a restart of the agent.
TEST_F(PacketAgentColdLimit, ANewAgentOfAColdUpstreamWaitsUntilItKnowsTheLastSecond)
{
    packet_agent restarted{settings(), decodeTestHeader, readTestHead, now};
    std::swap(cold, restarted);
    announceCold(7, seconds(20));
    EXPECT_FALSE(openFrom(1));
    now += milliseconds(1200);
    EXPECT_TRUE(openFrom(2));
}

// Guards against evacuations in force at a host whose settings do not ask for them.
TEST_F(PacketAgentEvacuation, WithoutTheSettingEvacuationsAreIgnored)
{
    packet_agent plain({.self = kAgentA, .service = kService, .domain = kOwnDomain, .upstream = kUpstream},
                       decodeTestHeader, readTestHead, now);
    plain.message(kBalancer, balancer_hello{.evacuations = evacuation_set{{1, 5}, {kOwnDomain}}}, now, &actions);
    EXPECT_EQ(plain.report(now).evacuations, evacuation_version{});
}

// Guards against an unlimited opening at a cold upstream because another one returned the packet.
TEST_F(PacketAgentEvacuation, AReturnedOpeningKeepsItsLimits)
{
    core.message(kBalancer,
                 forwarded_packet{.purpose = forward_purpose::open,
                                  .service = kService,
                                  .origin = kBalancer,
                                  .alternates = {kAgentB},
                                  .limits = {.timeoutMs = 1500, .coldRateMilli = 4000},
                                  .packetBytes = openingPacket().bytes},
                 now, &actions);
    ASSERT_EQ(delivered(), 1U);
    packet_header returned = openingPacket().header;
    returned.returned = true;
    fromUpstream(makePacket(returned));
    const auto passed = messagesOf<forwarded_packet>(actions);
    ASSERT_EQ(passed.size(), 1U);
    EXPECT_EQ(passed.front().second.limits, (request_limits{.timeoutMs = 1500, .coldRateMilli = 4000}));
}
