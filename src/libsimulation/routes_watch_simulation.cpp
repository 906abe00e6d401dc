#include "routes_watch_run_pvt.h"

#include <utility>

namespace citroncrank::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep = milliseconds(10);
constexpr duration kFetchDeadline = milliseconds(500);
constexpr duration kFetchTime = milliseconds(10);
// A watcher fetches newer routes from another balancer only after its own watch had time to return them.
constexpr duration kPeerFetchDelay = milliseconds(550);
constexpr int kMaxStoreDelayMs = 20;
constexpr int kMaxDatagramDelayMs = 9;
constexpr int kMaxRetryDelayMs = 1000;
// Of a slow link, for one configuration.
constexpr int kMaxTransferMs = 100;
constexpr int kMaxLoopPeriodMs = 100;
constexpr int kMaxSlowAnswerMs = 1500;
constexpr duration kStartTime = seconds(5);

std::shared_ptr<const route_set> routesOfVersion(std::uint64_t version)
{
    auto routes = std::make_shared<route_set>();
    routes->version = version;
    return routes;
}

} // namespace

routes_watch_run::routes_watch_run(const routes_watch_schedule &schedule)
    : m_schedule(schedule)
    , m_timing(watchTimingFor(schedule.limit))
    , m_random(schedule.seed)
{}

routes_watch_outcome routes_watch_run::run()
{
    confirmVersion();
    for (std::size_t i = 0; i < m_schedule.balancers; ++i) {
        m_balancers.push_back({.address = addressOf(i), .domain = i % m_schedule.domains});
        if (m_schedule.hasDeploymentFaults)
            m_balancers.back().loopPeriod = within(kMaxLoopPeriodMs);
        startCore(&m_balancers.back());
    }
    const time_point end = m_now + m_schedule.length;
    time_point nextChange = m_now + within(4000);
    time_point nextFault = m_now + seconds(3);
    for (std::uint64_t step = 0; m_now < end; ++step, m_now += kStep) {
        if (m_now >= nextChange) {
            confirmVersion();
            nextChange = m_now + milliseconds(200) + within(4000);
        }
        if (m_schedule.hasOnlyMissedChanges)
            injectMissedChange();
        else if (m_schedule.hasFaults && m_now >= nextFault) {
            if (m_schedule.hasDeploymentFaults && occurs(0.6))
                injectDeploymentFault();
            else
                injectFault();
            nextFault = m_now + milliseconds(100) + within(2500);
        }
        restartNext();
        rewriteIfDue();
        deliverDue();
        for (simulated_balancer &balancer : m_balancers)
            advance(&balancer, step);
    }
    return m_outcome;
}

void routes_watch_run::confirmVersion()
{
    const std::uint64_t version = m_store.latest() + 1;
    m_store.write(version, m_now);
    m_store.versions.push_back({version, m_now});
    ++m_outcome.changes;
}

void routes_watch_run::startCore(simulated_balancer *balancer)
{
    balancer->core = std::make_unique<packet_balancer>(
        packet_balancer_settings{.self = balancer->address,
                                 .http = balancer->address,
                                 .domain = domainName(balancer->domain),
                                 .flowLifetime = seconds(60),
                                 .randomSeed = m_random(),
                                 .routesWatch = {.watchers = m_schedule.watchers,
                                                 .confirmationTimeout = m_schedule.confirmationTimeout.value_or(
                                                     m_timing.confirmationTimeout)}},
        [](std::string_view) { return std::optional<packet_header>(); }, localTime(*balancer));
    balancer->call.reset();
    balancer->failedFetch.reset();
    balancer->cursor = 0;
    balancer->era = 0;
    balancer->wasIdle = false;
    std::vector<listed_node> nodes;
    for (std::size_t i = 0; i < m_schedule.balancers; ++i)
        nodes.push_back({addressOf(i), false, {}, domainName(i % m_schedule.domains)});
    packet_actions actions;
    balancer->core->applyListing(nodes, localTime(*balancer), &actions);
    send(*balancer, &actions);
}

bool routes_watch_run::isBlocked(const simulated_balancer &from, const simulated_balancer &to) const
{
    return m_now < m_blockedUntil && from.domain != to.domain && to.domain == m_blocked.to
           && (m_blocked.isFromAll || from.domain == m_blocked.from);
}

void routes_watch_run::send(const simulated_balancer &from, packet_actions *actions)
{
    for (packet_action &action : *actions) {
        auto *const sent = std::get_if<send_to_node>(&action);
        if (sent == nullptr || occurs(m_schedule.loss) || m_now < from.muteUntil)
            continue;
        const simulated_balancer *const target = find(sent->to);
        if (target == nullptr || isBlocked(from, *target))
            continue;
        m_datagrams.emplace(m_now + within(kMaxDatagramDelayMs),
                            datagram{from.address, sent->to, std::move(sent->message)});
    }
    actions->clear();
}

simulated_balancer *routes_watch_run::find(const host_address &address)
{
    for (simulated_balancer &balancer : m_balancers) {
        if (balancer.address == address)
            return &balancer;
    }
    return nullptr;
}

void routes_watch_run::deliverDue()
{
    while (!m_datagrams.empty() && m_datagrams.begin()->first <= m_now) {
        datagram arrived = std::move(m_datagrams.begin()->second);
        m_datagrams.erase(m_datagrams.begin());
        simulated_balancer *const target = find(arrived.to);
        if (target == nullptr || !target->core || m_now < target->downUntil || m_now < target->deafUntil)
            continue;
        if (m_now < target->pausedUntil) {
            m_datagrams.emplace(target->pausedUntil, std::move(arrived));
            continue;
        }
        if (m_now < target->nextLoopAt) {
            m_datagrams.emplace(target->nextLoopAt, std::move(arrived));
            continue;
        }
        if (const auto *const hello = std::get_if<balancer_hello>(&arrived.message))
            hearEra(target, hello->storeEra);
        packet_actions actions;
        target->core->message(arrived.from, std::move(arrived.message), localTime(*target), &actions);
        send(*target, &actions);
    }
}

bool routes_watch_run::reachesStore(const simulated_balancer &balancer) const
{
    return m_now >= balancer.storeCutUntil && m_now >= m_store.downUntil;
}

void routes_watch_run::advance(simulated_balancer *balancer, std::uint64_t step)
{
    if (m_now < balancer->downUntil) {
        balancer->core.reset();
        return;
    }
    if (!balancer->core)
        startCore(balancer);
    answerCall(balancer);
    if (m_now < balancer->pausedUntil || m_now < balancer->nextLoopAt)
        return;
    balancer->nextLoopAt = m_now + balancer->loopPeriod;
    processCall(balancer);
    if (step % std::uint64_t(kBalancerTick / kStep) == 0 || balancer->loopPeriod > duration(0)) {
        packet_actions actions;
        balancer->core->advance(localTime(*balancer), &actions);
        send(*balancer, &actions);
    }
    fetchIfNeeded(balancer);
    startCallIfDue(balancer);
    check(balancer);
}

void routes_watch_run::answerCall(simulated_balancer *balancer)
{
    if (!balancer->call || balancer->call->isDone)
        return;
    store_call &call = *balancer->call;
    const duration wait = call.isList ? duration(0) : m_timing.wait;
    const bool isOverdue = m_now - call.sentAt >= wait + m_timing.callDeadline;
    if (!reachesStore(*balancer) || isOverdue) {
        call.isDone = isOverdue;
        return;
    }
    if (call.isTurnedAway) {
        call.isDone = true;
        return;
    }
    if (m_now < call.answeredAfter)
        return;
    call.era = m_store.era;
    if (call.isList) {
        call.isDone = true;
        call.version = m_store.stored();
        call.revision = m_store.revision();
        return;
    }
    const bool isCursorUnknown = balancer->cursor > m_store.revision();
    const bool isHistoryGone = isCursorUnknown || m_store.historyDroppedAt > balancer->cursorAt;
    const bool wasWaiting = m_store.historyDroppedAt > call.sentAt;
    const bool isOver = m_now - call.sentAt >= m_timing.wait;
    call.isHistoryGone = isCursorUnknown || (isHistoryGone && !wasWaiting);
    const bool hasChange = !isHistoryGone && m_store.revision() > balancer->cursor;
    call.isDone = isOver || hasChange || call.isHistoryGone;
    if (!call.isDone || call.isHistoryGone)
        return;
    call.version = hasChange ? m_store.newestAfter(balancer->cursor) : balancer->storedVersion;
    call.revision = hasChange ? m_store.revision() : balancer->cursor;
}

void routes_watch_run::processCall(simulated_balancer *balancer)
{
    if (!balancer->call || !balancer->call->isDone)
        return;
    const store_call call = *std::exchange(balancer->call, std::nullopt);
    const bool isOfLaterEra = !call.isList && call.era > balancer->era;
    hearEra(balancer, call.era);
    if (call.isHistoryGone || (call.version && isOfLaterEra)) {
        balancer->cursor = 0;
        return;
    }
    if (!call.version) {
        balancer->nextCallAt = m_now + within(kMaxRetryDelayMs);
        return;
    }
    if (call.isList || call.revision > balancer->cursor)
        balancer->cursorAt = m_now;
    balancer->cursor = call.revision;
    balancer->storedVersion = *call.version;
    packet_actions actions;
    const time_point now = localTime(*balancer);
    if (m_now < balancer->busyUntil) {
        balancer->cursor = 0;
        balancer->nextCallAt = m_now + kFirstStoreRetryDelay;
        if (m_schedule.confirmsWhatWasNotTaken)
            balancer->core->storeConfirmedRoutes({call.sentAtLocally, 0}, now, &actions);
        send(*balancer, &actions);
        return;
    }
    balancer->core->applyRoutes(routesOfVersion(*call.version), now, &actions);
    balancer->core->storeConfirmedRoutes({call.sentAtLocally, *call.version}, now, &actions);
    send(*balancer, &actions);
    if (m_schedule.hasOnlyMissedChanges)
        failAfterMissedChange(balancer, call);
}

void routes_watch_run::startCallIfDue(simulated_balancer *balancer)
{
    if (balancer->call || m_now < balancer->nextCallAt)
        return;
    if (balancer->cursor != 0 && !balancer->core->watchesRoutes(localTime(*balancer))) {
        balancer->wasIdle = true;
        return;
    }
    if (m_now - m_startedAt >= kStartTime)
        ++m_outcome.storeCalls;
    balancer->call = store_call{.isList = balancer->cursor == 0 || std::exchange(balancer->wasIdle, false),
                                .sentAt = m_now,
                                .sentAtLocally = localTime(*balancer),
                                .answeredAfter = m_now + answerDelay(),
                                .isTurnedAway = m_now < balancer->turnedAwayUntil};
}

// A later era that another balancer tells ends the watch in progress, and the worker lists again.
void routes_watch_run::hearEra(simulated_balancer *balancer, std::uint64_t era)
{
    if (era <= balancer->era)
        return;
    balancer->era = era;
    balancer->cursor = 0;
    balancer->core->applyStoreEra(era, localTime(*balancer));
    if (balancer->call && !balancer->call->isDone)
        balancer->call.reset();
}

duration routes_watch_run::answerDelay()
{
    duration delay = within(kMaxStoreDelayMs);
    if (m_schedule.hasDeploymentFaults)
        delay += within(kMaxTransferMs);
    return m_now < m_store.slowUntil ? delay + within(kMaxSlowAnswerMs) : delay;
}

void routes_watch_run::fetchIfNeeded(simulated_balancer *balancer)
{
    if (balancer->failedFetch && m_now >= balancer->nextFetchAt)
        balancer->core->routesFetchFailed(*std::exchange(balancer->failedFetch, std::nullopt));
    const auto source = balancer->core->newerRoutes();
    if (!source)
        balancer->behindSince = m_now;
    const bool isUrgent = source && balancer->core->needsNewerRoutes(localTime(*balancer));
    const bool isBehind = source && m_now - balancer->behindSince >= kPeerFetchDelay;
    if (!(isUrgent || isBehind) || m_now < balancer->nextFetchAt)
        return;
    const simulated_balancer *const peer = find(source->http);
    const bool isReachable = peer != nullptr && peer->core && m_now >= peer->pausedUntil && m_now >= peer->muteUntil
                             && m_now >= peer->deafUntil && m_now >= balancer->muteUntil && m_now >= balancer->deafUntil
                             && !isBlocked(*balancer, *peer) && !isBlocked(*peer, *balancer);
    const duration transfer = m_schedule.hasDeploymentFaults ? within(kMaxTransferMs) : duration(0);
    balancer->nextFetchAt = m_now + (isReachable ? kFetchTime + transfer : kFetchDeadline);
    if (!isReachable) {
        balancer->failedFetch = source;
        return;
    }
    packet_actions actions;
    balancer->core->applyRoutes(routesOfVersion(peer->core->routesVersion()), localTime(*balancer), &actions);
    send(*balancer, &actions);
}

void routes_watch_run::check(simulated_balancer *balancer)
{
    // What the store does not hold cannot be read: a version that a late write has replaced, or that a copy lacks.
    const bool isCalm = m_store.holdsLatest() && m_now - balancer->faultEnd() >= m_schedule.limit
                        && m_now - m_store.faultEnd() >= m_schedule.limit;
    const std::uint64_t required = m_store.confirmedBefore(m_now - m_schedule.limit);
    if (!isCalm)
        return;
    if (std::exchange(balancer->judgedVersion, required) != required)
        ++m_outcome.judged;
    if (balancer->core->routesVersion() >= required || balancer->staleVersion == required)
        return;
    balancer->staleVersion = required;
    ++m_outcome.staleRoutes;
}

routes_watch_outcome runRoutesWatchSchedule(const routes_watch_schedule &schedule)
{
    return routes_watch_run(schedule).run();
}

} // namespace citroncrank::simulation
