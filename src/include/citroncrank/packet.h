#pragma once

/// @file
/// Decoded packets of flows. The platform's adapter decodes the wire format.

#include "citroncrank/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace citroncrank {

/// Addresses of both ends of a flow. The same for packets in either direction.
struct flow_key
{
    host_address caller;
    host_address service; ///< Service address that the caller sends to; a route maps it to a service.
    auto operator<=>(const flow_key &) const = default;

    template<typename hash_state>
    friend hash_state AbslHashValue(hash_state state, const flow_key &flow) // NOLINT(readability-identifier-naming)
    {
        return hash_state::combine(std::move(state), flow.caller.ip, flow.caller.port, flow.service.ip,
                                   flow.service.port);
    }
};

/// Returns for example "100.64.0.7:40001>198.18.0.1:443".
std::string toString(const flow_key &flow);

/// Header fields of one packet.
struct packet_header
{
    host_address source;
    host_address destination;
    bool open = false;         ///< SYN.
    bool acknowledges = false; ///< `acknowledged` is valid.
    bool finish = false;       ///< FIN.
    bool reset = false;        ///< RST.
    bool returned = false;     ///< The upstream did not accept the packet and sent it back.
    std::uint32_t sequence = 0;
    /// Next sequence number expected from the other end. In a caller's opening packet: the number of earlier copies.
    std::uint32_t acknowledged = 0;
    std::uint16_t dataBytes = 0;
    auto operator<=>(const packet_header &) const = default;
};

/// A packet and its decoded header.
struct packet
{
    packet_header header;
    std::string bytes; ///< Complete packet as received.
    auto operator<=>(const packet &) const = default;
};

/// Flow of a packet that a caller sent.
inline flow_key flowFromCaller(const packet_header &header)
{
    return {header.source, header.destination};
}

/// Flow of a packet that an upstream sent.
inline flow_key flowFromUpstream(const packet_header &header)
{
    return {header.destination, header.source};
}

} // namespace citroncrank
