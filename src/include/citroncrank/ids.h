#pragma once

/// @file
/// Identifiers shared by all libraries and programs.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace citroncrank {

/// 128-bit random identifier of a flow, chosen by the edge that accepted the caller.
struct flow_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const flow_id &) const = default;

    template<typename hash_state>
    friend hash_state AbslHashValue(hash_state state, const flow_id &flow) // NOLINT(readability-identifier-naming)
    {
        return hash_state::combine(std::move(state), flow.high, flow.low);
    }
};

/// Identifier of an edge process (a fabric adapter or a balancer's own listener). Changes at each start.
using edge_id = std::uint64_t;

/// Identifier of a hop (one connection between two processes) within the local process.
using hop_id = std::uint64_t;

/// Identifier of an offer, unique within one incarnation of an agent. 0 means none.
using offer_id = std::uint64_t;

/// Stable identifier of a node: hash of its configured name.
using node_id = std::uint64_t;

/// IPv4 address and port, in host byte order.
struct host_address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const host_address &) const = default;
};

/// Agent that owns a bound flow. Every frame of the flow contains it, so that balancers forward frames without a flow
/// table.
struct flow_owner
{
    node_id agent = 0;
    std::uint64_t incarnation = 0;
    host_address address;
    auto operator<=>(const flow_owner &) const = default;
};

/// Class of a flow, determined by the service address to which the caller connects.
enum class flow_class : std::uint8_t { urgent, normal, bulk };
constexpr int kFlowClassCount = 3;

/// What a flow consumes at its upstream: a request takes a slot, a session takes a connection.
enum class flow_kind : std::uint8_t { request, session };

/// Formats an address as "127.0.0.1:8080".
std::string toString(const host_address &address);
/// Parses "127.0.0.1:8080". Returns nullopt for anything else.
std::optional<host_address> parseHostAddress(std::string_view text);
/// Formats a flow id as 32 hexadecimal digits.
std::string toString(const flow_id &flow);
/// Inverse of toString for flow ids.
std::optional<flow_id> parseFlowId(std::string_view text);
/// Returns "urgent", "normal" or "bulk".
const char *toString(flow_class flowClass);
/// Returns "request" or "session".
const char *toString(flow_kind kind);

/// Seeded 64-bit hash of a string (XXH3).
std::uint64_t hashString(const std::string &text, std::uint64_t seed = 0);
/// Address as one number, unique among addresses.
inline std::uint64_t packAddress(const host_address &address)
{
    return (std::uint64_t(address.ip) << 16U) | address.port;
}
/// Seeded 64-bit hash of two numbers (XXH3), for rendezvous hashing.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second, std::uint64_t seed = 0);

/// Identifier of the node with the given configured name.
inline node_id nodeIdFromName(const std::string &name)
{
    return hashString(name);
}

} // namespace citroncrank

template<>
struct std::hash<citroncrank::host_address>
{
    std::size_t operator()(const citroncrank::host_address &address) const noexcept
    {
        return std::hash<std::uint64_t>()(citroncrank::packAddress(address));
    }
};
