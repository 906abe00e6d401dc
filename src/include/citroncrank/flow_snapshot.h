#pragma once

/// @file
/// Open flows of an upstream as its agent keeps them outside the host, for the agent's next start. A snapshot is a hint: it may be
/// seconds old, and nothing is done with it without evidence of the upstream that runs at present.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// A flow that its caller and the upstream held open.
struct snapshot_flow
{
    flow_key flow;
    std::uint32_t callerAcknowledged = 0; ///< Last seen. A reset must lie close to the caller's present one.
    auto operator<=>(const snapshot_flow &) const = default;
};

struct flow_snapshot
{
    std::uint64_t upstreamStartedAtMs = 0; ///< Start of the upstream that held the flows, as it announced it.
    std::vector<snapshot_flow> flows;      ///< Ordered, each flow once. At most kMaxSnapshotFlows.
    auto operator<=>(const flow_snapshot &) const = default;
};

/// A snapshot of this size stays under the size that the store takes (1 MiB).
constexpr std::size_t kMaxSnapshotFlows = 20'000;

/// Why a stored snapshot cannot be used.
enum class snapshot_fault : std::uint8_t {
    not_text,       ///< No text in the notation of snapshots.
    wrong_checksum, ///< Changed since it was written.
    malformed,      ///< Of another version or writer.
};
const char *toString(snapshot_fault fault);

/// Encodes a snapshot as one line of text: about 27 bytes a flow.
std::string formatFlowSnapshot(const flow_snapshot &snapshot);

/// Inverse of formatFlowSnapshot(). Returns nullopt for anything else, and then stores the cause in `lastReason`, which must not
/// be null.
std::optional<flow_snapshot> parseFlowSnapshot(std::string_view text, snapshot_fault *lastReason);

/// What is known of the upstream that runs beside the agent at present.
struct upstream_evidence
{
    bool isAbsent = false; ///< Nothing listened at its address when the agent started, and it has not announced itself.
    std::optional<std::uint64_t> startedAtMs; ///< As it announced it.
    bool isStartSeen = false;                 ///< The agent got one of its first announcements.
    std::uint32_t announcements = 0;          ///< Accepted ones of this start.
    auto operator<=>(const upstream_evidence &) const = default;
};

/// What became of the flows of a snapshot.
enum class snapshot_verdict : std::uint8_t {
    unknown,
    living, ///< Their upstream runs.
    dead,   ///< Their upstream has ended.
};
const char *toString(snapshot_verdict verdict);

snapshot_verdict evaluateSnapshot(const flow_snapshot &snapshot, const upstream_evidence &evidence);

/// Decides when a snapshot is written. Answers idle flows that are opened at a steady rate, and many flows that are opened at once.
/// Not thread safe.
class snapshot_schedule
{
public:
    /// Whether `current` is to be written now. Two writes are at least `shortestPause` apart.
    bool isDue(const flow_snapshot &current, duration shortestPause, time_point now) const;
    /// `written` was handed to the store.
    void noteWritten(flow_snapshot written, time_point now);

private:
    flow_snapshot m_written;
    std::optional<time_point> m_writtenAt;
};

/// Pause between two snapshots of one agent, such that `agents` of them together take at most a tenth of the store's writing
/// calls.
duration snapshotIntervalForFleet(std::size_t agents, std::uint32_t storeWritesPerSecond);

} // namespace citroncrank
