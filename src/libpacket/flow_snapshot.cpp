#include "citroncrank/flow_snapshot.h"

#include "generated/flow_snapshot_generated.h"

#include "citroncrank/ids.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

namespace wire = snapshot_wire;

constexpr std::uint64_t kChecksumSeed = 1;
// The encoded bytes follow a checksum of this many hexadecimal digits.
constexpr std::size_t kChecksumDigits = 16;

// A snapshot that lacks this fraction of the open flows (one in kMissingFlowsDivisor) is rewritten after the minimum
// interval.
constexpr std::size_t kMissingFlowsDivisor = 10;
// A single missing flow is written after at most this time.
constexpr duration kMaxSnapshotDelay = std::chrono::seconds(5);
// A reset is accepted within 76,800 bytes of the caller's acknowledgement, so the snapshot is rewritten well before
// that.
constexpr std::int32_t kMaxAcknowledgementDriftBytes = 25'000;
// All agents together may use one in this many of the store's write calls.
constexpr std::int64_t kStoreWritesDivisor = 10;

std::string formatChecksum(std::string_view encoded)
{
    return absl::StrCat(absl::Hex(hashString(std::string(encoded), kChecksumSeed), absl::kZeroPad16));
}

wire::Address toWire(const host_address &address)
{
    return {address.ip, address.port};
}

host_address fromWire(const wire::Address &address)
{
    return {address.ip(), address.port()};
}

/// Number of flows in `current` that are missing from `written` or outdated there.
std::size_t countMissingFlows(const flow_snapshot &written, const flow_snapshot &current)
{
    if (written.upstreamStartedAtMs != current.upstreamStartedAtMs)
        return current.flows.size();
    std::size_t missing = 0;
    auto previous = written.flows.begin();
    for (const snapshot_flow &entry : current.flows) {
        while (previous != written.flows.end() && previous->flow < entry.flow)
            ++previous;
        const bool isPresent = previous != written.flows.end() && previous->flow == entry.flow;
        const auto drift = isPresent ? std::int32_t(entry.callerAcknowledged - previous->callerAcknowledged) : 0;
        if (!isPresent || drift > kMaxAcknowledgementDriftBytes)
            ++missing;
    }
    return missing;
}

} // namespace

bool contains(const flow_snapshot &snapshot, const flow_key &flow)
{
    const auto found =
        std::lower_bound(snapshot.flows.begin(), snapshot.flows.end(), flow,
                         [](const snapshot_flow &entry, const flow_key &key) { return entry.flow < key; });
    return found != snapshot.flows.end() && found->flow == flow;
}

const char *toString(snapshot_fault fault)
{
    switch (fault) {
    case snapshot_fault::not_text:
        return "not_text";
    case snapshot_fault::wrong_checksum:
        return "wrong_checksum";
    case snapshot_fault::malformed:
        return "malformed";
    }
    return "unknown";
}

const char *toString(snapshot_verdict verdict)
{
    switch (verdict) {
    case snapshot_verdict::unknown:
        return "unknown";
    case snapshot_verdict::living:
        return "living";
    case snapshot_verdict::dead:
        return "dead";
    }
    return "unknown";
}

std::string formatFlowSnapshot(const flow_snapshot &snapshot)
{
    flatbuffers::FlatBufferBuilder out;
    const auto entries =
        out.CreateVectorOfStructs<wire::Entry>(snapshot.flows.size(), [&](std::size_t index, wire::Entry *target) {
            const snapshot_flow &entry = snapshot.flows[index];
            *target = {toWire(entry.flow.caller), toWire(entry.flow.service), entry.callerAcknowledged};
        });
    out.Finish(wire::CreateSnapshot(out, snapshot.upstreamStartedAtMs, entries), wire::SnapshotIdentifier());
    const std::string encoded =
        absl::Base64Escape(absl::string_view(reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize()));
    return formatChecksum(encoded) + encoded;
}

std::optional<flow_snapshot> parseFlowSnapshot(std::string_view text, snapshot_fault *lastReason)
{
    if (text.size() < kChecksumDigits) {
        *lastReason = snapshot_fault::not_text;
        return std::nullopt;
    }
    const std::string_view encoded = text.substr(kChecksumDigits);
    std::string bytes;
    if (!absl::Base64Unescape(absl::string_view(encoded.data(), encoded.size()), &bytes)) {
        *lastReason = snapshot_fault::not_text;
        return std::nullopt;
    }
    if (formatChecksum(encoded) != text.substr(0, kChecksumDigits)) {
        *lastReason = snapshot_fault::wrong_checksum;
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifySnapshotBuffer(verifier)) {
        *lastReason = snapshot_fault::malformed;
        return std::nullopt;
    }
    const wire::Snapshot *const read = wire::GetSnapshot(bytes.data());
    flow_snapshot snapshot{.upstreamStartedAtMs = read->started_at_ms(), .flows = {}};
    if (read->entries() == nullptr)
        return snapshot;
    for (const wire::Entry *entry : *read->entries())
        snapshot.flows.push_back({{fromWire(entry->caller()), fromWire(entry->service())}, entry->acknowledged()});
    return snapshot;
}

// An announcement after a restart of the agent may be a delayed one of an earlier start of the upstream. It says nothing
// about a snapshot of a later start. If the time of day was set back, its start time may seem later than the snapshot's,
// but that start is never proven to be the living one.
snapshot_verdict evaluateSnapshot(const flow_snapshot &snapshot, const upstream_evidence &evidence)
{
    if (!evidence.startedAtMs)
        return evidence.isAbsent ? snapshot_verdict::dead : snapshot_verdict::unknown;
    if (*evidence.startedAtMs == snapshot.upstreamStartedAtMs)
        return snapshot_verdict::living;
    const bool isLater = *evidence.startedAtMs > snapshot.upstreamStartedAtMs;
    return isLater && evidence.isProven ? snapshot_verdict::dead : snapshot_verdict::unknown;
}

bool snapshot_schedule::isDue(const flow_snapshot &current, duration minInterval, time_point now) const
{
    const std::size_t missing = countMissingFlows(m_written, current);
    if (missing == 0)
        return false;
    if (!m_writtenAt)
        return true;
    const duration since = now - *m_writtenAt;
    return since >= minInterval
           && (missing * kMissingFlowsDivisor >= current.flows.size() || since >= kMaxSnapshotDelay);
}

void snapshot_schedule::recordWritten(flow_snapshot written, time_point now)
{
    m_written = std::move(written);
    m_writtenAt = now;
}

duration snapshotIntervalForFleet(std::size_t agents, std::uint32_t storeWritesPerSecond)
{
    const duration second = std::chrono::seconds(1);
    return second * std::int64_t(agents) * kStoreWritesDivisor / std::max<std::int64_t>(1, storeWritesPerSecond);
}

} // namespace citroncrank
