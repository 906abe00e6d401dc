#include "routes_watch_simulation_pvt.h"

#include "citroncrank/packet_balancer.h"
#include "citroncrank/watch_timing.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

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
constexpr duration kMinWriteLateness = milliseconds(500);
constexpr int kMaxSlowAnswerMs = 1500;
constexpr double kTurnedAwayShare = 0.35;
constexpr double kSuspendedShare = 0.3;
constexpr duration kStartTime = seconds(5);

struct store_state
{
    struct confirmed_version
    {
        std::uint64_t version = 0;
        time_point at;
    };
    std::vector<confirmed_version> versions; ///< In the order of their confirmation.
    std::vector<std::uint64_t> writes;       ///< Version of each write. The last one may be older after a late write.
    time_point downUntil;
    time_point slowUntil;
    time_point historyDroppedAt; ///< Watches that waited then report no later change.

    std::uint64_t latest() const { return versions.empty() ? 0 : versions.back().version; }
    std::uint64_t stored() const { return writes.back(); }
    std::uint64_t revision() const { return writes.size(); }
    /// Newest version among the writes after a revision, which a watch reports one by one.
    std::uint64_t newestAfter(std::uint64_t after) const
    {
        return *std::max_element(writes.begin() + std::ptrdiff_t(after), writes.end());
    }
    time_point faultEnd() const { return std::max(downUntil, slowUntil); }
    std::uint64_t confirmedBefore(time_point when) const
    {
        std::uint64_t result = 0;
        for (const confirmed_version &version : versions) {
            if (version.at <= when)
                result = version.version;
        }
        return result;
    }
};

struct store_call
{
    bool isList = false;
    time_point sentAt;
    time_point sentAtLocally; ///< By the balancer's clock.
    time_point answeredAfter; ///< The store, or the link, takes until then at least.
    bool isTurnedAway = false;
    /// Set once the store has answered, or the deadline has passed. The balancer may be paused then.
    bool isDone = false;
    std::optional<std::uint64_t> version; ///< Nullopt: failed.
    std::uint64_t revision = 0;
    bool isHistoryGone = false;
};

struct simulated_balancer
{
    host_address address;
    std::unique_ptr<packet_balancer> core;
    time_point downUntil;
    time_point pausedUntil;
    time_point storeCutUntil;
    time_point turnedAwayUntil; ///< The store refuses its calls.
    time_point muteUntil;       ///< Datagrams and answers from it are lost.
    time_point deafUntil;       ///< Datagrams to it are lost.

    std::size_t domain = 0;
    duration clockLag{0}; ///< Its clock does not count suspensions.
    duration loopPeriod{0};
    time_point nextLoopAt;

    std::optional<store_call> call;
    std::uint64_t cursor = 0; ///< Revision after which it watches. 0: it has to list first.
    time_point cursorAt;
    std::uint64_t storedVersion = 0; ///< Of the store's last answer.
    bool wasIdle = false;
    time_point nextCallAt;
    time_point nextFetchAt;
    time_point behindSince;                   ///< Since when another balancer has newer routes.
    std::optional<routes_source> failedFetch; ///< Known to the balancer at nextFetchAt.
    std::uint64_t staleVersion = 0;           ///< Version whose absence has been counted.

    time_point faultEnd() const
    {
        return std::max({downUntil, pausedUntil, storeCutUntil, turnedAwayUntil, muteUntil, deafUntil});
    }
};

std::shared_ptr<const route_set> routesOfVersion(std::uint64_t version)
{
    auto routes = std::make_shared<route_set>();
    routes->version = version;
    return routes;
}

class routes_watch_run
{
public:
    explicit routes_watch_run(const routes_watch_schedule &schedule)
        : m_schedule(schedule)
        , m_timing(watchTimingFor(schedule.limit))
        , m_random(schedule.seed)
    {}

    routes_watch_outcome run()
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
            deliverDue();
            for (simulated_balancer &balancer : m_balancers)
                advance(&balancer, step);
        }
        return m_outcome;
    }

private:
    static host_address addressOf(std::size_t index) { return {0x0A000001 + std::uint32_t(index), 7000}; }
    std::string domainName(std::size_t domain) const { return "rvk-" + std::to_string(domain); }
    duration within(int limitMs) { return milliseconds(std::uniform_int_distribution<int>(1, limitMs)(m_random)); }
    bool occurs(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    simulated_balancer &anyBalancer()
    {
        return m_balancers[std::uniform_int_distribution<std::size_t>(0, m_balancers.size() - 1)(m_random)];
    }

    void confirmVersion()
    {
        m_store.versions.push_back({m_store.latest() + 1, m_now});
        m_store.writes.push_back(m_store.latest());
        ++m_outcome.changes;
    }

    void startCore(simulated_balancer *balancer)
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
        balancer->wasIdle = false;
        std::vector<listed_node> nodes;
        for (std::size_t i = 0; i < m_schedule.balancers; ++i)
            nodes.push_back({addressOf(i), false, {}, domainName(i % m_schedule.domains)});
        packet_actions actions;
        balancer->core->applyListing(nodes, localTime(*balancer), &actions);
        send(*balancer, &actions);
    }

    void injectFault()
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

    void injectDeploymentFault()
    {
        ++m_outcome.faults;
        switch (std::uniform_int_distribution<int>(0, 6)(m_random)) {
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
        default:
            failWatchers();
        }
    }

    /// A write that was not answered is done after its successor was confirmed.
    void writeLate()
    {
        if (m_store.latest() > 1 && m_now - m_store.versions.back().at > kMinWriteLateness)
            m_store.writes.push_back(m_store.latest() - 1);
    }

    void suspend(simulated_balancer *balancer, duration length)
    {
        if (m_now < balancer->pausedUntil || m_now < balancer->downUntil)
            return;
        balancer->pausedUntil = m_now + length;
        balancer->clockLag += length;
    }

    void turnSomeAway()
    {
        const duration length = within(9000);
        for (simulated_balancer &balancer : m_balancers) {
            if (occurs(kTurnedAwayShare))
                balancer.turnedAwayUntil = m_now + length;
        }
    }

    /// Nothing passes from one failure domain to another one, or into one at all.
    void blockPaths()
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

    bool isBlocked(const simulated_balancer &from, const simulated_balancer &to) const
    {
        return m_now < m_blockedUntil && from.domain != to.domain && to.domain == m_blocked.to
               && (m_blocked.isFromAll || from.domain == m_blocked.from);
    }

    void restartNext()
    {
        if (m_rollNext >= m_balancers.size() || m_now < m_rollAt)
            return;
        m_balancers[m_rollNext++].downUntil = m_now + milliseconds(500);
        m_rollAt = m_now + within(800);
    }

    time_point localTime(const simulated_balancer &balancer) const { return m_now - balancer.clockLag; }

    void injectMissedChange()
    {
        if (m_now < m_nextMissedChange)
            return;
        ++m_outcome.faults;
        m_store.historyDroppedAt = m_now;
        confirmVersion();
        m_nextMissedChange = m_now + 2 * m_schedule.limit + within(4000);
    }

    time_point *anyFaultOf(simulated_balancer *balancer)
    {
        time_point *const faults[] = {&balancer->pausedUntil, &balancer->storeCutUntil, &balancer->muteUntil,
                                      &balancer->downUntil};
        return faults[std::uniform_int_distribution<std::size_t>(0, std::size(faults) - 1)(m_random)];
    }

    /// The balancer fails as soon as its watch has ended without the change that it missed.
    void failAfterMissedChange(simulated_balancer *balancer, const store_call &call)
    {
        if (!call.isList && call.sentAt < m_store.historyDroppedAt && call.version == balancer->core->routesVersion())
            *anyFaultOf(balancer) = m_now + m_schedule.limit;
    }

    /// All balancers that watch fail in the same way at once, right before a change.
    void failWatchers()
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

    void send(const simulated_balancer &from, packet_actions *actions)
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

    simulated_balancer *find(const host_address &address)
    {
        for (simulated_balancer &balancer : m_balancers) {
            if (balancer.address == address)
                return &balancer;
        }
        return nullptr;
    }

    void deliverDue()
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
            packet_actions actions;
            target->core->message(arrived.from, std::move(arrived.message), localTime(*target), &actions);
            send(*target, &actions);
        }
    }

    bool reachesStore(const simulated_balancer &balancer) const
    {
        return m_now >= balancer.storeCutUntil && m_now >= m_store.downUntil;
    }

    void advance(simulated_balancer *balancer, std::uint64_t step)
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

    void answerCall(simulated_balancer *balancer)
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
        if (call.isList) {
            call.isDone = true;
            call.version = m_store.stored();
            call.revision = m_store.revision();
            return;
        }
        const bool isHistoryGone = m_store.historyDroppedAt > balancer->cursorAt;
        const bool wasWaiting = m_store.historyDroppedAt > call.sentAt;
        const bool isOver = m_now - call.sentAt >= m_timing.wait;
        call.isHistoryGone = isHistoryGone && !wasWaiting;
        const bool hasChange = !isHistoryGone && m_store.revision() > balancer->cursor;
        call.isDone = isOver || hasChange || call.isHistoryGone;
        if (!call.isDone || call.isHistoryGone)
            return;
        call.version = hasChange ? m_store.newestAfter(balancer->cursor) : balancer->storedVersion;
        call.revision = hasChange ? m_store.revision() : balancer->cursor;
    }

    void processCall(simulated_balancer *balancer)
    {
        if (!balancer->call || !balancer->call->isDone)
            return;
        const store_call call = *std::exchange(balancer->call, std::nullopt);
        if (call.isHistoryGone) {
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
        balancer->core->applyRoutes(routesOfVersion(*call.version), now, &actions);
        balancer->core->storeConfirmedRoutes({call.sentAtLocally, *call.version}, now, &actions);
        send(*balancer, &actions);
        if (m_schedule.hasOnlyMissedChanges)
            failAfterMissedChange(balancer, call);
    }

    void startCallIfDue(simulated_balancer *balancer)
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

    duration answerDelay()
    {
        duration delay = within(kMaxStoreDelayMs);
        if (m_schedule.hasDeploymentFaults)
            delay += within(kMaxTransferMs);
        return m_now < m_store.slowUntil ? delay + within(kMaxSlowAnswerMs) : delay;
    }

    void fetchIfNeeded(simulated_balancer *balancer)
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
                                 && m_now >= peer->deafUntil && m_now >= balancer->muteUntil
                                 && m_now >= balancer->deafUntil && !isBlocked(*balancer, *peer)
                                 && !isBlocked(*peer, *balancer);
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

    void check(simulated_balancer *balancer)
    {
        const bool isCalm =
            m_now - balancer->faultEnd() >= m_schedule.limit && m_now - m_store.faultEnd() >= m_schedule.limit;
        const std::uint64_t required = m_store.confirmedBefore(m_now - m_schedule.limit);
        if (!isCalm || balancer->core->routesVersion() >= required || balancer->staleVersion == required)
            return;
        balancer->staleVersion = required;
        ++m_outcome.staleRoutes;
    }

    struct blocked_path
    {
        std::size_t from = 0;
        std::size_t to = 0;
        bool isFromAll = false;
    };

    struct datagram
    {
        host_address from;
        host_address to;
        node_message message;
    };

    routes_watch_schedule m_schedule;
    watch_timing m_timing;
    std::mt19937_64 m_random;
    time_point m_startedAt{seconds(100)};
    time_point m_now = m_startedAt;
    store_state m_store;
    std::vector<simulated_balancer> m_balancers;
    blocked_path m_blocked;
    time_point m_blockedUntil;
    std::size_t m_rollNext = SIZE_MAX; ///< Balancer that is restarted next.
    time_point m_rollAt;
    time_point m_nextMissedChange = m_startedAt + seconds(10);
    std::multimap<time_point, datagram> m_datagrams;
    routes_watch_outcome m_outcome;
};

} // namespace

routes_watch_outcome runRoutesWatchSchedule(const routes_watch_schedule &schedule)
{
    return routes_watch_run(schedule).run();
}

} // namespace citroncrank::simulation
