#include "citroncrank/agent_core.h"

#include <gtest/gtest.h>

namespace citroncrank {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr flow_id kFlow{1, 2};
constexpr edge_id kEdge = 1;

agent_settings settings(std::uint64_t incarnation)
{
    agent_settings result;
    result.service = "receipts";
    result.self = {5, incarnation, {0x7F000001, 9000}};
    return result;
}

admission_settings capacity()
{
    admission_settings result;
    result.slots = 1;
    result.warmUp = duration(0);
    return result;
}

frame fromEdge(frame_body body, std::uint64_t incarnation, const flow_id &flow = kFlow)
{
    frame value{.service = "receipts", .flow = flow, .edge = kEdge, .owner = {5, incarnation, {0x7F000001, 9000}}};
    value.body = std::move(body);
    return value;
}

template<typename body_type>
std::optional<body_type> sentBody(agent_core &core)
{
    for (const auto &action : core.takeActions()) {
        const auto *sent = std::get_if<agent_send>(&action);
        if (sent != nullptr && std::holds_alternative<body_type>(sent->value.body))
            return std::get<body_type>(sent->value.body);
    }
    return std::nullopt;
}

/// Returns a core with one bound, connected flow that has unacknowledged response bytes.
std::unique_ptr<agent_core> coreWithOpenFlow()
{
    auto core = std::make_unique<agent_core>(settings(7), capacity());
    core->setServing(serving_state::ready, kStart);
    core->onFrame(fromEdge(open_body{}, 7), 1, kStart);
    const auto offer = sentBody<offer_body>(*core);
    core->onFrame(fromEdge(data_body{offer->offer, 0, "request", true, 0, 65536}, 7), 1, kStart);
    core->onUpstreamConnected(kFlow, kStart);
    core->onUpstreamBytes(kFlow, "half of ", kStart);
    core->takeActions();
    return core;
}

// Guards against an in-place upgrade that loses unacknowledged bytes, the identity or the slot of a flow.
TEST(AgentState, RestoredFlowContinues)
{
    auto before = coreWithOpenFlow();
    const auto state = before->saveState(kStart);
    agent_core after(settings(8), capacity());
    ASSERT_TRUE(after.restoreState(state, kStart));
    EXPECT_EQ(after.boundFlows(), 1U);
    EXPECT_EQ(after.settings().self.incarnation, 7U);
    after.onUpstreamBytes(kFlow, "it", kStart);
    const auto fresh = sentBody<data_body>(after);
    ASSERT_TRUE(fresh);
    EXPECT_EQ(fresh->offset, 8U);
    after.onTick(kStart + std::chrono::seconds(1));
    const auto repeated = sentBody<data_body>(after);
    ASSERT_TRUE(repeated);
    EXPECT_EQ(repeated->bytes, "half of it");
    // The only slot is taken by the restored flow.
    after.onFrame(fromEdge(open_body{}, 7, {3, 4}), 1, kStart);
    EXPECT_TRUE(sentBody<queued_body>(after));
}

// Guards against running a flow, or reporting its outcome as unknown, when its bind refers to an offer made before the
// upgrade, which the new process does not have: the bind must be refused as withdrawn ("not run").
TEST(AgentState, OfferOfTheReplacedProcessIsWithdrawn)
{
    agent_core before(settings(7), capacity());
    before.setServing(serving_state::ready, kStart);
    before.onFrame(fromEdge(open_body{}, 7), 1, kStart);
    const auto offer = sentBody<offer_body>(before);
    const auto state = before.saveState(kStart);
    agent_core after(settings(8), capacity());
    ASSERT_TRUE(after.restoreState(state, kStart));
    after.onFrame(fromEdge(data_body{offer->offer, 0, "request", false, 0, 65536}, 7), 1, kStart);
    const auto refused = sentBody<refused_body>(after);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, refusal_reason::offer_withdrawn);
}

// Guards against a crash or a partly restored core if the state is truncated in transfer.
TEST(AgentState, TruncatedStateIsRejectedEntirely)
{
    const auto state = coreWithOpenFlow()->saveState(kStart);
    for (std::size_t size = 0; size < state.size(); size += 7) {
        agent_core after(settings(8), capacity());
        EXPECT_FALSE(after.restoreState(state.substr(0, size), kStart)) << size << " of " << state.size() << " bytes";
        EXPECT_EQ(after.boundFlows(), 0U);
    }
}

} // namespace
} // namespace citroncrank
