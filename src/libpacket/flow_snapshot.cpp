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
// Hexadecimal digits of the checksum, in front of the encoded bytes.
constexpr std::size_t kChecksumDigits = 16;

// The part of the flows that a snapshot may lack before it is written again.
constexpr std::size_t kLackingPart = 10;
// A single new flow is written after this time.
constexpr duration kLongestPause = std::chrono::seconds(5);
// A reset is taken within 76,800 of the caller's acknowledgement; a snapshot is renewed well before.
constexpr std::int32_t kAcknowledgementDrift = 25'000;
// The agents' part of the store's writing calls.
constexpr std::int64_t kWritesPart = 10;

std::string checksumOf(std::string_view encoded)
{
    return absl::StrCat(absl::Hex(hashText(std::string(encoded), kChecksumSeed), absl::kZeroPad16));
}

wire::Address toWire(const host_address &address)
{
    return {address.ip, address.port};
}

host_address fromWire(const wire::Address &address)
{
    return {address.ip(), address.port()};
}

/// Changes of `current` that a reader of `written` lacks.
std::size_t lackingFlows(const flow_snapshot &written, const flow_snapshot &current)
{
    if (written.upstreamStartedAtMs != current.upstreamStartedAtMs)
        return current.flows.size();
    std::size_t lacking = 0;
    auto known = written.flows.begin();
    for (const snapshot_flow &entry : current.flows) {
        while (known != written.flows.end() && known->flow < entry.flow)
            ++known;
        const bool isKnown = known != written.flows.end() && known->flow == entry.flow;
        const auto drift = isKnown ? std::int32_t(entry.callerAcknowledged - known->callerAcknowledged) : 0;
        if (!isKnown || drift > kAcknowledgementDrift)
            ++lacking;
    }
    return lacking;
}

} // namespace

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
    return checksumOf(encoded) + encoded;
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
    if (checksumOf(encoded) != text.substr(0, kChecksumDigits)) {
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

// A late announcement of an earlier start may arrive first after a restart of the agent. It proves nothing of a snapshot of a later
// start; and one that only seems later, since the time of day was set back, is not followed by a second one.
snapshot_verdict evaluateSnapshot(const flow_snapshot &snapshot, const upstream_evidence &evidence)
{
    if (!evidence.startedAtMs)
        return evidence.isAbsent ? snapshot_verdict::dead : snapshot_verdict::unknown;
    if (*evidence.startedAtMs == snapshot.upstreamStartedAtMs)
        return snapshot_verdict::living;
    const bool isLater = *evidence.startedAtMs > snapshot.upstreamStartedAtMs;
    const bool isSure = evidence.isStartSeen || evidence.announcements > 1;
    return isLater && isSure ? snapshot_verdict::dead : snapshot_verdict::unknown;
}

bool snapshot_schedule::isDue(const flow_snapshot &current, duration shortestPause, time_point now) const
{
    const std::size_t lacking = lackingFlows(m_written, current);
    if (lacking == 0)
        return false;
    if (!m_writtenAt)
        return true;
    const duration since = now - *m_writtenAt;
    return since >= shortestPause && (lacking * kLackingPart >= current.flows.size() || since >= kLongestPause);
}

void snapshot_schedule::noteWritten(flow_snapshot written, time_point now)
{
    m_written = std::move(written);
    m_writtenAt = now;
}

duration snapshotIntervalForFleet(std::size_t agents, std::uint32_t storeWritesPerSecond)
{
    const duration second = std::chrono::seconds(1);
    return second * std::int64_t(agents) * kWritesPart / std::max<std::int64_t>(1, storeWritesPerSecond);
}

} // namespace citroncrank
