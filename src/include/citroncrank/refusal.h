#pragma once

/// @file
/// What agents and balancers observe of waiting and refused requests, for metrics.

#include "citroncrank/time.h"

#include <array>
#include <compare>
#include <cstdint>

namespace citroncrank {

/// Why an opening was refused although the service has a route and upstreams.
enum class refusal_cause : std::uint8_t {
    no_room,      ///< The flow table is full.
    no_time,      ///< The request could not be answered before its caller times out.
    cold,         ///< The cold upstream has received as many new flows as it bears.
    evacuated,    ///< The failure domain is evacuated.
    retry_budget, ///< An agent refused it, and the balancer's budget for a further agent is used up.
};
constexpr int kRefusalCauseCount = 5;
const char *toString(refusal_cause cause);

/// Refused openings by cause since the start of the process.
using refusal_counts = std::array<std::uint64_t, kRefusalCauseCount>;

enum class wait_kind : std::uint8_t {
    estimated, ///< Expected wait of a request when its flow was opened or refused.
    actual,    ///< Time from the arrival of a request until the upstream got it.
};

/// Wait of one request for a slot.
struct wait_observation
{
    wait_kind kind = wait_kind::actual;
    std::uint32_t priority = 0;
    duration wait{0};
    auto operator<=>(const wait_observation &) const = default;
};

} // namespace citroncrank
