#include "stream_simulation_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank::simulation {

// A paused agent queues events and handles them in order when it resumes, before its timers, as the real process does.
void stream_simulation::runAtAgent(std::size_t index, action what)
{
    auto &host = m_hosts[index];
    if (!host.agent)
        return;
    if (host.paused) {
        host.inbox.push_back(std::move(what));
        return;
    }
    what();
    processAgentActions(index);
}

void stream_simulation::processAgentActions(std::size_t index)
{
    auto &host = m_hosts[index];
    for (auto &taken : host.agent->takeActions())
        std::visit([&](const auto &each) { onAgentAction(index, each); }, taken);
    const auto next = host.agent->nextDeadline();
    if (!next || *next >= host.tickAt)
        return;
    host.tickAt = *next;
    m_clock.schedule(*next, [this, index, generation = host.generation] {
        if (m_hosts[index].generation != generation)
            return;
        m_hosts[index].tickAt = time_point::max();
        if (!m_hosts[index].paused)
            runAtAgent(index, [this, index] { m_hosts[index].agent->onTick(m_clock.now()); });
    });
}

void stream_simulation::onAgentAction(std::size_t index, const upstream_connect &connect)
{
    auto &host = m_hosts[index];
    const auto *caller = findCaller(connect.flow);
    if (host.drainAt && m_clock.now() - *host.drainAt > kDrainLimit)
        recordViolation(guarantee::p6, "connect at draining host " + std::to_string(index));
    m_runRecords.push_back({connect.flow, int(index), host.record.incarnation, {}, {}, false, false});
    host.connections[connect.flow] = {m_runRecords.size() - 1, ++m_lastConnection, {}, false, 0};
    const bool fails = isInjected(failure::connect_failure, 300);
    scheduleAtConnection(index, connect.flow, m_random.milliseconds(0, 3), [this, index, caller, fails, connect] {
        auto &agent = *m_hosts[index].agent;
        if (fails) {
            m_hosts[index].connections.erase(connect.flow);
            agent.onUpstreamConnectFailed(connect.flow, m_clock.now());
            return;
        }
        agent.onUpstreamConnected(connect.flow, m_clock.now());
        if (caller->upstreamSendsFirst)
            respond(index, connect.flow, "");
        if (isInjected(failure::upstream_reset, 300))
            resetConnection(index, connect.flow);
    });
}

void stream_simulation::onAgentAction(std::size_t index, const upstream_read &read)
{
    const auto found = m_hosts[index].connections.find(read.flow);
    if (found == m_hosts[index].connections.end())
        return;
    found->second.requestedBytes = read.maxBytes;
    deliverUpstreamBytes(index, read.flow);
}

void stream_simulation::onAgentAction(std::size_t index, const upstream_write &write)
{
    const auto found = m_hosts[index].connections.find(write.flow);
    if (found == m_hosts[index].connections.end())
        return;
    auto &run = m_runRecords[found->second.run];
    run.counted = true;
    run.received += write.bytes;
    const auto *caller = findCaller(write.flow);
    if (caller->service != m_hosts[index].record.service)
        recordViolation(guarantee::p2, "bytes at host " + std::to_string(index));
    trace("run at host " + std::to_string(index) + " flow=" + std::to_string(write.flow.low));
    scheduleAtConnection(index, write.flow, duration(0), [this, index, write] {
        m_hosts[index].agent->onUpstreamConsumed(write.flow, write.bytes.size(), m_clock.now());
    });
    if (caller->kind == flow_kind::session)
        respond(index, write.flow, write.bytes);
}

void stream_simulation::onAgentAction(std::size_t index, const upstream_finish &finish)
{
    const auto found = m_hosts[index].connections.find(finish.flow);
    if (found == m_hosts[index].connections.end())
        return;
    m_runRecords[found->second.run].counted = true;
    const duration serviceTime = m_random.milliseconds(1, m_random.chance(100) ? 1500 : 60);
    const std::size_t size = m_random.chance(50) ? m_random.between(17'000, 60'000) : m_random.between(0, 300);
    scheduleAtConnection(index, finish.flow, serviceTime, [this, index, finish, size] {
        if (findCaller(finish.flow)->kind == flow_kind::request)
            respond(index, finish.flow, std::string(size, char('a' + size % 26)));
        auto &connection = m_hosts[index].connections.at(finish.flow);
        connection.ended = true;
        m_runRecords[connection.run].ended = true;
        deliverUpstreamBytes(index, finish.flow);
    });
}

// Responses start with the index of the run, so that the bytes of two runs always differ.
void stream_simulation::respond(std::size_t index, const flow_id &flow, const std::string &bytes)
{
    const auto found = m_hosts[index].connections.find(flow);
    if (found == m_hosts[index].connections.end() || found->second.ended)
        return;
    auto &run = m_runRecords[found->second.run];
    const std::string text = run.response.empty() ? std::to_string(found->second.run) + ":" + bytes : bytes;
    run.response += text;
    found->second.unread += text;
    deliverUpstreamBytes(index, flow);
}

void stream_simulation::resetConnection(std::size_t index, const flow_id &flow)
{
    scheduleAtConnection(index, flow, m_random.milliseconds(0, 300), [this, index, flow] {
        m_hosts[index].connections.erase(flow);
        m_hosts[index].agent->onUpstreamReset(flow, m_clock.now());
    });
}

void stream_simulation::deliverUpstreamBytes(std::size_t index, const flow_id &flow)
{
    auto &connection = m_hosts[index].connections.at(flow);
    if (connection.requestedBytes == 0 || (connection.unread.empty() && !connection.ended))
        return;
    const std::string part = connection.unread.substr(0, connection.requestedBytes);
    connection.unread.erase(0, part.size());
    connection.requestedBytes = 0;
    scheduleAtConnection(index, flow, duration(10), [this, index, flow, part] {
        auto &agent = *m_hosts[index].agent;
        if (part.empty())
            agent.onUpstreamEnd(flow, m_clock.now());
        else
            agent.onUpstreamBytes(flow, part, m_clock.now());
    });
}

// Schedules an event of an upstream's connection; it is dropped if the connection was closed in the meantime.
void stream_simulation::scheduleAtConnection(std::size_t index, const flow_id &flow, duration delay, action what)
{
    const auto generation = m_hosts[index].connections.at(flow).generation;
    const auto guarded = [this, index, flow, generation, what = std::move(what)] {
        const auto found = m_hosts[index].connections.find(flow);
        if (found != m_hosts[index].connections.end() && found->second.generation == generation)
            what();
    };
    m_clock.schedule(m_clock.now() + delay, [this, index, guarded] { runAtAgent(index, guarded); });
}

} // namespace citroncrank::simulation
