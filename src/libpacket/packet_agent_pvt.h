#pragma once

/// @file
/// Helpers shared by the sources of the packet agent.

#include "citroncrank/node_message.h"
#include "citroncrank/packet.h"
#include "citroncrank/processing_model.h"
#include "citroncrank/time.h"
#include "citroncrank/upstream_health.h"

#include <absl/hash/hash.h>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace citroncrank {

/// Signed distance from `from` to `to`, modulo 2^32.
inline std::int32_t sequenceDistance(std::uint32_t from, std::uint32_t to)
{
    return std::int32_t(to - from);
}

inline std::uint32_t sequenceEnd(const packet_header &header)
{
    return header.sequence + header.dataBytes;
}

inline std::string_view payload(const packet &content)
{
    return std::string_view(content.bytes).substr(content.bytes.size() - content.header.dataBytes);
}

/// Outcome that an answer with this status counts as.
upstream_outcome classifyStatus(std::uint32_t status);

/// Requests of routes with the same settings have similar processing times.
inline request_kind requestKind(const request_limits &limits)
{
    return absl::HashOf(limits.priority, limits.latencyTargetMs, limits.timeoutMs);
}

/// Requests that the upstream may hold beyond its slots, so that a slot does not idle while an answer and the next
/// request pass through the agent.
constexpr std::size_t kReadyRequests = 1;
/// One-way delay of an answer to the caller, across failure domains.
constexpr double kAnswerDelayMs = 12;

/// Limits memory use, at about 300 bytes per flow.
constexpr std::size_t kMaxAgentFlows = 20'000;

/// A cold upstream's limit holds for any second at the upstream. The queues of a small host delay datagrams by up to
/// 0.1 s before and behind the loopback, so that packets sent in a longer period may arrive in a second.
constexpr duration kColdWindow = std::chrono::milliseconds(1200);

/// Mean processing time assumed until the upstream's first answers.
constexpr double kDefaultProcessingMs = 50;

/// Slots assumed until the upstream's first announcement. No known deployment has fewer.
constexpr std::uint32_t kAssumedSlots = 2;

} // namespace citroncrank
