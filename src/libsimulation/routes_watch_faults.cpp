#include "routes_watch_run_pvt.h"

#include <iterator>

namespace citroncrank::simulation {

namespace {

using std::chrono::milliseconds;

constexpr duration kMinWriteLateness = milliseconds(500);
constexpr double kTurnedAwayShare = 0.35;
constexpr double kSuspendedShare = 0.3;
constexpr double kBusyShare = 0.3;
constexpr std::size_t kMaxLostWrites = 3;

} // namespace

void routes_watch_run::injectFault()
{
    ++m_outcome.faults;
    simulated_balancer &one = anyBalancer();
    switch (std::uniform_int_distribution<int>(0, 7)(m_random)) {
    case 0:
        one.downUntil = m_now + within(1500);
        break;
    case 1:
        one.pausedUntil = m_now + within(5000);
        break;
    case 2:
        one.storeCutUntil = m_now + within(8000);
        break;
    case 3:
        one.muteUntil = m_now + within(6000);
        break;
    case 4:
        one.deafUntil = m_now + within(6000);
        break;
    case 5:
        m_store.downUntil = m_now + within(2500);
        break;
    case 6:
        m_store.historyDroppedAt = m_now;
        confirmVersion();
        break;
    default:
        failWatchers();
    }
}

void routes_watch_run::injectDeploymentFault()
{
    ++m_outcome.faults;
    switch (std::uniform_int_distribution<int>(0, 8)(m_random)) {
    case 0:
        for (simulated_balancer &balancer : m_balancers) {
            if (occurs(kSuspendedShare))
                suspend(&balancer, within(5000));
        }
        confirmVersion();
        break;
    case 1:
        m_store.slowUntil = m_now + within(4000);
        break;
    case 2:
        turnSomeAway();
        break;
    case 3:
        blockPaths();
        break;
    case 4:
        writeLate();
        break;
    case 5:
        m_rollNext = 0;
        m_rollAt = m_now;
        break;
    case 6:
        restoreStore();
        break;
    case 7:
        keepSomeBusy();
        break;
    default:
        failWatchers();
    }
}

void routes_watch_run::writeLate()
{
    if (m_store.latest() > 1 && m_now - m_store.versions.back().at > kMinWriteLateness)
        m_store.write(m_store.latest() - 1, m_now);
}

void routes_watch_run::suspend(simulated_balancer *balancer, duration length)
{
    if (m_now < balancer->pausedUntil || m_now < balancer->downUntil)
        return;
    balancer->pausedUntil = m_now + length;
    balancer->clockLag += length;
}

void routes_watch_run::turnSomeAway()
{
    const duration length = within(9000);
    for (simulated_balancer &balancer : m_balancers) {
        if (occurs(kTurnedAwayShare))
            balancer.turnedAwayUntil = m_now + length;
    }
}

void routes_watch_run::keepSomeBusy()
{
    const bool isOfWatchers = occurs(0.5);
    const duration length = within(9000);
    for (simulated_balancer &balancer : m_balancers) {
        const bool isWatcher = balancer.core && balancer.core->watchesRoutes(localTime(balancer));
        if (isOfWatchers ? isWatcher : occurs(kBusyShare))
            balancer.busyUntil = m_now + length;
    }
    confirmVersion();
}

void routes_watch_run::restoreStore()
{
    const std::size_t lost = std::uniform_int_distribution<std::size_t>(1, kMaxLostWrites)(m_random);
    if (m_store.writes.size() <= lost || m_now < m_store.rewrittenAt)
        return;
    m_store.writes.resize(m_store.writes.size() - lost);
    ++m_store.era;
    m_store.downUntil = m_now + within(2000);
    m_store.rewrittenAt = m_store.downUntil + within(1500);
    m_isRewriteDue = true;
}

void routes_watch_run::rewriteIfDue()
{
    if (!m_isRewriteDue || m_now < m_store.rewrittenAt)
        return;
    m_isRewriteDue = false;
    if (!m_store.holdsLatest())
        m_store.write(m_store.latest(), m_now);
}

void routes_watch_run::blockPaths()
{
    const std::size_t to = std::uniform_int_distribution<std::size_t>(0, m_schedule.domains - 1)(m_random);
    m_blockedUntil = m_now + within(6000);
    m_blocked = {(to + 1) % m_schedule.domains, to, occurs(0.5)};
    if (!m_blocked.isFromAll)
        return;
    for (simulated_balancer &balancer : m_balancers) {
        if (balancer.domain == to)
            balancer.storeCutUntil = m_blockedUntil;
    }
}

void routes_watch_run::restartNext()
{
    if (m_rollNext >= m_balancers.size() || m_now < m_rollAt)
        return;
    m_balancers[m_rollNext++].downUntil = m_now + milliseconds(500);
    m_rollAt = m_now + within(800);
}

void routes_watch_run::injectMissedChange()
{
    if (m_now < m_nextMissedChange)
        return;
    ++m_outcome.faults;
    m_store.historyDroppedAt = m_now;
    confirmVersion();
    m_nextMissedChange = m_now + 2 * m_schedule.limit + within(4000);
}

time_point *routes_watch_run::anyFaultOf(simulated_balancer *balancer)
{
    time_point *const faults[] = {&balancer->pausedUntil, &balancer->storeCutUntil, &balancer->muteUntil,
                                  &balancer->downUntil};
    return faults[std::uniform_int_distribution<std::size_t>(0, std::size(faults) - 1)(m_random)];
}

void routes_watch_run::failAfterMissedChange(simulated_balancer *balancer, const store_call &call)
{
    if (!call.isList && call.sentAt < m_store.historyDroppedAt && call.version == balancer->core->routesVersion())
        *anyFaultOf(balancer) = m_now + m_schedule.limit;
}

void routes_watch_run::failWatchers()
{
    const int kind = std::uniform_int_distribution<int>(0, 3)(m_random);
    const duration length = within(6000);
    for (simulated_balancer &balancer : m_balancers) {
        if (!balancer.core || !balancer.core->watchesRoutes(localTime(balancer)))
            continue;
        time_point *const until = kind == 0   ? &balancer.pausedUntil
                                  : kind == 1 ? &balancer.storeCutUntil
                                  : kind == 2 ? &balancer.muteUntil
                                              : &balancer.downUntil;
        *until = m_now + length;
    }
    confirmVersion();
}

} // namespace citroncrank::simulation
