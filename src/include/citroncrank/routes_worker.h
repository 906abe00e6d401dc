#pragma once

/// @file
/// Threads that update a balancer's routes when the operator's configuration changes.

#include "citroncrank/http_connection.h"
#include "citroncrank/packet_balancer.h"
#include "citroncrank/route_set.h"
#include "citroncrank/store_worker.h"
#include "citroncrank/watch_timing.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace citroncrank {

/// All balancers apply a configuration within this time of its confirmation to the operator, unless the settings tell
/// another time.
constexpr std::chrono::milliseconds kDefaultConfigurationTime{3000};

/// Deadline of a call that reads routes from another balancer, until the answer begins.
constexpr std::chrono::milliseconds kPeerCallDeadline{500};

/// Longest deadline of such a call. A round trip over the full link of a small host takes about half a second, and a call on
/// a new connection needs two.
constexpr std::chrono::milliseconds kMaxPeerCallDeadline{2000};

/// How the workers read routes from other balancers.
struct peer_routes_access
{
    /// Returns a balancer that has newer routes. Called in a worker's thread, like fail.
    std::function<std::optional<routes_source>()> source = [] { return std::nullopt; };
    /// Called when the routes could not be read from the balancer.
    std::function<void(const routes_source &source)> fail = [](const routes_source &) {};
};

/// Called in a worker's thread. The text is the document as stored. Returns false if it cannot take them now; the worker
/// then reads them again.
using routes_receiver = std::function<bool(std::shared_ptr<const route_set> routes, std::string text)>;

/// Reads newer routes from other balancers, one call at a time.
class peer_routes_reader
{
public:
    /// The deadline doubles with each failure in a row up to `maxDeadline`.
    peer_routes_reader(routes_receiver receive, peer_routes_access peers, store_log log,
                       std::chrono::milliseconds maxDeadline = kPeerCallDeadline);

    /// Reads from the source that is known now, if there is one.
    void read();
    /// Ends the call in progress, and all later ones at once. May be called from any thread.
    void interrupt();

private:
    struct fetched_routes
    {
        std::shared_ptr<const route_set> routes;
        std::string text;
    };

    std::optional<std::string> fetch(const host_address &peer);
    std::optional<fetched_routes> fetchAnnounced(const routes_source &source, std::string *lastReason);

    routes_receiver m_receive;
    peer_routes_access m_peers;
    store_log m_log;
    std::chrono::milliseconds m_deadline = kPeerCallDeadline; ///< Of the next call.
    std::chrono::milliseconds m_maxDeadline;
    std::mutex m_mutex;
    http_connection *m_connection = nullptr; ///< Of the call in progress.
    bool m_isInterrupted = false;
};

/// Watches the operator's configuration in the platform's store.
class routes_worker : public store_worker
{
public:
    using receiver = routes_receiver;
    /// Called in the worker's thread after each answer of the store, unless its configuration could not be read or received.
    using confirmation_receiver = std::function<void(const routes_confirmation &answer)>;

    /// `peers`: read while the store does not answer.
    routes_worker(const store_access &access, receiver receive, confirmation_receiver confirm, peer_routes_access peers,
                  const watch_timing &timing = watchTimingFor(kDefaultConfigurationTime));
    ~routes_worker() override;

    /// Whether to watch, which it does from the start on. Otherwise it calls the store only after a restore of it. May be
    /// called from any thread.
    void setWatching(bool isWatching);

protected:
    std::optional<duration> step() override;
    void interrupt() override;

private:
    std::optional<duration> listConfig();
    std::optional<duration> watchConfig();
    /// Returns the version that it has passed on. Nullopt: the document cannot be read, or the receiver cannot take it.
    std::optional<std::uint64_t> applyDocument(const std::string &text);
    void confirm(time_point at) const;
    duration pauseAfterRefusal();

    receiver m_receive;
    confirmation_receiver m_confirm;
    peer_routes_reader m_peerReader;
    std::chrono::milliseconds m_wait;
    std::optional<std::uint64_t> m_storedVersion; ///< That the store holds, 0: none. Nullopt: unknown or not passed on.
    bool m_isRefused = false;                     ///< The receiver could not take the last document.
    std::atomic<bool> m_isWatching = true;
    bool m_wasIdle = false; ///< The last step did not call the store.
};

/// Fetches a version of the routes that this balancer lacks from another balancer.
class peer_routes_worker : public worker_thread
{
public:
    peer_routes_worker(const routes_receiver &receive, const peer_routes_access &peers, const store_log &log);
    ~peer_routes_worker() override { stop(); }

    /// Fetches the newer routes without delay. May be called from any thread.
    void fetchNow();

protected:
    std::optional<duration> step() override;
    void interrupt() override { m_reader.interrupt(); }

private:
    peer_routes_access m_peers;
    peer_routes_reader m_reader;
    bool m_wasBehind = false; ///< Another balancer had a newer version at the last step.
    std::atomic<bool> m_isUrgent = false;
};

} // namespace citroncrank
