#pragma once

/// @file
/// Stand-in of the platform: object API over HTTP with JSON and with fault injection. Test use only.

#include "citroncrank/standin_http_server.h"
#include "citroncrank/versioned_objects.h"

#include <list>

namespace citroncrank {

/// Faults that tests inject.
struct standin_platform_switches
{
    bool down = false;                 ///< Every API call gets status 503.
    std::chrono::milliseconds slow{0}; ///< Delay before each call is executed.
    std::uint32_t loseAnswers = 0;     ///< Next writes that are executed, their connections closed without a response.
    std::chrono::milliseconds delayWatches{0}; ///< Delay before each response to a watch.
};

/// Serves docs/platform-api.md and, over the same objects, the API of the users' metadata store. Single-threaded: all
/// handlers run in the io_context.
class standin_platform
{
public:
    /// Starts listening. Throws boost::system::system_error if the address cannot be bound.
    standin_platform(boost::asio::io_context &context, const host_address &listen);

    std::uint16_t port() const { return m_server.port(); }
    void setSwitches(const standin_platform_switches &switches);
    versioned_objects &objects() { return m_objects; }
    /// Watches that wait for changes.
    std::size_t waitingWatches() const { return m_watches.size(); }
    /// Keeps a copy of all objects for restoreCopy().
    void copyObjects() { m_copy = m_objects; }
    /// Brings the objects of the copy back, as after a failure of the store. Waiting watches end with status 503 if
    /// `endsWatches`, and go on at their numbers otherwise, like watches that begin right after the return.
    void restoreCopy(bool endsWatches = true);

    /// Drops the changes so far: waiting watches of the metadata store end without them, and later ones from before get
    /// status 410.
    /// Call after a change that a test has made to objects() itself.
    void answerWatches(const std::string &changedKey);
    void dropHistory() { m_historyFrom = m_objects.version(); }

private:
    using exchange_pointer = std::shared_ptr<standin_exchange>;
    struct waiting_watch;

    void handle(const exchange_pointer &exchange);
    void handleAdmin(const exchange_pointer &exchange);
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    void handleObjectCall(const exchange_pointer &exchange);
    void runOnObject(const exchange_pointer &exchange, const std::string &key);
    void runStoreCall(const exchange_pointer &exchange);
    void runStoreRead(const exchange_pointer &exchange, const std::string &kind, const std::string &name);
    void runStoreWrite(const exchange_pointer &exchange, const std::string &kind, const std::string &name);
    void answerStoreWrite(const exchange_pointer &exchange, const std::string &key,
                          const std::optional<write_number> &version, platform_failure failure);
    void runList(const exchange_pointer &exchange);
    void runWatch(const exchange_pointer &exchange);
    void waitForChanges(const std::shared_ptr<waiting_watch> &watch, std::uint64_t waitMs);
    void answerWrite(const exchange_pointer &exchange, const std::string &key,
                     const std::optional<write_number> &version, platform_failure failure);
    void endWatches();
    void answerWatch(const std::shared_ptr<waiting_watch> &watch);
    void countCall(const std::string &name);
    std::string countsAsJson() const;
    std::string switchesAsJson() const;
    void respond(const exchange_pointer &exchange, standin_response response) const;
    bool applySwitches(const std::string &text);

    boost::asio::io_context &m_context;
    versioned_objects m_objects;
    versioned_objects m_copy;
    write_number m_historyFrom = 0; ///< Earlier changes have been dropped.
    standin_platform_switches m_switches;
    std::map<std::string, std::uint64_t> m_counts;
    std::list<std::shared_ptr<waiting_watch>> m_watches;
    standin_http_server m_server;
};

} // namespace citroncrank
