#include "citroncrank/edge_core.h"

#include <utility>

namespace citroncrank {

flow_id edge_core::openFlow(const caller_flow_settings &settings, time_point now)
{
    const flow_id flow{m_edge, ++m_counter};
    const auto inserted =
        m_flows.emplace(flow, std::make_unique<caller_flow>(flow, m_edge, settings, m_permit, now)).first;
    collectActions(inserted->second.get());
    return flow;
}

void edge_core::onCallerBytes(const flow_id &flow, std::string_view bytes, time_point now)
{
    if (auto *found = findMutable(flow)) {
        found->onCallerBytes(bytes, now);
        collectActions(found);
    }
}

void edge_core::onCallerEnd(const flow_id &flow, time_point now)
{
    if (auto *found = findMutable(flow)) {
        found->onCallerEnd(now);
        collectActions(found);
    }
}

void edge_core::onCallerReset(const flow_id &flow, time_point now)
{
    if (auto *found = findMutable(flow)) {
        found->onCallerReset(now);
        collectActions(found);
    }
}

void edge_core::onCallerConsumed(const flow_id &flow, std::uint64_t bytes, time_point now)
{
    if (auto *found = findMutable(flow)) {
        found->onCallerConsumed(bytes, now);
        collectActions(found);
    }
}

void edge_core::onFrame(const frame &value, time_point now)
{
    if (value.edge != m_edge)
        return;
    if (auto *found = findMutable(value.flow)) {
        found->onFrame(value, now);
        collectActions(found);
        return;
    }
    answerUnknownFlow(value);
}

// Frames for an ended flow are answered, so that agents release reservations and flows whose end they did not receive.
void edge_core::answerUnknownFlow(const frame &value)
{
    frame answer{.service = value.service,
                 .flow = value.flow,
                 .edge = m_edge,
                 .direction = frame_direction::to_upstream,
                 .flowClass = value.flowClass,
                 .owner = value.owner,
                 .load = std::nullopt,
                 .body = reset_body{reset_reason::unknown_flow, 0}};
    if (const auto *offer = std::get_if<offer_body>(&value.body))
        answer.body = cancel_body{offer->offer};
    else if (std::holds_alternative<queued_body>(value.body))
        answer.body = cancel_body{0};
    else if (!std::holds_alternative<data_body>(value.body) && !std::holds_alternative<ack_body>(value.body))
        return;
    m_actions.push_back({value.flow, send_frame_action{std::move(answer), false}});
}

void edge_core::onTick(time_point now)
{
    for (const auto &flow : m_deadlines.takeDue(now)) {
        if (auto *found = findMutable(flow)) {
            found->onTick(now);
            collectActions(found);
        }
    }
}

void edge_core::collectActions(caller_flow *flow)
{
    const flow_id id = flow->id();
    for (auto &action : flow->takeActions())
        m_actions.push_back({id, std::move(action)});
    m_deadlines.set(id, flow->nextDeadline());
    if (flow->currentState() == caller_flow::state::done)
        m_flows.erase(id);
}

std::vector<edge_action> edge_core::takeActions()
{
    return std::exchange(m_actions, {});
}

const caller_flow *edge_core::find(const flow_id &flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

caller_flow *edge_core::findMutable(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

} // namespace citroncrank
