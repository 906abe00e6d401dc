#include "agent_process.h"

#include "citroncrank/timer_service.h"

#include <algorithm>

namespace citroncrank {

namespace {

constexpr duration kCheckPeriod{500'000};
constexpr duration kLongestWait{100'000};
/// One refused connection may be a full accept queue; this many in a row mean that the upstream is down.
constexpr int kFailedChecksUntilDown = 3;

} // namespace

agent_process::agent_process(agent_process_settings settings)
    : m_settings(std::move(settings))
    , m_network(m_settings.net)
{}

bool agent_process::listen(std::error_code *lastReason)
{
    const auto bound = m_network.listenForHops(m_settings.listen, lastReason);
    if (!bound)
        return false;
    m_settings.core.self.address = *bound;
    m_core = std::make_unique<agent_core>(m_settings.core, m_settings.admission);
    return true;
}

struct agent_process::event_handler
{
    agent_process &process;
    time_point now;

    void operator()(const frame_received &event) const
    {
        auto &hops = process.m_hops;
        if (std::find(hops.begin(), hops.end(), event.hop) == hops.end())
            hops.push_back(event.hop);
        process.m_core->onFrame(event.value, event.hop, now);
    }
    void operator()(const hop_closed &event) const { std::erase(process.m_hops, event.hop); }
    void operator()(const stream_connected &event) const
    {
        if (event.stream == process.m_checkStream) {
            process.m_network.post(stream_close{event.stream, false});
            process.onCheckResult(true, now);
        } else if (const auto flow = process.m_flowOf.find(event.stream); flow != process.m_flowOf.end()) {
            process.m_core->onUpstreamConnected(flow->second, now);
        }
    }
    void operator()(const stream_connect_failed &event) const
    {
        if (event.stream == process.m_checkStream) {
            process.onCheckResult(false, now);
            return;
        }
        const auto flow = process.m_flowOf.find(event.stream);
        if (flow == process.m_flowOf.end())
            return;
        const flow_id id = flow->second;
        process.m_streamOf.erase(id);
        process.m_flowOf.erase(flow);
        process.m_core->onUpstreamConnectFailed(id, now);
    }
    void operator()(const stream_bytes &event) const
    {
        if (const auto flow = process.m_flowOf.find(event.stream); flow != process.m_flowOf.end())
            process.m_core->onUpstreamBytes(flow->second, event.bytes, now);
    }
    void operator()(const stream_ended &event) const
    {
        if (const auto flow = process.m_flowOf.find(event.stream); flow != process.m_flowOf.end())
            process.m_core->onUpstreamEnd(flow->second, now);
    }
    void operator()(const stream_reset &event) const
    {
        if (const auto flow = process.m_flowOf.find(event.stream); flow != process.m_flowOf.end())
            process.m_core->onUpstreamReset(flow->second, now);
    }
    void operator()(const stream_consumed &event) const
    {
        if (const auto flow = process.m_flowOf.find(event.stream); flow != process.m_flowOf.end())
            process.m_core->onUpstreamConsumed(flow->second, event.bytes, now);
    }
    template<typename other_event>
    void operator()(const other_event &) const
    {}
};

struct agent_process::action_handler
{
    agent_process &process;

    void operator()(const agent_send &action) const { process.sendFrame(action); }
    void operator()(const upstream_connect &action) const
    {
        const stream_id stream = process.m_network.nextStreamId();
        process.m_streamOf[action.flow] = stream;
        process.m_flowOf[stream] = action.flow;
        process.m_network.post(stream_connect{stream, process.m_settings.upstream});
    }
    void operator()(const upstream_read &action) const
    {
        if (const auto stream = process.m_streamOf.find(action.flow); stream != process.m_streamOf.end())
            process.m_network.post(stream_read{stream->second, action.maxBytes});
    }
    void operator()(upstream_write &action) const
    {
        if (const auto stream = process.m_streamOf.find(action.flow); stream != process.m_streamOf.end())
            process.m_network.post(stream_write{stream->second, std::move(action.bytes)});
    }
    void operator()(const upstream_finish &action) const
    {
        if (const auto stream = process.m_streamOf.find(action.flow); stream != process.m_streamOf.end())
            process.m_network.post(stream_finish{stream->second});
    }
    void operator()(const upstream_close &action) const { process.closeStream(action.flow, action.abort); }
    void operator()(const flow_note &) const {}
};

void agent_process::run(const std::atomic<bool> &stopping)
{
    m_network.start();
    std::vector<net_event> events;
    while (!m_draining || m_core->boundFlows() > 0) {
        if (stopping && !m_draining) {
            m_draining = true;
            m_core->setServing(serving_state::draining, monotonicNow());
        }
        auto deadline = monotonicNow() + kLongestWait;
        if (const auto next = m_core->nextDeadline())
            deadline = std::min(deadline, *next);
        events.clear();
        m_network.events().drain(&events, deadline);
        const auto now = monotonicNow();
        for (auto &event : events)
            std::visit(event_handler{*this, now}, event);
        m_core->onTick(now);
        checkUpstream(now);
        runActions();
    }
    m_network.stop();
}

void agent_process::runActions()
{
    for (auto &action : m_core->takeActions())
        std::visit(action_handler{*this}, action);
}

void agent_process::sendFrame(const agent_send &action)
{
    if (const hop_id hop = chooseHop(action))
        m_network.post(send_on_hop{hop, action.value});
}

// A retransmission goes over another hop every second time: the usual one may be silent, but for a caller that a
// balancer holds itself it is the only one that leads back.
hop_id agent_process::chooseHop(const agent_send &action)
{
    const bool usable = std::find(m_hops.begin(), m_hops.end(), action.hop) != m_hops.end();
    if (m_hops.empty())
        return 0;
    ++m_nextHop;
    if (usable && (!action.alternatePath || m_nextHop % 2 == 0))
        return action.hop;
    return m_hops[(m_nextHop / 2) % m_hops.size()];
}

void agent_process::checkUpstream(time_point now)
{
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + kCheckPeriod;
    m_checkStream = m_network.nextStreamId();
    m_network.post(stream_connect{m_checkStream, m_settings.upstream});
}

void agent_process::onCheckResult(bool reachable, time_point now)
{
    m_failedChecks = reachable ? 0 : m_failedChecks + 1;
    if (m_draining)
        return;
    if (reachable && m_core->serving() == serving_state::starting)
        m_core->setServing(serving_state::ready, now);
    else if (m_failedChecks >= kFailedChecksUntilDown && m_core->serving() == serving_state::ready)
        m_core->setServing(serving_state::starting, now);
}

void agent_process::closeStream(const flow_id &flow, bool abort)
{
    const auto stream = m_streamOf.find(flow);
    if (stream == m_streamOf.end())
        return;
    m_network.post(stream_close{stream->second, abort});
    m_flowOf.erase(stream->second);
    m_streamOf.erase(stream);
}

} // namespace citroncrank
