#include "stream_simulation_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank::simulation {

simulation_result stream_simulation::run()
{
    build();
    scheduleFailures();
    while (!m_clock.empty() && m_clock.now() < kScheduleEnd)
        m_clock.runNext();
    for (const auto &host : m_hosts)
        checkHeldResources(host);
    checkGuarantees(m_callers, m_runRecords, m_plan, &m_result);
    return std::move(m_result);
}

void stream_simulation::build()
{
    m_hosts.resize(kHosts);
    for (std::size_t index = 0; index < kHosts; ++index) {
        m_hosts[index].record.address = {0x0A000001U + std::uint32_t(index), 9000};
        if (index < kHosts - 1)
            startAgent(index, index < kMainHosts ? "main" : "other");
    }
    m_balancers.resize(kBalancers);
    m_edges.resize(kEdges);
    for (std::size_t index = 0; index < kBalancers; ++index) {
        startBalancer(index);
        m_balancers[index].core->setTable(currentTable());
    }
    for (std::size_t index = 0; index < kEdges; ++index) {
        m_edges[index].core = m_factory.edge(edge_id(index + 1));
        sendHello(index);
    }
    const auto callers = m_random.between(2, 4);
    m_callers.reserve(callers);
    for (std::uint64_t index = 0; index < callers; ++index)
        m_clock.schedule(time_point(m_random.milliseconds(0, m_plan.openWithinMs)), [this] { startCaller(); });
}

void stream_simulation::startAgent(std::size_t index, const std::string &service)
{
    auto &host = m_hosts[index];
    host.record.role = node_role::agent;
    host.record.name = service + std::to_string(index);
    host.record.service = service;
    host.record.incarnation = ++m_lastIncarnation;
    host.record.version = 0;
    host.record.serving = serving_state::ready;
    host.record.state = member_state::alive;
    host.record.slots = 1;
    host.record.connections = 4;
    agent_settings settings;
    settings.service = service;
    // Shorter than in production, so that flows whose edge is gone end within the schedule.
    settings.idleProbe = duration(10'000'000);
    settings.self = {memberNodeId(host.record), host.record.incarnation, host.record.address};
    admission_settings admission{.slots = 1, .connections = 4, .queueLimit = 4, .warmUp = duration(0)};
    host.agent = m_factory.agent(settings, admission);
    host.agent->setServing(serving_state::ready, m_clock.now());
    host.drainAt.reset();
    host.tickAt = time_point::max();
    host.paused = false;
    ++host.generation;
    publish(index);
}

void stream_simulation::startBalancer(std::size_t index)
{
    m_balancers[index].core = m_factory.balancer();
    ++m_balancers[index].generation;
}

void stream_simulation::sendHello(std::size_t edge)
{
    frame hello;
    hello.edge = edge + 1;
    hello.body = hello_body{"edge"};
    for (auto &balancer : m_balancers)
        balancer.core->onFrame(hello, edge + 1, m_clock.now());
}

upstream_table stream_simulation::currentTable()
{
    std::vector<member_record> records;
    for (const auto &[name, record] : m_members)
        records.push_back(record);
    return upstream_table::build(records, ++m_tableRevision);
}

void stream_simulation::publish(std::size_t index)
{
    m_members[m_hosts[index].record.name] = m_hosts[index].record;
    disseminateTable();
}

// Each balancer gets a table update after its own random delay; with stale tables it misses half of the updates.
void stream_simulation::disseminateTable()
{
    for (auto &balancer : m_balancers) {
        if (m_plan.has(failure::stale_table) && m_random.chance(500))
            continue;
        m_clock.schedule(m_clock.now() + m_random.milliseconds(5, 300), [this, &balancer, table = currentTable()] {
            if (balancer.core && table.revision() > balancer.core->tableRevision())
                balancer.core->setTable(table);
        });
    }
}

void stream_simulation::publishAgentState(const std::string &name, member_state state)
{
    m_members[name].state = state;
    m_members[name].version += 1;
    disseminateTable();
}

void stream_simulation::scheduleFailures()
{
    const auto scheduleFailure = [this](failure kind, action what) {
        if (m_plan.has(kind))
            m_clock.schedule(time_point(m_random.milliseconds(50, 2500)), std::move(what));
    };
    const auto host = [this] { return std::size_t(m_random.between(0, kMainHosts - 1)); };
    scheduleFailure(failure::agent_pause, [this, index = host()] { pause(index); });
    scheduleFailure(failure::agent_kill, [this, index = host()] { kill(index); });
    scheduleFailure(failure::agent_restart, [this, index = host()] { restart(index, "main"); });
    scheduleFailure(failure::address_reuse, [this, index = host()] { restart(index, "other"); });
    scheduleFailure(failure::drain, [this, index = host()] {
        drain(index);
        if (m_plan.pauseDrained)
            m_clock.schedule(m_clock.now() + m_random.milliseconds(0, 20), [this, index] { pause(index); });
    });
    scheduleFailure(failure::upstream_added, [this] { startAgent(kHosts - 1, "main"); });
    scheduleFailure(failure::balancer_replace, [this] { replaceBalancer(0); });
    if (m_plan.has(failure::silent_path))
        m_silentPath = m_random.between(1, kBalancers * (kEdges + kHosts)) - 1;
    if (m_plan.has(failure::silent_path))
        m_silentSince = time_point(m_random.milliseconds(0, 2500));
}

void stream_simulation::pause(std::size_t index)
{
    auto &host = m_hosts[index];
    if (!host.agent)
        return;
    host.paused = true;
    m_clock.schedule(m_clock.now() + m_random.milliseconds(100, 6000), [this, index] {
        auto &resumed = m_hosts[index];
        if (!resumed.paused)
            return;
        resumed.paused = false;
        for (auto &event : std::exchange(resumed.inbox, {}))
            runAtAgent(index, std::move(event));
        runAtAgent(index, [this, index] { m_hosts[index].agent->onTick(m_clock.now()); });
    });
}

void stream_simulation::kill(std::size_t index)
{
    auto &host = m_hosts[index];
    if (!host.agent)
        return;
    trace("kill host " + std::to_string(index));
    countMismatches(host);
    host.agent.reset();
    host.inbox.clear();
    host.connections.clear();
    host.paused = false;
    ++host.generation;
    m_clock.schedule(m_clock.now() + m_random.milliseconds(200, 3000), [this, name = host.record.name] {
        if (m_members[name].incarnation <= m_lastIncarnation && !isRunning(name))
            publishAgentState(name, member_state::dead);
    });
}

bool stream_simulation::isRunning(const std::string &name) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(),
                       [&name](const host_node &host) { return host.agent && host.record.name == name; });
}

void stream_simulation::restart(std::size_t index, const std::string &service)
{
    kill(index);
    m_clock.schedule(m_clock.now() + m_random.milliseconds(5, 1500), [this, index, service] {
        if (!m_hosts[index].agent)
            startAgent(index, service);
    });
}

void stream_simulation::drain(std::size_t index)
{
    auto &host = m_hosts[index];
    if (!host.agent)
        return;
    trace("drain host " + std::to_string(index));
    host.drainAt = m_clock.now();
    host.agent->setServing(serving_state::draining, m_clock.now());
    host.record.serving = serving_state::draining;
    host.record.version += 1;
    publish(index);
    processAgentActions(index);
    if (m_plan.stopImmediately || m_plan.stopWhenIdle)
        m_clock.schedule(m_clock.now() + duration(20'000), [this, index] { stopIfIdle(index); });
}

void stream_simulation::stopIfIdle(std::size_t index)
{
    auto &host = m_hosts[index];
    if (!host.agent || !host.drainAt)
        return;
    if (m_plan.stopImmediately || host.agent->idle(m_clock.now()))
        kill(index);
    else
        m_clock.schedule(m_clock.now() + duration(20'000), [this, index] { stopIfIdle(index); });
}

void stream_simulation::replaceBalancer(std::size_t index)
{
    startBalancer(index);
    for (std::size_t edge = 0; edge < kEdges; ++edge)
        m_clock.schedule(m_clock.now() + duration(20'000), [this, edge] { sendHello(edge); });
    m_clock.schedule(m_clock.now() + m_random.milliseconds(20, 500),
                     [this, index] { m_balancers[index].core->setTable(currentTable()); });
    // Balancers are replaced one at a time: the next one after the first has got its table.
    if (index + 1 < kBalancers)
        m_clock.schedule(m_clock.now() + duration(600'000), [this, index] { replaceBalancer(index + 1); });
}

void stream_simulation::recordViolation(guarantee kind, const std::string &text)
{
    ++m_result.violations[std::size_t(kind)];
    trace("violation: " + text);
}

// At the end of the schedule, long after the last failure, an agent must have released all resources of flows.
void stream_simulation::checkHeldResources(const host_node &host)
{
    countMismatches(host);
    if (host.agent && !host.paused && host.agent->heldResources(m_clock.now()) > 0)
        recordViolation(guarantee::liveness, "an agent still holds a flow, slot or connection");
}

void stream_simulation::countMismatches(const host_node &host)
{
    if (host.agent)
        m_result.mismatches += host.agent->mismatches();
}

void stream_simulation::trace(const std::string &text)
{
    if (m_plan.trace)
        m_result.trace.push_back(std::to_string(m_clock.now().time_since_epoch().count()) + " " + text);
}

void stream_simulation::trace(const std::string &text, const frame &value)
{
    if (m_plan.trace)
        trace(text + describe(value));
}

} // namespace citroncrank::simulation
