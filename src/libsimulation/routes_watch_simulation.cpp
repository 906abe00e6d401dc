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
#include <utility>
#include <vector>

namespace citroncrank::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep = milliseconds(10);
constexpr duration kFetchDeadline = milliseconds(500);
constexpr duration kFetchTime = milliseconds(10);
constexpr int kMaxStoreDelayMs = 20;
constexpr int kMaxDatagramDelayMs = 9;
constexpr int kMaxRetryDelayMs = 1000;
constexpr duration kStartTime = seconds(5);

struct store_state
{
    struct confirmed_version
    {
        std::uint64_t version = 0;
        time_point at;
    };
    std::vector<confirmed_version> versions;
    time_point downUntil;
    time_point historyDroppedAt; ///< Watches that waited then report no later change.

    std::uint64_t latest() const { return versions.empty() ? 0 : versions.back().version; }
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
    time_point listDoneAt;
    /// Set once the store has answered, or the deadline has passed. The balancer may be paused then.
    bool isDone = false;
    std::optional<std::uint64_t> version; ///< Nullopt: failed.
    bool isHistoryGone = false;
};

struct simulated_balancer
{
    host_address address;
    std::unique_ptr<packet_balancer> core;
    time_point downUntil;
    time_point pausedUntil;
    time_point storeCutUntil;
    time_point muteUntil; ///< Datagrams and answers from it are lost.
    time_point deafUntil; ///< Datagrams to it are lost.

    std::optional<store_call> call;
    std::uint64_t cursor = 0; ///< Version after which it watches. 0: it has to list first.
    time_point cursorAt;
    bool wasIdle = false;
    time_point nextCallAt;
    time_point nextFetchAt;
    std::optional<routes_source> failedFetch; ///< Known to the balancer at nextFetchAt.
    std::uint64_t staleVersion = 0;           ///< Version whose absence has been counted.

    time_point faultEnd() const { return std::max({downUntil, pausedUntil, storeCutUntil, muteUntil, deafUntil}); }
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
            m_balancers.push_back({.address = {0x0A000001 + std::uint32_t(i), 7000}});
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
                injectFault();
                nextFault = m_now + milliseconds(100) + within(2500);
            }
            deliverDue();
            for (simulated_balancer &balancer : m_balancers)
                advance(&balancer, step);
        }
        return m_outcome;
    }

private:
    duration within(int limitMs) { return milliseconds(std::uniform_int_distribution<int>(1, limitMs)(m_random)); }
    bool occurs(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    simulated_balancer &anyBalancer()
    {
        return m_balancers[std::uniform_int_distribution<std::size_t>(0, m_balancers.size() - 1)(m_random)];
    }

    void confirmVersion()
    {
        m_store.versions.push_back({m_store.latest() + 1, m_now});
        ++m_outcome.changes;
    }

    void startCore(simulated_balancer *balancer)
    {
        balancer->core = std::make_unique<packet_balancer>(
            packet_balancer_settings{.self = balancer->address,
                                     .http = balancer->address,
                                     .domain = "rvk-a",
                                     .flowLifetime = seconds(60),
                                     .randomSeed = m_random(),
                                     .routesWatch = {.watchers = m_schedule.watchers,
                                                     .confirmationTimeout = m_schedule.confirmationTimeout.value_or(
                                                         m_timing.confirmationTimeout)}},
            [](std::string_view) { return std::optional<packet_header>(); }, m_now);
        balancer->call.reset();
        balancer->failedFetch.reset();
        balancer->cursor = 0;
        balancer->wasIdle = false;
        std::vector<listed_node> nodes;
        for (std::size_t i = 0; i < m_schedule.balancers; ++i)
            nodes.push_back({{0x0A000001 + std::uint32_t(i), 7000}, false, {}, "rvk-a"});
        packet_actions actions;
        balancer->core->applyListing(nodes, m_now, &actions);
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
            if (!balancer.core || !balancer.core->watchesRoutes(m_now))
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
            packet_actions actions;
            target->core->message(arrived.from, std::move(arrived.message), m_now, &actions);
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
        if (m_now < balancer->pausedUntil)
            return;
        processCall(balancer);
        if (step % std::uint64_t(kBalancerTick / kStep) == 0) {
            packet_actions actions;
            balancer->core->advance(m_now, &actions);
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
        if (!reachesStore(*balancer)) {
            call.isDone = m_now - call.sentAt >= wait + m_timing.callDeadline;
            return;
        }
        if (call.isList) {
            call.isDone = m_now >= call.listDoneAt;
            call.version = call.isDone ? std::optional(m_store.latest()) : std::nullopt;
            return;
        }
        const bool isHistoryGone = m_store.historyDroppedAt > balancer->cursorAt;
        const bool wasWaiting = m_store.historyDroppedAt > call.sentAt;
        const bool isOver = m_now - call.sentAt >= m_timing.wait;
        call.isHistoryGone = isHistoryGone && !wasWaiting;
        const bool hasChange = !isHistoryGone && m_store.latest() > balancer->cursor;
        call.isDone = isOver || hasChange || call.isHistoryGone;
        if (call.isDone && !call.isHistoryGone)
            call.version = hasChange ? m_store.latest() : balancer->cursor;
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
        if (call.isList || *call.version > balancer->cursor)
            balancer->cursorAt = m_now;
        balancer->cursor = *call.version;
        packet_actions actions;
        balancer->core->applyRoutes(routesOfVersion(*call.version), m_now, &actions);
        balancer->core->storeConfirmedRoutes({call.sentAt, *call.version}, m_now, &actions);
        send(*balancer, &actions);
        if (m_schedule.hasOnlyMissedChanges)
            failAfterMissedChange(balancer, call);
    }

    void startCallIfDue(simulated_balancer *balancer)
    {
        if (balancer->call || m_now < balancer->nextCallAt)
            return;
        if (balancer->cursor != 0 && !balancer->core->watchesRoutes(m_now)) {
            balancer->wasIdle = true;
            return;
        }
        if (m_now - m_startedAt >= kStartTime)
            ++m_outcome.storeCalls;
        balancer->call = store_call{.isList = balancer->cursor == 0 || std::exchange(balancer->wasIdle, false),
                                    .sentAt = m_now,
                                    .listDoneAt = m_now + within(kMaxStoreDelayMs)};
    }

    void fetchIfNeeded(simulated_balancer *balancer)
    {
        if (balancer->failedFetch && m_now >= balancer->nextFetchAt)
            balancer->core->routesFetchFailed(*std::exchange(balancer->failedFetch, std::nullopt));
        const auto source = balancer->core->newerRoutes();
        if (!source || !balancer->core->needsNewerRoutes(m_now) || m_now < balancer->nextFetchAt)
            return;
        const simulated_balancer *const peer = find(source->http);
        const bool isReachable = peer != nullptr && peer->core && m_now >= peer->pausedUntil && m_now >= peer->muteUntil
                                 && m_now >= peer->deafUntil && m_now >= balancer->muteUntil
                                 && m_now >= balancer->deafUntil;
        balancer->nextFetchAt = m_now + (isReachable ? kFetchTime : kFetchDeadline);
        if (!isReachable) {
            balancer->failedFetch = source;
            return;
        }
        packet_actions actions;
        balancer->core->applyRoutes(routesOfVersion(peer->core->routesVersion()), m_now, &actions);
        send(*balancer, &actions);
    }

    void check(simulated_balancer *balancer)
    {
        const bool isCalm =
            m_now - balancer->faultEnd() >= m_schedule.limit && m_now - m_store.downUntil >= m_schedule.limit;
        const std::uint64_t required = m_store.confirmedBefore(m_now - m_schedule.limit);
        if (!isCalm || balancer->core->routesVersion() >= required || balancer->staleVersion == required)
            return;
        balancer->staleVersion = required;
        ++m_outcome.staleRoutes;
    }

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
