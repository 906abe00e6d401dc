#include "stream_simulation_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank::simulation {

void stream_simulation::startCaller()
{
    caller_record caller = makeCaller(&m_random, kEdges);
    caller_flow_settings settings;
    settings.service = caller.service;
    settings.kind = caller.kind;
    settings.deadline = duration(4'000'000);
    caller.flow = m_edges[caller.edge].core->openFlow(settings, m_clock.now());
    trace("caller opens flow=" + std::to_string(caller.flow.high) + "." + std::to_string(caller.flow.low));
    m_callers.push_back(std::move(caller));
    if (m_callers.back().abandonsFlow)
        m_clock.schedule(m_clock.now() + m_random.milliseconds(1, 2000),
                         [this, flow = m_callers.back().flow] { abandonFlow(flow); });
    processEdgeActions(m_callers.back().edge);
}

void stream_simulation::processEdgeActions(std::size_t index)
{
    auto &edge = m_edges[index];
    auto actions = edge.core->takeActions();
    for (auto &taken : actions)
        std::visit([&](const auto &each) { onEdgeAction(index, taken.flow, each); }, taken.action);
    const auto next = edge.core->nextDeadline();
    if (!next || *next >= edge.tickAt)
        return;
    edge.tickAt = *next;
    m_clock.schedule(*next, [this, index] {
        m_edges[index].tickAt = time_point::max();
        m_edges[index].core->onTick(m_clock.now());
        processEdgeActions(index);
    });
}

void stream_simulation::onEdgeAction(std::size_t index, const flow_id &, const send_frame_action &sent)
{
    edgeToBalancer(index, sent.value);
}

void stream_simulation::onEdgeAction(std::size_t index, const flow_id &flow, const read_caller_action &)
{
    auto *caller = findCaller(flow);
    m_clock.schedule(m_clock.now(), [this, index, caller, flow] {
        if (caller == nullptr)
            sendCallerBytes(findCaller(flow));
        else
            sendCallerBytes(caller);
    });
}

void stream_simulation::onEdgeAction(std::size_t index, const flow_id &flow, const deliver_action &delivered)
{
    auto *caller = findCaller(flow);
    caller->received += delivered.bytes;
    m_clock.schedule(m_clock.now(), [this, index, flow, size = delivered.bytes.size()] {
        m_edges[index].core->onCallerConsumed(flow, size, m_clock.now());
        processEdgeActions(index);
    });
}

void stream_simulation::onEdgeAction(std::size_t, const flow_id &flow, const refuse_action &refused)
{
    trace(std::string("caller is refused: ") + toString(refused.reason));
    endCaller(flow, caller_outcome::refused);
}

void stream_simulation::onEdgeAction(std::size_t, const flow_id &flow, const reset_caller_action &reset)
{
    trace(std::string("caller is reset: ") + toString(reset.reason));
    endCaller(flow, caller_outcome::reset);
}

void stream_simulation::endCaller(const flow_id &flow, caller_outcome outcome)
{
    auto *caller = findCaller(flow);
    // A second end after a complete response would discard bytes that the caller has not read yet, so it violates P3.
    if (caller->outcome != caller_outcome::open)
        recordViolation(guarantee::p3, "ended twice");
    caller->outcome = outcome;
}

void stream_simulation::abandonFlow(const flow_id &flow)
{
    auto *caller = findCaller(flow);
    if (caller->outcome != caller_outcome::open)
        return;
    caller->outcome = caller_outcome::gone;
    trace("caller resets its connection, flow=" + std::to_string(flow.high) + "." + std::to_string(flow.low));
    m_edges[caller->edge].core->onCallerReset(flow, m_clock.now());
    processEdgeActions(caller->edge);
}

void stream_simulation::sendCallerBytes(caller_record *caller)
{
    auto &core = *m_edges[caller->edge].core;
    if (caller->sentPieces < caller->pieces.size()) {
        const bool session = caller->kind == flow_kind::session;
        const duration pause = session ? m_random.milliseconds(200, 1500) : m_random.milliseconds(0, 30);
        m_clock.schedule(m_clock.now() + pause, [this, caller, &core] {
            core.onCallerBytes(caller->flow, caller->pieces[caller->sentPieces++], m_clock.now());
            processEdgeActions(caller->edge);
        });
    } else if (!caller->endSent) {
        caller->endSent = true;
        core.onCallerEnd(caller->flow, m_clock.now());
        processEdgeActions(caller->edge);
    }
}

caller_record *stream_simulation::findCaller(const flow_id &flow)
{
    const auto found = std::find_if(m_callers.begin(), m_callers.end(),
                                    [&flow](const caller_record &each) { return each.flow == flow; });
    return found == m_callers.end() ? nullptr : &*found;
}

} // namespace citroncrank::simulation
