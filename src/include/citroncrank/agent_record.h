#pragma once

/// @file
/// What a balancer knows of one agent.

#include "citroncrank/node_message.h"
#include "citroncrank/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace citroncrank {

/// How usable an agent is for new flows. Lower is better.
enum class agent_availability : std::uint8_t {
    ready,
    unconfirmed, ///< Its upstream has not sent an announcement yet.
    failing,     ///< Its upstream fails requests.
    silent,      ///< Listed or reported before, but its reports are overdue.
    excluded,    ///< Its upstream is draining, silent or gone, or the agent is about to restart.
};

/// One agent.
struct agent_record
{
    host_address address;
    agent_report report;                   ///< Only service and domain are set before the first report.
    std::optional<time_point> lastHeardAt; ///< Of the last report.
    std::optional<time_point> loadKnownAt; ///< Time of the load in `report`, which may be newer than the report.
    std::uint32_t sentSinceLoad = 0;       ///< New flows that this balancer sent to it after that load was measured.
    std::uint32_t sentSinceReport = 0;     ///< New flows that this balancer sent to it after the last report.
    bool isListed = false;                 ///< The object store has an entry for it.
    std::optional<time_point> listedAt;    ///< Time when the agent last became listed or was named.
    bool isNamedByBalancer = false;        ///< Another balancer has named it as an agent that reports without an entry.
    bool wasEntryMissing = false;          ///< Reported without an entry when takeMissingEntries() was last called.
    bool isSilenceReported = false;        ///< takeNewlySilent() has returned it since its last report.
    std::optional<time_point> lastReplyAt; ///< Of the last message other than a report.
    std::uint32_t unansweredQueries = 0;   ///< Owner queries sent after its last message.
    std::optional<time_point> firstUnansweredAt; ///< When the first of the unanswered queries was sent.
    std::optional<time_point> lastQueriedAt;     ///< When the last owner query was sent.
    auto operator<=>(const agent_record &) const = default;
};

} // namespace citroncrank
