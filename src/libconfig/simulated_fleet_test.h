#pragma once

/// @file
/// Parts of the fleet that config_dissemination_simulation_test.h simulates.

#include "citroncrank/config_dissemination.h"
#include "citroncrank/config_log.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace citroncrank {

/// Time within which an accepted revision must be in force on every node.
inline constexpr duration kInForceTimeLimit = std::chrono::seconds(11);

inline config_revision makeDraft(std::uint64_t base, std::uint64_t seed)
{
    config_revision revision{.changeId = makeChangeId(base, seed), .author = "Amina", .reason = "change"};
    revision.acceptedAt = wall_time(std::chrono::seconds(1'000'000));
    revision.defaults["retry.burst"] = std::int64_t(seed % 1000);
    return revision;
}

struct simulated_node
{
    std::string name;
    std::string domain;
    std::unique_ptr<config_dissemination> dissemination; ///< Empty while the host is down.
    std::optional<std::uint64_t> watchAbove;
    std::uint64_t highest = 0;
    std::uint64_t incarnation = 0;
    duration wallOffset{0};
    time_point faultEndedAt; ///< Last start, or end of the last partition of its failure domain.
    std::uint64_t knownEra = 0;
};

struct simulated_operator
{
    config_log log;
    config_revision draft;
    std::uint64_t base = 0;
    std::uint64_t era = 0; ///< Era of the platform when the proposal began.
    bool busy = false;
};

/// How the platform returns from an outage.
enum class platform_return : std::uint8_t {
    complete,
    from_copy,            ///< It has lost the writes of the last seconds.
    from_copy_unattended, ///< The same, and nodes ignore it. Baseline.
};

} // namespace citroncrank
