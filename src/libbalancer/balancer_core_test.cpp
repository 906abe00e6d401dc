#include "citroncrank/balancer_core.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

constexpr hop_id kEdgeHop = 5;

member_record agentRecord(const std::string &name, std::uint32_t ip, serving_state serving = serving_state::ready)
{
    return {.name = name,
            .role = node_role::agent,
            .incarnation = 1,
            .address = {ip, 9000},
            .service = "main",
            .serving = serving,
            .slots = 2,
            .connections = 10};
}

frame openFrame(std::vector<node_id> tried = {})
{
    frame value{.service = "main", .flow = {1, 1}, .edge = 7};
    value.body = open_body{flow_kind::request, duration(0), 0, std::move(tried)};
    return value;
}

class BalancerCoreTest : public testing::Test
{
public:
    void useTable(const std::vector<member_record> &records) { core.setTable(upstream_table::build(records, 1)); }
    template<typename wanted>
    std::vector<wanted> take()
    {
        std::vector<wanted> found;
        for (const auto &action : core.takeActions()) {
            if (const auto *each = std::get_if<wanted>(&action))
                found.push_back(*each);
        }
        return found;
    }

    balancer_core core{balancer_settings{}};
};

// Guards against forwarding frames of a bound flow to another agent because the table is stale or empty.
TEST_F(BalancerCoreTest, BoundFramesGoToTheOwnerInTheFrameRegardlessOfTheTable)
{
    useTable({agentRecord("other", 2)});
    frame value{.service = "main", .flow = {1, 1}, .edge = 7, .owner = {99, 4, {8, 9000}}};
    value.body = data_body{1, 0, "x", false, 0, 0};
    core.onFrame(value, kEdgeHop, time_point());
    const auto forwards = take<forward_to_agent>();
    ASSERT_EQ(forwards.size(), 1U);
    EXPECT_EQ(forwards.front().target, (host_address{8, 9000}));
    EXPECT_EQ(forwards.front().value, value);
}

// Guards against sending an open to an agent that already refused it, or that is known to be draining.
TEST_F(BalancerCoreTest, OpensAvoidTriedAndDrainingAgents)
{
    useTable({agentRecord("a", 1), agentRecord("b", 2, serving_state::draining), agentRecord("c", 3)});
    core.onFrame(openFrame({nodeIdFromName("a")}), kEdgeHop, time_point());
    const auto forwards = take<forward_to_agent>();
    ASSERT_EQ(forwards.size(), 1U);
    EXPECT_EQ(forwards.front().target.ip, 3U);
}

// Guards against dropping an open without a candidate: the edge must get a refusal, so that it can retry elsewhere.
TEST_F(BalancerCoreTest, OpenWithoutCandidateIsAnsweredToItsEdge)
{
    core.onFrame(openFrame(), kEdgeHop, time_point());
    const auto replies = take<forward_to_hop>();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front().hop, kEdgeHop);
    EXPECT_EQ(std::get<refused_body>(replies.front().value.body).reason, refusal_reason::no_upstream);
    EXPECT_EQ(replies.front().value.direction, frame_direction::to_caller);
}

// Guards against sending responses over a closed hop or to another edge.
TEST_F(BalancerCoreTest, ResponsesFollowTheEdgesCurrentHop)
{
    useTable({agentRecord("a", 1)});
    core.onFrame(openFrame(), kEdgeHop, time_point());
    core.onFrame(openFrame(), kEdgeHop + 1, time_point());
    core.takeActions();
    frame response{.service = "main", .flow = {1, 1}, .edge = 7, .direction = frame_direction::to_caller};
    response.body = offer_body{1};
    core.onFrame(response, 90, time_point());
    const auto forwards = take<forward_to_hop>();
    ASSERT_EQ(forwards.size(), 1U);
    EXPECT_EQ(forwards.front().hop, kEdgeHop + 1);
    core.onHopClosed(kEdgeHop + 1);
    core.onFrame(response, 90, time_point());
    EXPECT_TRUE(take<forward_to_hop>().empty());
    EXPECT_EQ(core.counters().unknownEdge, 1U);
}

// Guards against selecting an agent for a frame that is not an open and names no owner.
TEST_F(BalancerCoreTest, FramesWithoutOwnerAreDroppedAndCounted)
{
    useTable({agentRecord("a", 1)});
    frame value{.service = "main", .flow = {1, 1}, .edge = 7};
    value.body = data_body{1, 0, "x", false, 0, 0};
    core.onFrame(value, kEdgeHop, time_point());
    EXPECT_TRUE(take<forward_to_agent>().empty());
    EXPECT_EQ(core.counters().misdirected, 1U);
}

} // namespace
} // namespace citroncrank
