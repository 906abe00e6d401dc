#pragma once

/// @file
/// One schedule of routes_watch_simulation_pvt.h: its store, its balancers, and what happens to them.

#include "routes_watch_simulation_pvt.h"

#include "citroncrank/packet_balancer.h"
#include "citroncrank/watch_timing.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace citroncrank::simulation {

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
    time_point olderUntil;       ///< Until then it held an older version than the latest confirmed one.
    time_point rewrittenAt;      ///< The operator writes the latest version again after the return from an older copy.
    std::uint64_t era = 1;       ///< Rises with each return from an older copy.
    time_point historyDroppedAt; ///< Watches that waited then report no later change.

    std::uint64_t latest() const { return versions.empty() ? 0 : versions.back().version; }
    std::uint64_t stored() const { return writes.back(); }
    std::uint64_t revision() const { return writes.size(); }
    /// Newest version among the writes after a revision, which a watch reports one by one.
    std::uint64_t newestAfter(std::uint64_t after) const
    {
        return *std::max_element(writes.begin() + std::ptrdiff_t(after), writes.end());
    }
    time_point faultEnd() const { return std::max({downUntil, slowUntil, olderUntil, rewrittenAt}); }
    bool holdsLatest() const { return writes.empty() || stored() == latest(); }
    void write(std::uint64_t version, time_point now)
    {
        if (!holdsLatest())
            olderUntil = now;
        writes.push_back(version);
    }
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
    std::uint64_t era = 0; ///< That the answer tells.
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
    std::uint64_t era = 0;    ///< Of the cursor.
    time_point busyUntil;     ///< It takes no configuration: its event loop is full, or it cannot read them.
    time_point cursorAt;
    std::uint64_t storedVersion = 0; ///< Of the store's last answer.
    bool wasIdle = false;
    time_point nextCallAt;
    time_point nextFetchAt;
    time_point behindSince;                   ///< Since when another balancer has newer routes.
    std::optional<routes_source> failedFetch; ///< Known to the balancer at nextFetchAt.
    std::uint64_t judgedVersion = 0;          ///< Latest version that was required here.
    std::uint64_t staleVersion = 0;           ///< Version whose absence has been counted.

    time_point faultEnd() const
    {
        return std::max({downUntil, pausedUntil, storeCutUntil, turnedAwayUntil, muteUntil, deafUntil, busyUntil});
    }
};

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

class routes_watch_run
{
public:
    explicit routes_watch_run(const routes_watch_schedule &schedule);
    routes_watch_outcome run();

private:
    static host_address addressOf(std::size_t index) { return {0x0A000001 + std::uint32_t(index), 7000}; }
    std::string domainName(std::size_t domain) const { return "rvk-" + std::to_string(domain); }
    duration within(int limitMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, limitMs)(m_random));
    }
    bool occurs(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    simulated_balancer &anyBalancer()
    {
        return m_balancers[std::uniform_int_distribution<std::size_t>(0, m_balancers.size() - 1)(m_random)];
    }
    time_point localTime(const simulated_balancer &balancer) const { return m_now - balancer.clockLag; }

    void confirmVersion();
    void startCore(simulated_balancer *balancer);
    bool isBlocked(const simulated_balancer &from, const simulated_balancer &to) const;
    void send(const simulated_balancer &from, packet_actions *actions);
    simulated_balancer *find(const host_address &address);
    void deliverDue();
    bool reachesStore(const simulated_balancer &balancer) const;
    void advance(simulated_balancer *balancer, std::uint64_t step);
    void answerCall(simulated_balancer *balancer);
    void processCall(simulated_balancer *balancer);
    void startCallIfDue(simulated_balancer *balancer);
    duration answerDelay();
    void hearEra(simulated_balancer *balancer, std::uint64_t era);
    void fetchIfNeeded(simulated_balancer *balancer);
    void check(simulated_balancer *balancer);

    void injectFault();
    void injectDeploymentFault();
    /// A write that was not answered is done after its successor was confirmed.
    void writeLate();
    void suspend(simulated_balancer *balancer, duration length);
    void turnSomeAway();
    /// Any balancers, or all that watch, take no configuration.
    void keepSomeBusy();
    /// The store loses its latest writes. The operator writes the latest version again a little later.
    void restoreStore();
    void rewriteIfDue();
    /// Nothing passes from one failure domain to another one, or into one at all.
    void blockPaths();
    void restartNext();
    void injectMissedChange();
    time_point *anyFaultOf(simulated_balancer *balancer);
    /// The balancer fails as soon as its watch has ended without the change that it missed.
    void failAfterMissedChange(simulated_balancer *balancer, const store_call &call);
    /// All balancers that watch fail in the same way at once, right before a change.
    void failWatchers();

    routes_watch_schedule m_schedule;
    watch_timing m_timing;
    std::mt19937_64 m_random;
    time_point m_startedAt{std::chrono::seconds(100)};
    time_point m_now = m_startedAt;
    store_state m_store;
    std::vector<simulated_balancer> m_balancers;
    blocked_path m_blocked;
    time_point m_blockedUntil;
    bool m_isRewriteDue = false;
    std::size_t m_rollNext = SIZE_MAX; ///< Balancer that is restarted next.
    time_point m_rollAt;
    time_point m_nextMissedChange = m_startedAt + std::chrono::seconds(10);
    std::multimap<time_point, datagram> m_datagrams;
    routes_watch_outcome m_outcome;
};

} // namespace citroncrank::simulation
