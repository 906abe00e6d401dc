#pragma once

/// @file
/// Threads that keep a packet program in step with the platform's store.

#include "citroncrank/packet_balancer.h"
#include "citroncrank/plane_settings.h"
#include "citroncrank/route_set.h"

#include "platform_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace citroncrank {

class change_pacing;
class watch_cursor;

/// Writes a line about the store to the log. Called in the worker's thread.
using store_log = std::function<void(const std::string &text)>;

/// Thread that repeats a step with pauses between.
class worker_thread
{
public:
    worker_thread() = default;
    /// A derived class calls stop() in its own destructor, before its members end.
    virtual ~worker_thread() = default;
    worker_thread(const worker_thread &) = delete;
    worker_thread &operator=(const worker_thread &) = delete;

    void start();
    /// Ends the step in progress and the thread.
    void stop();
    /// Ends the pause between two steps.
    void wake();

protected:
    /// Returns how long to pause before the next step, or nullopt when the work is done.
    virtual std::optional<duration> step() = 0;
    /// Lets a step that waits for another process end. Called in the thread of stop().
    virtual void interrupt() {}

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopped = false;
    bool m_isWoken = false;
    std::thread m_thread;
};

/// Worker with a store client of its own. Reports the store as lost and back, and waits between failed calls.
class store_worker : public worker_thread
{
public:
    store_worker(std::string name, const host_address &store, store_log log);
    ~store_worker() override;

protected:
    void interrupt() override { m_store.stop(); }
    object_store &store() { return m_store; }
    /// Notes the outcome of a call. Returns the wait before the next call: none after a success, growing with each
    /// failure in a row.
    duration noteCall(bool succeeded, platform_failure reason);
    /// Where the next awaitChanges() starts.
    watch_cursor &cursor() { return *m_cursor; }
    /// Waits for changes behind the cursor. Nullopt and the wait before the next step if the call brought none to use.
    std::optional<watch_result> awaitChanges(const char *prefix, std::chrono::milliseconds wait, duration *pause);
    void log(const std::string &text) const { m_log(m_name + ": " + text); }

private:
    std::string m_name;
    store_log m_log;
    platform::platform_store m_store;
    std::unique_ptr<watch_cursor> m_cursor;
    std::minstd_rand m_random;
    std::uint32_t m_failuresInRow = 0;
    bool m_isLost = false;
};

/// Watches the operator's configuration.
class config_worker : public store_worker
{
public:
    /// Called in the worker's thread. The text is the document as stored.
    using receiver = std::function<void(std::shared_ptr<const route_set> routes, std::string text)>;
    /// Balancer that may be asked for the routes while the store does not answer.
    using fallback = std::function<std::optional<routes_offer>()>;

    config_worker(const host_address &store, receiver receive, fallback peer, store_log log);
    ~config_worker() override;

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> read();
    std::optional<duration> wait();
    void take(const std::string &text);
    void askPeer();

    receiver m_receive;
    fallback m_peer;
};

/// Asks other balancers for a version that this one lacks.
class peer_routes_worker : public worker_thread
{
public:
    peer_routes_worker(config_worker::receiver receive, config_worker::fallback peer, store_log log);
    ~peer_routes_worker() override { stop(); }

protected:
    std::optional<duration> step() override;

private:
    void fetch(const routes_offer &offer);

    config_worker::receiver m_receive;
    config_worker::fallback m_peer;
    store_log m_log;
    bool m_isMissing = false; ///< A newer version was seen at the last step.
};

/// Keeps this node's entry in the store and reads the others'. A balancer goes on watching them; an agent waits for renewEntry()
/// once both is done, since balancers make themselves known to it.
class nodes_worker : public store_worker
{
public:
    using receiver = std::function<void(std::vector<listed_node> nodes)>;
    /// Nodes whose entries are to be removed.
    using forgotten_source = std::function<std::vector<host_address>()>;

    nodes_worker(const host_address &store, std::string nodeName, listed_node self, bool goesOnWatching,
                 receiver receive, store_log log);
    ~nodes_worker() override;

    /// Lets the worker write this node's entry. An agent is listed once its upstream has announced itself.
    /// `slots` is 0 for a balancer.
    void allowEntry(std::uint32_t slots);
    /// Lets the worker read the entries again and write this node's if it is missing.
    void renewEntry();
    /// Lets the worker remove entries. Must be called before start().
    void removeForgotten(forgotten_source source) { m_forgotten = std::move(source); }
    /// Removes this node's entry, for a node that does not come back. Call after stop(). Waits for the store a short time.
    void removeOwn();

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> readAll();
    std::optional<duration> checkOwn();
    std::optional<duration> writeOwn();
    void removeEntries();
    std::optional<duration> wait();
    void publish();

    std::string m_key;
    listed_node m_self;
    bool m_goesOnWatching;
    std::unique_ptr<change_pacing> m_pacing;
    receiver m_receive;
    forgotten_source m_forgotten;
    std::map<std::string, object_entry> m_entries;
    std::atomic<bool> m_isEntryAllowed = false;
    std::atomic<bool> m_isRenewalAsked = false;
    std::atomic<std::uint32_t> m_slots = 0;
    bool m_isOwnWritten = false;
    object_version m_ownVersion = 0;
    host_address m_storeAddress;
};

/// Entry of a node as JSON.
std::string formatNode(const listed_node &node);
/// Inverse of formatNode(). Nullopt for an entry of another writer.
std::optional<listed_node> parseNode(const std::string &text);

} // namespace citroncrank
