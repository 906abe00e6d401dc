#pragma once

/// @file
/// Snapshot of the open flows of an upstream. Its agent writes it to the object store and reads it after its next
/// start. A snapshot may be seconds old, so it is used only once there is evidence of which start of the upstream is
/// running.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// A flow that was open at both its caller and the upstream.
struct snapshot_flow
{
    flow_key flow;
    std::uint32_t callerAcknowledged = 0; ///< Last seen. Callers ignore a reset too far from their current one.
    auto operator<=>(const snapshot_flow &) const = default;
};

struct flow_snapshot
{
    std::uint64_t upstreamStartedAtMs = 0; ///< Announced start time of the upstream that held the flows.
    std::vector<snapshot_flow> flows;      ///< Sorted and unique. At most kMaxSnapshotFlows.
    auto operator<=>(const flow_snapshot &) const = default;
};

bool contains(const flow_snapshot &snapshot, const flow_key &flow);

/// The encoded snapshot stays below the store's limit of 1 MiB per object.
constexpr std::size_t kMaxSnapshotFlows = 20'000;

/// Why a stored snapshot cannot be used.
enum class snapshot_fault : std::uint8_t {
    not_text,       ///< Too short for a checksum, or not Base64.
    wrong_checksum, ///< Changed since it was written.
    malformed,      ///< Written in another format or by another program.
};
const char *toString(snapshot_fault fault);

/// Encodes a snapshot as one line of text, about 27 bytes per flow.
std::string formatFlowSnapshot(const flow_snapshot &snapshot);

/// Inverse of formatFlowSnapshot(). Returns nullopt for any other text and stores the cause in `lastReason`, which must
/// not be null.
std::optional<flow_snapshot> parseFlowSnapshot(std::string_view text, snapshot_fault *lastReason);

/// What the agent knows about the current start of its upstream.
struct upstream_evidence
{
    bool isAbsent = false; ///< Nothing listened at its address when the agent started, and it has not announced itself.
    std::optional<std::uint64_t> startedAtMs; ///< Start time in its announcements.
    bool isProven = false;                    ///< The start is proven to be the living one, see upstream_starts.
    auto operator<=>(const upstream_evidence &) const = default;
};

/// Whether the flows of a snapshot still exist.
enum class snapshot_verdict : std::uint8_t {
    unknown,
    living, ///< The start of the upstream that held them is still running.
    dead,   ///< That start has ended.
};
const char *toString(snapshot_verdict verdict);

snapshot_verdict evaluateSnapshot(const flow_snapshot &snapshot, const upstream_evidence &evidence);

/// Decides when a snapshot is written: soon after many flows were opened at once, and after a few seconds for single
/// new flows. Not thread safe.
class snapshot_schedule
{
public:
    /// Whether `current` should be written now. Two writes are at least `minInterval` apart.
    bool isDue(const flow_snapshot &current, duration minInterval, time_point now) const;
    /// Records that `written` was passed to the store.
    void recordWritten(flow_snapshot written, time_point now);

private:
    flow_snapshot m_written;
    std::optional<time_point> m_writtenAt;
};

/// Shortest interval between two snapshots of one agent at which `agents` agents together use at most a tenth of the
/// store's write calls.
duration snapshotIntervalForFleet(std::size_t agents, std::uint32_t storeWritesPerSecond);

} // namespace citroncrank
