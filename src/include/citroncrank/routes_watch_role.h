#pragma once

/// @file
/// Decides which balancers of a failure domain watch the configuration in the object store.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace citroncrank {

struct routes_watch_settings
{
    std::size_t watchers = 3; ///< Balancers of a failure domain that watch while all of them can.
    /// Longest time without a confirmation before a balancer watches by itself.
    duration confirmationTimeout = std::chrono::seconds(2);
    auto operator<=>(const routes_watch_settings &) const = default;
};

/// What an answer of the object store has shown about the routes.
struct routes_confirmation
{
    time_point at;             ///< The store held no newer version at this moment.
    std::uint64_t version = 0; ///< Of the routes that it held. 0: none.
    auto operator<=>(const routes_confirmation &) const = default;
};

/// Why a balancer watches the object store itself, or that it does not.
enum class watch_reason : std::uint8_t {
    none,            ///< It does not watch.
    no_confirmation, ///< No other balancer has confirmed the routes in force within the time-out.
    fetch_failed,    ///< Newer routes exist and could not be read from the balancer that has them.
    replaced,        ///< Other nodes have had newer routes in force for long.
    first_in_order,  ///< Fewer watchers than configured come before it.
};

const char *toString(watch_reason reason);

/// Watchers tell the balancers of their failure domain that the object store holds no newer routes than theirs. A
/// balancer watches by itself unless it hears enough watchers that come before it in a fixed random order, and one of
/// them has just confirmed the routes that it has in force. No election is needed, and silence of any cause leads to more
/// calls to the store, never to older routes. Not thread safe.
class routes_watch_role
{
public:
    routes_watch_role(const host_address &self, const routes_watch_settings &settings);

    /// Records that another balancer of the failure domain found no newer routes than `version` in the store at `when`.
    void recordConfirmation(const host_address &from, std::uint64_t version, time_point when, time_point now);
    /// Whether this balancer watches. `version`: routes in force here, 0 for none.
    bool isWatcher(std::uint64_t version, time_point now) const
    {
        return watchReason(version, now) != watch_reason::none;
    }
    watch_reason watchReason(std::uint64_t version, time_point now) const;
    /// When the object store held no newer routes than `version`, as far as another balancer has told. Nullopt: unknown.
    std::optional<time_point> confirmedAt(std::uint64_t version) const;
    void changeSettings(const routes_watch_settings &settings) { m_settings = settings; }

private:
    std::uint64_t rank(const host_address &balancer) const;
    duration watcherTimeout() const;

    host_address m_self;
    routes_watch_settings m_settings;
    absl::btree_map<host_address, time_point> m_heardAt;      ///< When each watcher was last heard.
    absl::btree_map<std::uint64_t, time_point> m_confirmedAt; ///< When the store last confirmed each version.
};

} // namespace citroncrank
