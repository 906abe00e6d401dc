#include "citroncrank/caller_flow.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

using std::chrono::milliseconds;

constexpr flow_owner kFirst{11, 1, {1, 1}};
constexpr flow_owner kSecond{12, 1, {2, 1}};

time_point at(std::int64_t milliseconds)
{
    return time_point(duration(milliseconds * 1000));
}

template<typename wanted>
std::vector<wanted> only(const std::vector<caller_action> &actions)
{
    std::vector<wanted> found;
    for (const auto &action : actions) {
        if (const auto *each = std::get_if<wanted>(&action))
            found.push_back(*each);
    }
    return found;
}

template<typename body_type>
std::vector<frame> sent(const std::vector<caller_action> &actions)
{
    std::vector<frame> found;
    for (const auto &action : only<send_frame_action>(actions)) {
        if (std::holds_alternative<body_type>(action.value.body))
            found.push_back(action.value);
    }
    return found;
}

caller_flow_settings settings()
{
    caller_flow_settings result;
    result.service = "main";
    return result;
}

class CallerFlowTest : public testing::Test
{
public:
    void receive(const flow_owner &from, frame_body body, std::int64_t when)
    {
        frame value{.service = "main", .flow = {1, 1}, .edge = 1, .direction = frame_direction::to_caller};
        value.owner = from;
        value.body = std::move(body);
        caller.onFrame(value, at(when));
    }
    // Sends "hello" and its end to the first owner under offer 2.
    void bindFirst()
    {
        caller.onCallerBytes("hello", at(0));
        caller.onCallerEnd(at(0));
        receive(kFirst, offer_body{2}, 1);
        caller.takeActions();
    }

    caller_flow caller{{1, 1}, 1, settings(), nullptr, at(0)};
};

// Guards against sending caller bytes before exactly one owner is bound.
TEST_F(CallerFlowTest, SendsNoBytesBeforeAnOfferAndCancelsOtherOffers)
{
    caller.onCallerBytes("hello", at(0));
    EXPECT_TRUE(sent<data_body>(caller.takeActions()).empty());
    receive(kFirst, offer_body{2}, 1);
    const auto data = sent<data_body>(caller.takeActions());
    ASSERT_EQ(data.size(), 1U);
    EXPECT_EQ(data.front().owner, kFirst);
    receive(kSecond, offer_body{5}, 2);
    const auto cancels = sent<cancel_body>(caller.takeActions());
    ASSERT_EQ(cancels.size(), 1U);
    EXPECT_EQ(cancels.front().owner, kSecond);
}

// Guards against running a flow twice: a refusal carries no offer id, so it may answer an earlier open to the agent.
TEST_F(CallerFlowTest, RefusalAfterTheBindMovesTheFlowOnlyAfterTheFence)
{
    bindFirst();
    receive(kFirst, refused_body{refusal_reason::no_free_slot, milliseconds(0)}, 2);
    const auto actions = caller.takeActions();
    EXPECT_TRUE(sent<open_body>(actions).empty());
    ASSERT_EQ(sent<fence_body>(actions).size(), 1U);
    EXPECT_EQ(caller.currentState(), caller_flow::state::bound);
    receive(kFirst, fenced_body{2, false}, 3);
    EXPECT_EQ(sent<open_body>(caller.takeActions()).size(), 1U);
    EXPECT_EQ(caller.currentState(), caller_flow::state::opening);
}

// Guards against moving a flow on the answer to a fence of another offer, or on "delivered".
TEST_F(CallerFlowTest, StaysBoundOnForeignOrDeliveredFence)
{
    bindFirst();
    receive(kFirst, fenced_body{1, false}, 2);
    receive(kFirst, fenced_body{2, true}, 2);
    receive(kSecond, fenced_body{2, false}, 2);
    EXPECT_EQ(caller.currentState(), caller_flow::state::bound);
    EXPECT_EQ(caller.owner(), kFirst);
}

// Guards against reporting "not run" for a request that may have run: after silence since the bind the outcome is
// unknown.
TEST_F(CallerFlowTest, SilentOwnerEndsInAResetNotARefusal)
{
    bindFirst();
    for (std::int64_t when = 100; when < 20'000; when += 100)
        caller.onTick(at(when));
    const auto actions = caller.takeActions();
    EXPECT_TRUE(only<refuse_action>(actions).empty());
    EXPECT_EQ(only<reset_caller_action>(actions).size(), 1U);
    EXPECT_FALSE(sent<fence_body>(actions).empty());
}

// Guards against ending a truncated response as if it were complete, and against bytes out of order.
TEST_F(CallerFlowTest, FinishesOnlyAfterAllBytes)
{
    bindFirst();
    receive(kFirst, data_body{2, 3, "def", true, 5, 70'000}, 2);
    auto actions = caller.takeActions();
    EXPECT_TRUE(only<finish_action>(actions).empty());
    EXPECT_TRUE(only<deliver_action>(actions).empty());
    receive(kFirst, data_body{2, 0, "abc", false, 5, 70'000}, 3);
    actions = caller.takeActions();
    ASSERT_EQ(only<deliver_action>(actions).size(), 1U);
    EXPECT_EQ(only<deliver_action>(actions).front().bytes, "abcdef");
    EXPECT_EQ(only<finish_action>(actions).size(), 1U);
}

// Guards against a reset that discards response bytes the caller has not read yet.
TEST_F(CallerFlowTest, SilenceAfterTheWholeResponseEndsWithoutAReset)
{
    bindFirst();
    receive(kFirst, data_body{2, 0, "abc", true, 0, 70'000}, 2);
    caller.takeActions();
    for (std::int64_t when = 100; when < 40'000; when += 100)
        caller.onTick(at(when));
    EXPECT_TRUE(only<reset_caller_action>(caller.takeActions()).empty());
    EXPECT_EQ(caller.currentState(), caller_flow::state::done);
}

// Guards against refusing a caller during planned changes: one agent is draining, and the balancer that gets the next
// open has just started.
TEST_F(CallerFlowTest, NewBalancerWithoutATableDoesNotEndAFlowRefusedByADrainingAgent)
{
    receive(kFirst, refused_body{refusal_reason::draining, milliseconds(0)}, 1);
    receive({}, refused_body{refusal_reason::no_upstream, milliseconds(500)}, 2);
    auto actions = caller.takeActions();
    EXPECT_TRUE(only<refuse_action>(actions).empty());
    caller.onTick(at(300));
    EXPECT_EQ(sent<open_body>(caller.takeActions()).size(), 1U);
}

// Guards against slow refusals under overload: without another candidate the refusal of a busy agent is final.
TEST_F(CallerFlowTest, BusyAgentsAndNoOtherCandidateRefuseAtOnce)
{
    receive(kFirst, refused_body{refusal_reason::no_free_slot, milliseconds(40)}, 1);
    receive({}, refused_body{refusal_reason::no_upstream, milliseconds(500)}, 2);
    EXPECT_EQ(only<refuse_action>(caller.takeActions()).size(), 1U);
}

// Guards against callers that wait for an agent without limit: at the deadline an unbound flow is refused.
TEST_F(CallerFlowTest, RefusesAtTheDeadlineWhileUnbound)
{
    receive(kFirst, queued_body{3}, 1);
    for (std::int64_t when = 100; when <= 10'000; when += 100)
        caller.onTick(at(when));
    EXPECT_EQ(only<refuse_action>(caller.takeActions()).size(), 1U);
    EXPECT_EQ(caller.currentState(), caller_flow::state::done);
}

} // namespace
} // namespace citroncrank
