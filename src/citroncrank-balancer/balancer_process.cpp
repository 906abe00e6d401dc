#include "balancer_process.h"

#include "citroncrank/timer_service.h"

#include <algorithm>

namespace citroncrank {

namespace {

constexpr duration kLongestWait{100'000};

} // namespace

balancer_process::balancer_process(balancer_process_settings settings)
    : m_settings(std::move(settings))
    , m_network(m_settings.net)
    , m_core(m_settings.core)
    , m_edge(m_settings.core.ownEdge, nullptr)
{
    for (const auto &[address, listener] : m_settings.listeners)
        m_edge.setListener(address, listener);
    m_core.setTable(upstream_table::build(m_settings.members, 1));
}

bool balancer_process::listen(std::error_code *lastReason)
{
    if (!m_network.listenForHops(m_settings.listen, lastReason))
        return false;
    for (const auto &[address, listener] : m_settings.listeners) {
        if (!m_network.listenForStreams(address, lastReason))
            return false;
    }
    return true;
}

void balancer_process::run(const std::atomic<bool> &stopping)
{
    m_network.start();
    std::vector<net_event> events;
    while (!m_draining || m_edge.openFlows() > 0) {
        if (stopping && !m_draining) {
            m_draining = true;
            for (const auto &[address, listener] : m_settings.listeners)
                m_network.post(listen_streams{address, false});
        }
        auto deadline = monotonicNow() + kLongestWait;
        if (const auto next = m_edge.nextDeadline())
            deadline = std::min(deadline, *next);
        events.clear();
        m_network.events().drain(&events, deadline);
        const auto now = monotonicNow();
        for (auto &event : events)
            handle(std::move(event), now);
        m_edge.onTick(now);
        m_core.onTick(now);
        runActions(now);
    }
    m_network.stop();
}

void balancer_process::handle(net_event event, time_point now)
{
    if (m_edge.onEvent(event, now))
        return;
    if (const auto *received = std::get_if<frame_received>(&event))
        m_core.onFrame(received->value, received->hop, now);
    else if (const auto *closed = std::get_if<hop_closed>(&event))
        m_core.onHopClosed(closed->hop);
}

struct balancer_process::action_handler
{
    balancer_process &process;
    time_point now;

    void operator()(forward_to_agent &action) const
    {
        process.m_network.post(send_to_address{action.target, std::move(action.value), action.freshHop});
    }
    void operator()(forward_to_hop &action) const
    {
        process.m_network.post(send_on_hop{action.hop, std::move(action.value)});
    }
    void operator()(const deliver_to_own_edge &action) const { process.m_edge.onFrame(action.value, now); }
    void operator()(const candidate_note &) const {}
};

// The core and the edge feed each other: frames of the own edge go through the core, and the core's frames for it
// come back.
void balancer_process::runActions(time_point now)
{
    for (;;) {
        auto frames = m_edge.takeFrames();
        for (auto &item : frames)
            m_core.onOwnEdgeFrame(std::move(item.value), item.alternatePath, now);
        auto actions = m_core.takeActions();
        for (auto &action : actions)
            std::visit(action_handler{*this, now}, action);
        if (frames.empty() && actions.empty())
            break;
    }
    for (auto &command : m_edge.takeCommands())
        m_network.post(std::move(command));
    m_edge.takeEnded();
}

} // namespace citroncrank
