#pragma once

/// @file
/// Calls to the platform on separate threads, so that an outage never delays a decision.

#include "citroncrank/bounded_ring.h"
#include "citroncrank/config_dissemination.h"
#include "citroncrank/object_store.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace citroncrank {

/// Read the seed objects of all failure domains.
struct read_rosters
{};
/// Change the seed object of a failure domain. Entries of the stored object that `base` lacks were added by another node
/// since `base` was read and are kept.
struct write_roster
{
    std::string domain;
    std::vector<host_address> base;
    std::vector<host_address> addresses;
};
using platform_request =
    std::variant<read_platform, write_in_force_record, write_lost_revisions, read_rosters, write_roster>;

/// Seed addresses by failure domain.
struct rosters_read
{
    std::map<std::string, std::vector<host_address>> addresses;
};
struct rosters_failed
{
    platform_failure reason = platform_failure::unavailable;
};
/// Reply of the platform, as the event that its receiver handles.
using platform_reply = std::variant<config_dissemination_event, rosters_read, rosters_failed>;

/// One thread for calls and one for the watch on configuration revisions.
class platform_worker
{
public:
    explicit platform_worker(const host_address &platform);
    ~platform_worker();

    /// Queues a call. It is dropped when the queue is full; each requester retries on its own timer.
    void request(platform_request call);
    void startWatch(std::uint64_t above);
    void stopWatch();
    bounded_ring<platform_reply> &replies() { return m_replies; }
    /// Calls made since the start, a watch counted as one.
    std::uint64_t calls() const { return m_calls; }
    /// Era that the platform named last. 0: unknown.
    store_era era() const { return m_era; }

private:
    struct call_handler;

    void runCalls();
    void runWatch();
    bool initializeWatch(std::uint64_t above, object_version *from);
    bool watchOnce(object_version *from);
    void reply(platform_reply answer);
    /// Reports a restore of the platform, if the era of its last answer to `store` is later than the latest one.
    void recordEra(const object_store &store);

    http_object_store m_callStore;
    http_object_store m_watchStore;
    bounded_ring<platform_request> m_requests{256};
    bounded_ring<platform_reply> m_replies{1024};
    std::atomic<std::uint64_t> m_calls{0};
    std::atomic<store_era> m_era{0};
    std::mutex m_watchMutex;
    std::condition_variable m_watchChanged;
    bool m_watchEnabled = false;
    bool m_stopping = false;
    std::uint64_t m_watchAbove = 0;
    std::thread m_callThread;
    std::thread m_watchThread;
};

/// Object key of the seed object of a failure domain.
std::string rosterKey(const std::string &domain);

} // namespace citroncrank
