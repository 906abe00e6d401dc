#include "citroncrank/agent_core.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

constexpr flow_owner kSelf{11, 4, {1, 1}};
constexpr flow_id kFlow{1, 1};

time_point at(std::int64_t milliseconds)
{
    return time_point(duration(milliseconds * 1000));
}

template<typename body_type>
std::vector<body_type> sent(const std::vector<agent_action> &actions)
{
    std::vector<body_type> found;
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<agent_send>(&action)) {
            if (const auto *body = std::get_if<body_type>(&send->value.body))
                found.push_back(*body);
        }
    }
    return found;
}

template<typename wanted>
std::size_t countOf(const std::vector<agent_action> &actions)
{
    return std::size_t(std::count_if(actions.begin(), actions.end(),
                                     [](const auto &action) { return std::holds_alternative<wanted>(action); }));
}

class AgentCoreTest : public testing::Test
{
protected:
    AgentCoreTest() { m_agent.setServing(serving_state::ready, at(0)); }

    static agent_settings settings()
    {
        agent_settings result;
        result.service = "main";
        result.self = kSelf;
        return result;
    }
    void receive(frame_body body, std::int64_t when, const flow_id &flow = kFlow, const flow_owner &owner = kSelf,
                 const std::string &service = "main", edge_id edge = 1)
    {
        frame value{.service = service, .flow = flow, .edge = edge};
        if (!std::holds_alternative<open_body>(body))
            value.owner = owner;
        value.body = std::move(body);
        m_agent.onFrame(value, 1, at(when));
    }
    void open(std::int64_t when, const flow_id &flow = kFlow) { receive(open_body{}, when, flow); }
    static data_body firstBytes(offer_id offer) { return {offer, 0, "hello", true, 0, 70'000}; }

    agent_core m_agent{settings(),
                       admission_settings{.slots = 1, .connections = 2, .queueLimit = 4, .warmUp = duration(0)}};
};

// Guards against a memory leak: if the end of a queued reservation is not reported as a step, the agent process keeps
// its entry for the flow for ever. Each flow queued at several agents left one at every agent that did not bind it.
TEST_F(AgentCoreTest, CancelledReservationIsReported)
{
    open(0);
    open(0, {8, 8});
    m_agent.takeActions();
    receive(cancel_body{}, 1, {8, 8});
    const auto actions = m_agent.takeActions();
    const agent_action expected = flow_step_event{{8, 8}, flow_step::withdrawn, std::monostate()};
    EXPECT_NE(std::find(actions.begin(), actions.end(), expected), actions.end());
    EXPECT_FALSE(m_agent.holds({8, 8}));
}

// Guards against running a flow twice when a delayed duplicate of its bind arrives after the flow ended.
TEST_F(AgentCoreTest, BindsAnOfferOnce)
{
    open(0);
    receive(firstBytes(1), 1);
    m_agent.onUpstreamConnected(kFlow, at(2));
    EXPECT_EQ(countOf<upstream_connect>(m_agent.takeActions()), 1U);
    receive(reset_body{reset_reason::caller_gone, 1}, 3);
    m_agent.takeActions();
    receive(firstBytes(1), 4);
    const auto actions = m_agent.takeActions();
    EXPECT_EQ(countOf<upstream_connect>(actions), 0U);
    ASSERT_EQ(sent<reset_body>(actions).size(), 1U);
    EXPECT_EQ(sent<reset_body>(actions).front().reason, reset_reason::unknown_flow);
}

// Guards against running a flow after its fence was answered with "not delivered".
TEST_F(AgentCoreTest, FencedOfferIsNeverDelivered)
{
    open(0);
    receive(firstBytes(1), 1);
    receive(fence_body{1}, 2);
    m_agent.onUpstreamConnected(kFlow, at(3));
    receive(firstBytes(1), 4);
    const auto actions = m_agent.takeActions();
    ASSERT_EQ(sent<fenced_body>(actions).size(), 1U);
    EXPECT_FALSE(sent<fenced_body>(actions).front().delivered);
    EXPECT_EQ(countOf<upstream_write>(actions), 0U);
    ASSERT_EQ(sent<refused_body>(actions).size(), 1U);
    EXPECT_EQ(sent<refused_body>(actions).front().reason, refusal_reason::offer_withdrawn);
}

// Guards against answering "not delivered" for a flow whose bytes the upstream received.
TEST_F(AgentCoreTest, DeliveredFlowAnswersAFenceWithDelivered)
{
    open(0);
    receive(firstBytes(1), 1);
    m_agent.onUpstreamConnected(kFlow, at(2));
    receive(fence_body{1}, 3);
    const auto answers = sent<fenced_body>(m_agent.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(answers.front().delivered);
    EXPECT_EQ(m_agent.boundFlows(), 1U);
}

// Guards against answering "not delivered" for a session whose upstream sends first: the caller may already have
// received its greeting.
TEST_F(AgentCoreTest, GreetedFlowAnswersAFenceWithDelivered)
{
    open(0);
    receive(data_body{1, 0, {}, false, 0, 70'000}, 1);
    m_agent.onUpstreamConnected(kFlow, at(2));
    m_agent.onUpstreamBytes(kFlow, "220 ready", at(3));
    receive(fence_body{1}, 4);
    const auto answers = sent<fenced_body>(m_agent.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(answers.front().delivered);
}

// Guards against accepting a bind that a paused agent reads from its socket after the offer has expired.
TEST_F(AgentCoreTest, BindAfterTheOfferTimeoutIsRefusedEvenBeforeTheTimerRuns)
{
    open(0);
    m_agent.takeActions();
    receive(firstBytes(1), 5'000);
    const auto actions = m_agent.takeActions();
    EXPECT_EQ(countOf<upstream_connect>(actions), 0U);
    ASSERT_FALSE(sent<refused_body>(actions).empty());
    EXPECT_EQ(sent<refused_body>(actions).back().reason, refusal_reason::offer_withdrawn);
}

// Guards against accepting bytes for another service or an earlier incarnation after an address was reused.
TEST_F(AgentCoreTest, DropsAndCountsForeignFrames)
{
    open(0);
    receive(firstBytes(1), 1, kFlow, kSelf, "other");
    receive(firstBytes(1), 1, kFlow, {kSelf.agent, kSelf.incarnation - 1, kSelf.address});
    receive(firstBytes(1), 1, kFlow, {99, kSelf.incarnation, kSelf.address});
    EXPECT_EQ(countOf<upstream_connect>(m_agent.takeActions()), 0U);
    EXPECT_EQ(m_agent.counters().serviceMismatches, 1U);
    EXPECT_EQ(m_agent.counters().incarnationMismatches, 2U);
}

// Guards against one edge acting on the flow of another edge with the same flow id.
TEST_F(AgentCoreTest, SecondEdgeWithTheSameFlowIdIsRefused)
{
    open(0);
    m_agent.takeActions();
    receive(open_body{.kind = flow_kind::session}, 1, kFlow, kSelf, "main", 2);
    EXPECT_EQ(sent<refused_body>(m_agent.takeActions()).size(), 1U);
    EXPECT_EQ(m_agent.flows().size(), 1U);
    EXPECT_EQ(m_agent.flows().front().edge, 1U);
}

// Guards against new flows at a draining agent, and against a drain that interrupts bound flows.
TEST_F(AgentCoreTest, DrainRefusesNewAndQueuedFlowsAndKeepsBoundOnes)
{
    open(0);
    receive(firstBytes(1), 1);
    open(2, {1, 2});
    m_agent.takeActions();
    m_agent.setServing(serving_state::draining, at(3));
    open(4, {1, 3});
    const auto refusals = sent<refused_body>(m_agent.takeActions());
    ASSERT_EQ(refusals.size(), 2U);
    EXPECT_EQ(refusals[0].reason, refusal_reason::draining);
    EXPECT_EQ(refusals[1].reason, refusal_reason::draining);
    EXPECT_EQ(m_agent.boundFlows(), 1U);
}

// Guards against stopping while an edge may bind an offer or still need a reply.
TEST_F(AgentCoreTest, IsIdleOnlyAfterTheLastOfferAndTheLinger)
{
    open(0);
    m_agent.setServing(serving_state::draining, at(1));
    EXPECT_FALSE(m_agent.idle(at(2)));
    receive(cancel_body{1}, 10);
    EXPECT_FALSE(m_agent.idle(at(500)));
    open(900, {1, 2});
    EXPECT_TRUE(m_agent.idle(at(1'010)));
}

} // namespace
} // namespace citroncrank
