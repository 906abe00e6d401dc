#include "citroncrank/edge_streams.h"

#include <array>
#include <utility>

namespace citroncrank {

const char *toString(flow_outcome outcome)
{
    static constexpr std::array<const char *, 4> kNames{"completed", "refused", "reset", "caller_reset"};
    return kNames[std::size_t(outcome)];
}

void edge_streams::setListener(const host_address &address, listener_settings settings)
{
    m_listeners[address] = std::move(settings);
}

void edge_streams::removeListener(const host_address &address)
{
    m_listeners.erase(address);
}

const flow_id *edge_streams::findFlow(stream_id stream) const
{
    const auto found = m_flowByStream.find(stream);
    return found == m_flowByStream.end() ? nullptr : &found->second;
}

void edge_streams::onAccepted(const stream_accepted &event, time_point now)
{
    const auto listener = m_listeners.find(event.listener);
    if (listener == m_listeners.end()) {
        m_commands.emplace_back(stream_close{event.stream, true});
        return;
    }
    const auto &settings = listener->second.flow;
    const flow_id flow = m_core.openFlow(settings, now);
    m_flowByStream.emplace(event.stream, flow);
    m_callers.emplace(flow, caller{event.stream, event.listener, settings.service, settings.flowClass, now, {}});
}

bool edge_streams::onEvent(const net_event &event, time_point now)
{
    if (const auto *accepted = std::get_if<stream_accepted>(&event)) {
        onAccepted(*accepted, now);
        runActions();
        return true;
    }
    const auto dispatch = [this, now](const auto &item, auto &&handle) {
        const flow_id *flow = findFlow(item.stream);
        if (flow == nullptr)
            return;
        const flow_id id = *flow;
        m_flowsToCheck.push_back(id);
        handle(id);
        runActions();
    };
    if (const auto *bytes = std::get_if<stream_bytes>(&event))
        dispatch(*bytes, [&](const flow_id &flow) { m_core.onCallerBytes(flow, bytes->bytes, now); });
    else if (const auto *ended = std::get_if<stream_ended>(&event))
        dispatch(*ended, [&](const flow_id &flow) { m_core.onCallerEnd(flow, now); });
    else if (const auto *consumed = std::get_if<stream_consumed>(&event))
        dispatch(*consumed, [&](const flow_id &flow) { m_core.onCallerConsumed(flow, consumed->bytes, now); });
    else if (const auto *reset = std::get_if<stream_reset>(&event))
        dispatch(*reset, [&](const flow_id &flow) {
            m_core.onCallerReset(flow, now);
            end(flow, flow_outcome::caller_reset, reset_reason::caller_gone);
        });
    else
        return false;
    return true;
}

void edge_streams::onFrame(const frame &value, time_point now)
{
    m_flowsToCheck.push_back(value.flow);
    m_core.onFrame(value, now);
    runActions();
}

void edge_streams::onTick(time_point now)
{
    m_core.onTick(now);
    runActions();
}

struct edge_streams::action_handler
{
    edge_streams &edge;
    const flow_id &flow;
    const caller *target;

    void operator()(send_frame_action &action) const { edge.m_frames.push_back(std::move(action)); }
    void operator()(const read_caller_action &action) const
    {
        if (target != nullptr)
            edge.m_commands.emplace_back(stream_read{target->stream, action.maxBytes});
    }
    void operator()(deliver_action &action) const
    {
        if (target != nullptr)
            edge.m_commands.emplace_back(stream_write{target->stream, std::move(action.bytes)});
    }
    void operator()(const finish_action &) const
    {
        if (target != nullptr)
            edge.m_commands.emplace_back(stream_finish{target->stream});
    }
    void operator()(const refuse_action &action) const
    {
        if (target == nullptr)
            return;
        const auto listener = edge.m_listeners.find(target->listener);
        if (listener != edge.m_listeners.end() && !listener->second.notRunReply.empty())
            edge.m_commands.emplace_back(stream_write{target->stream, listener->second.notRunReply});
        edge.m_commands.emplace_back(stream_close{target->stream, false});
        edge.end(flow, flow_outcome::refused, action.reason);
    }
    void operator()(const reset_caller_action &action) const
    {
        if (target == nullptr)
            return;
        edge.m_commands.emplace_back(stream_close{target->stream, true});
        edge.end(flow, flow_outcome::reset, action.reason);
    }
};

void edge_streams::runActions()
{
    for (auto &[flow, action] : m_core.takeActions()) {
        const auto found = m_callers.find(flow);
        const caller *target = found == m_callers.end() ? nullptr : &found->second;
        const flow_id id = flow;
        std::visit(action_handler{*this, id, target}, action);
    }
    closeEndedFlows();
}

// A flow that is no longer in the core and was neither refused nor reset has completed.
void edge_streams::closeEndedFlows()
{
    for (const auto &flow : std::exchange(m_flowsToCheck, {})) {
        const auto found = m_callers.find(flow);
        if (found == m_callers.end())
            continue;
        const auto *core = m_core.find(flow);
        if (core != nullptr) {
            if (!found->second.boundAt)
                found->second.boundAt = core->boundAt();
            continue;
        }
        m_commands.emplace_back(stream_close{found->second.stream, false});
        end(flow, flow_outcome::completed, std::monostate());
    }
}

void edge_streams::end(const flow_id &flow, flow_outcome outcome,
                       std::variant<std::monostate, refusal_reason, reset_reason> reason)
{
    const auto found = m_callers.find(flow);
    if (found == m_callers.end())
        return;
    const caller &ended = found->second;
    const duration timeToBind = ended.boundAt ? *ended.boundAt - ended.openedAt : duration(0);
    m_ended.push_back({flow, ended.service, ended.flowClass, outcome, reason, timeToBind});
    m_flowByStream.erase(ended.stream);
    m_callers.erase(found);
}

std::vector<send_frame_action> edge_streams::takeFrames()
{
    return std::exchange(m_frames, {});
}

std::vector<net_command> edge_streams::takeCommands()
{
    return std::exchange(m_commands, {});
}

std::vector<flow_ended> edge_streams::takeEnded()
{
    return std::exchange(m_ended, {});
}

} // namespace citroncrank
