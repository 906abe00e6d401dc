#include "packet_balancer_fixture_test.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

const std::string kWest = "nbi-west";
const std::string kEast = "nbi-east";
constexpr evacuation_version kFirst{1, 10};

/// A balancer of a deployment with evacuations. Agents A and B are in its failure domain, C and D in another one.
class PacketBalancerEvacuations : public ::testing::Test
{
public:
    PacketBalancerEvacuations()
    {
        core.applyListing({{kAgentA, true, kService, kWest},
                           {kAgentB, true, kService, kWest},
                           {kAgentC, true, kService, kEast},
                           {kAgentD, true, kService, kEast},
                           {kOtherBalancer, false, {}, kWest}},
                          now, &actions);
        reportAll();
    }

    /// Puts routes and an empty set of evacuations in force.
    void serve()
    {
        core.applyRoutes(makeRoutes(5), now, &actions);
        core.storeListedEvacuations({{1, 1}, {}}, now, now, &actions);
        now += seconds(5);
        core.advance(now, &actions);
        reportAll({1, 1});
        actions.clear();
    }

    void report(const host_address &agent, const std::string &domain, const evacuation_version &version = {})
    {
        agent_report sent = makeReport(++number);
        sent.domain = domain;
        sent.evacuations = version;
        core.message(agent, sent, now, &actions);
    }

    void reportAll(const evacuation_version &version = {})
    {
        report(kAgentA, kWest, version);
        report(kAgentB, kWest, version);
        report(kAgentC, kEast, version);
        report(kAgentD, kEast, version);
    }

    void evacuate(std::vector<std::string> domains, const evacuation_version &version = kFirst)
    {
        actions.clear();
        core.storeListedEvacuations({version, std::move(domains)}, now, now, &actions);
    }

    void open(std::uint16_t port = kCaller.port, std::uint32_t copy = 0)
    {
        actions.clear();
        packet_header header = openingPacket(copy).header;
        header.source.port = port;
        core.callerPacket(makePacket(header), now, &actions);
    }

    std::vector<host_address> placed() const
    {
        std::vector<host_address> result;
        for (const auto &[to, message] : messagesOf<forwarded_packet>(actions)) {
            result.push_back(to);
            result.insert(result.end(), message.alternates.begin(), message.alternates.end());
        }
        return result;
    }

    std::size_t resets() const { return actionsOf<reset_flow>(actions).size(); }

    std::vector<host_address> greeted() const
    {
        std::vector<host_address> result;
        for (const auto &[to, hello] : messagesOf<balancer_hello>(actions)) {
            if (hello.evacuations)
                result.push_back(to);
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    std::optional<balancer_hello> confirmation() const
    {
        for (const auto &[to, hello] : messagesOf<balancer_hello>(actions)) {
            if (to == kOtherBalancer && hello.areEvacuationsConfirmed)
                return hello;
        }
        return std::nullopt;
    }

    static packet_balancer_settings settings()
    {
        return {.self = kBalancer,
                .domain = kWest,
                .flowLifetime = seconds(60),
                .evacuationsWatch = routes_watch_settings{.watchers = 1, .confirmationTimeout = milliseconds(3333)}};
    }

    balancer_hello helloWith(const evacuation_set &set, bool isConfirmed = false, const std::string &domain = kEast)
    {
        return {.domain = domain, .routesVersion = 5, .evacuations = set, .areEvacuationsConfirmed = isConfirmed};
    }

    time_point now{};
    std::uint64_t number = 0;
    packet_balancer core{settings(), decodeTestHeader, now};
    packet_actions actions;
};

} // namespace

// Guards against new flows in an evacuated failure domain, as the first choice or an alternate, and against a domain that
// stays out of use after the evacuation.
TEST_F(PacketBalancerEvacuations, NoNewFlowIsPlacedInAnEvacuatedDomain)
{
    serve();
    evacuate({kWest});
    for (std::uint16_t port = 100; port < 140; ++port) {
        open(port);
        ASSERT_FALSE(placed().empty());
        for (const host_address &agent : placed())
            EXPECT_TRUE(agent == kAgentC || agent == kAgentD);
    }
    evacuate({}, {1, 20});
    reportAll({1, 20});
    open(200);
    EXPECT_TRUE(placed().front() == kAgentA || placed().front() == kAgentB);
}

// Guards against a trial of a failing upstream in an evacuated failure domain.
TEST_F(PacketBalancerEvacuations, NoTrialInAnEvacuatedDomain)
{
    serve();
    agent_report failing = makeReport(++number);
    failing.isFailing = true;
    failing.isTrialDue = true;
    core.message(kAgentA, failing, now, &actions);
    evacuate({kWest});
    for (std::uint16_t port = 100; port < 110; ++port) {
        open(port);
        const auto agents = placed();
        EXPECT_EQ(std::count(agents.begin(), agents.end(), kAgentA), 0);
    }
}

// Guards against callers that wait for a time-out when every failure domain is evacuated, also during the start.
TEST_F(PacketBalancerEvacuations, CallersAreResetAtOnceWhenAllDomainsAreEvacuated)
{
    core.applyRoutes(makeRoutes(5), now, &actions);
    evacuate({kEast, kWest});
    now += milliseconds(300);
    core.advance(now, &actions);
    open();
    EXPECT_EQ(resets(), 1U);
    EXPECT_TRUE(placed().empty());
    evacuate({kEast}, {1, 11});
    open(300);
    EXPECT_EQ(resets(), 0U);
    EXPECT_FALSE(placed().empty());
}

// Guards against a flow that opens at two upstreams since its copy is placed anew while the first answer is on the way.
TEST_F(PacketBalancerEvacuations, ACopyGoesToTheAgentThatKnowsWhetherTheFlowIsOpen)
{
    serve();
    open();
    const host_address first = placed().front();
    ASSERT_TRUE(first == kAgentA || first == kAgentB);
    evacuate({kWest});
    open(kCaller.port, 1);
    EXPECT_EQ(placed(), std::vector{first}) << "without alternates";
    // The agent refuses it, as the flow has not opened there.
    actions.clear();
    core.message(first, rejection_notice{rejection_reason::evacuated, forward_purpose::open, openingPacket(1).bytes},
                 now, &actions);
    ASSERT_FALSE(placed().empty());
    EXPECT_TRUE(placed().front() == kAgentC || placed().front() == kAgentD);
    EXPECT_EQ(resets(), 0U);
}

// Guards against flows of an evacuated failure domain that lose their upstream.
TEST_F(PacketBalancerEvacuations, PacketsOfOpenFlowsStillReachTheirAgent)
{
    serve();
    open();
    const host_address owner = placed().front();
    core.message(owner, owner_notice{kFlow, {}}, now, &actions);
    evacuate({kWest});
    actions.clear();
    core.callerPacket(callerPacket(7, "request"), now, &actions);
    EXPECT_EQ(placed(), std::vector{owner});
    EXPECT_EQ(resets(), 0U);
}

// Guards against agents that learn of an evacuation only from the next periodic hello, and against a lost hello.
TEST_F(PacketBalancerEvacuations, AgentsHearOfAChangeAtOnceAndAgainUntilTheyReportIt)
{
    serve();
    now += seconds(2);
    evacuate({kEast});
    EXPECT_EQ(greeted(), (std::vector{kAgentA, kAgentB, kAgentC, kAgentD}));
    actions.clear();
    now += milliseconds(200);
    reportAll({1, 1});
    EXPECT_TRUE(greeted().empty()) << "told within the last second";
    now += milliseconds(900);
    report(kAgentA, kWest, kFirst);
    report(kAgentC, kEast, {1, 1});
    EXPECT_EQ(greeted(), std::vector{kAgentC}) << "the other one applies the set";
}

// Guards against a change that only the watching balancers know, and against a set that is passed on as confirmed although
// the answer was for another one.
TEST_F(PacketBalancerEvacuations, AWatcherConfirmsToItsFailureDomain)
{
    core.message(kOtherBalancer, balancer_hello{.domain = kWest, .routesVersion = 5}, now, &actions);
    serve();
    evacuate({kEast});
    ASSERT_TRUE(confirmation());
    EXPECT_EQ(confirmation()->evacuations, (evacuation_set{kFirst, {kEast}}));
    core.message(kOtherBalancer, helloWith({{1, 30}, {kWest}}), now, &actions);
    evacuate({kEast}, {1, 10});
    EXPECT_FALSE(confirmation()) << "a later set is in force here";
    EXPECT_TRUE(core.evacuations().isEvacuated(kWest));
}

// Guards against one watcher for each balancer: a confirmation from the own failure domain ends the watch, one from
// another domain does not.
TEST_F(PacketBalancerEvacuations, ConfirmationsOfTheOwnDomainCount)
{
    serve();
    const evacuation_set none{{1, 1}, {}};
    std::size_t balancersThatEndTheWatch = 0;
    for (std::uint32_t i = 0; i < 40 && core.watchesEvacuations(now); ++i) {
        core.message({0x0A020000 + i, 7480}, helloWith(none, true, kEast), now, &actions);
        ASSERT_TRUE(core.watchesEvacuations(now));
        core.message({0x0A010100 + i, 7480}, helloWith(none, true, kWest), now, &actions);
        ++balancersThatEndTheWatch;
    }
    EXPECT_FALSE(core.watchesEvacuations(now));
    EXPECT_GE(balancersThatEndTheWatch, 1U);
    now += milliseconds(3334);
    EXPECT_TRUE(core.watchesEvacuations(now));
}

// Guards against flows in an evacuated failure domain in the moment after a start, and against a balancer that never
// serves since neither the store nor another balancer tells what is evacuated.
TEST_F(PacketBalancerEvacuations, AStartingBalancerWaitsForTheEvacuationsForASecondAtMost)
{
    core.message(kOtherBalancer, balancer_hello{.domain = kWest, .routesVersion = 5}, now, &actions);
    core.applyRoutes(makeRoutes(5), now, &actions);
    open();
    EXPECT_TRUE(placed().empty());
    now += milliseconds(900);
    core.advance(now, &actions);
    reportAll();
    EXPECT_TRUE(placed().empty());
    EXPECT_FALSE(core.notReadyReasons(now).empty());
    now += milliseconds(100);
    actions.clear();
    core.advance(now, &actions);
    EXPECT_FALSE(placed().empty()) << "held since its arrival";
    EXPECT_TRUE(core.notReadyReasons(now).empty());
}

// Guards against a starting balancer that serves without what its neighbours know, while the store is away.
TEST_F(PacketBalancerEvacuations, AStartingBalancerLearnsTheEvacuationsFromAnother)
{
    core.applyRoutes(makeRoutes(5), now, &actions);
    open();
    actions.clear();
    core.message(kOtherBalancer, helloWith({kFirst, {kWest}}), now, &actions);
    ASSERT_FALSE(placed().empty());
    EXPECT_TRUE(placed().front() == kAgentC || placed().front() == kAgentD);
}

// Guards against evacuations that last although a restored store does not hold them.
TEST_F(PacketBalancerEvacuations, ARestoredStoreDecides)
{
    serve();
    evacuate({kWest}, {1, 500});
    evacuate({}, {2, 400});
    EXPECT_FALSE(core.evacuations().isEvacuated(kWest));
    core.message(kOtherBalancer, helloWith({{1, 500}, {kWest}}), now, &actions);
    EXPECT_FALSE(core.evacuations().isEvacuated(kWest)) << "a balancer that has not heard of the restore yet";
}

// Guards against a change of deployments without evacuations.
TEST_F(PacketBalancer, HellosNameNoEvacuationsWithoutTheSetting)
{
    core.message(kOtherBalancer, balancer_hello{.domain = kWest, .evacuations = evacuation_set{kFirst, {kWest}}}, now,
                 &actions);
    core.storeListedEvacuations({kFirst, {kWest}}, now, now, &actions);
    fromCaller(openingPacket());
    EXPECT_EQ(forwarded().size(), 1U);
    for (const auto &[to, hello] : messagesOf<balancer_hello>(actions))
        EXPECT_FALSE(hello.evacuations);
    EXPECT_FALSE(core.watchesEvacuations(now));
}

// Guards against a large fleet in which every balancer sends a hello to every agent after a change.
TEST_F(PacketBalancerEvacuations, AFewBalancersTellEachAgent)
{
    serve();
    for (std::uint32_t i = 0; i < 729; ++i)
        core.message({0x0A020000 + i, 7480}, balancer_hello{.domain = kEast, .routesVersion = 5}, now, &actions);
    std::vector<listed_node> agents;
    for (std::uint32_t i = 0; i < 3900; ++i)
        agents.push_back({{0x0A030000 + i, 7480}, true, kService, kEast});
    core.applyListing(agents, now, &actions);
    actions.clear();
    evacuate({kEast});
    // Eight of 730 balancers tell each agent, so one of them tells about 43.
    const auto targets = greeted();
    const auto told =
        std::count_if(targets.begin(), targets.end(), [](const host_address &to) { return to.ip >= 0x0A030000; });
    EXPECT_GT(told, 10);
    EXPECT_LT(told, 90);
    std::size_t largest = 0;
    for (const auto &[to, hello] : messagesOf<balancer_hello>(actions))
        largest = std::max(largest, encodeNodeMessage(hello).size());
    EXPECT_LT(largest, 250U) << "bytes of a hello without lists";
}

// Guards against agents of a cold upstream that do not learn the limit of their service.
TEST_F(PacketBalancerEvacuations, OpeningPacketsCarryTheColdRateOfTheService)
{
    serve();
    auto routes = std::make_shared<route_set>(*makeRoutes(6));
    routes->coldRatesMilli[kService] = 3500;
    core.applyRoutes(routes, now, &actions);
    open();
    ASSERT_EQ(messagesOf<forwarded_packet>(actions).size(), 1U);
    EXPECT_EQ(messagesOf<forwarded_packet>(actions).front().second.limits.coldRateMilli, 3500U);
}
