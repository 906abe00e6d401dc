#pragma once

/// @file
/// Packets, addresses, reports and routes for the tests of the packet path.

#include "citroncrank/packet_agent.h"
#include "citroncrank/packet_balancer.h"

#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank::packet_fixture {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Packet layout used in tests: this header, then the data.
struct raw_header
{
    std::uint32_t sourceIp = 0;
    std::uint32_t destinationIp = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    std::uint16_t dataBytes = 0;
    std::uint16_t flags = 0;
};

inline std::optional<packet_header> decodeTestHeader(std::string_view bytes)
{
    raw_header raw;
    if (bytes.size() < sizeof raw)
        return std::nullopt;
    std::memcpy(&raw, bytes.data(), sizeof raw);
    return packet_header{.source = {raw.sourceIp, raw.sourcePort},
                         .destination = {raw.destinationIp, raw.destinationPort},
                         .open = (raw.flags & 1U) != 0,
                         .acknowledges = (raw.flags & 2U) != 0,
                         .finish = (raw.flags & 4U) != 0,
                         .reset = (raw.flags & 8U) != 0,
                         .returned = (raw.flags & 16U) != 0,
                         .sequence = raw.sequence,
                         .acknowledged = raw.acknowledged,
                         .dataBytes = raw.dataBytes};
}

/// Reads "Test-Id: x" and "Test-Left: n" from the header section of a request.
inline request_head readTestHead(std::string_view data)
{
    const auto field = [&](std::string_view name) {
        const auto at = data.find(name);
        if (at == std::string_view::npos)
            return std::string();
        const auto from = at + name.size();
        return std::string(data.substr(from, data.find("\r\n", from) - from));
    };
    request_head head{.id = field("\r\nTest-Id: "), .remainingMs = std::nullopt};
    if (const std::string left = field("\r\nTest-Left: "); !left.empty())
        head.remainingMs = std::uint32_t(std::stoul(left));
    return head;
}

inline packet makePacket(packet_header header, const std::string &data = {})
{
    header.dataBytes = std::uint16_t(data.size());
    const raw_header raw{.sourceIp = header.source.ip,
                         .destinationIp = header.destination.ip,
                         .sequence = header.sequence,
                         .acknowledged = header.acknowledged,
                         .sourcePort = header.source.port,
                         .destinationPort = header.destination.port,
                         .dataBytes = header.dataBytes,
                         .flags = std::uint16_t((header.open ? 1U : 0U) | (header.acknowledges ? 2U : 0U)
                                                | (header.finish ? 4U : 0U) | (header.reset ? 8U : 0U)
                                                | (header.returned ? 16U : 0U))};
    std::string bytes(sizeof raw, '\0');
    std::memcpy(bytes.data(), &raw, sizeof raw);
    return {header, bytes + data};
}

inline constexpr host_address kBalancer{0x0A010010, 7480};
inline constexpr host_address kOtherBalancer{0x0A010011, 7480};
inline constexpr host_address kAgentA{0x0A010021, 7480};
inline constexpr host_address kAgentB{0x0A010022, 7480};
inline constexpr host_address kAgentC{0x0A010023, 7480};
inline constexpr host_address kAgentD{0x0A010024, 7480};
inline constexpr host_address kUpstream{0x0A010021, 8688};
inline constexpr host_address kServiceAddress{0xC6120001, 443};
inline constexpr host_address kCaller{0x64400007, 40001};
inline const std::string kService = "returns-desk";
inline const std::string kOtherService = "receipts";
inline constexpr flow_key kFlow{kCaller, kServiceAddress};

inline packet openingPacket(std::uint32_t copy = 0)
{
    return makePacket(
        {.source = kCaller, .destination = kServiceAddress, .open = true, .sequence = 100, .acknowledged = copy});
}

/// The opening packet of a later flow with the same key.
inline packet openingWithSequence(std::uint32_t sequence)
{
    packet_header header = openingPacket().header;
    header.sequence = sequence;
    return makePacket(header);
}

inline packet callerPacket(std::uint32_t acknowledged, const std::string &data = {}, std::uint32_t sequence = 101)
{
    return makePacket({.source = kCaller,
                       .destination = kServiceAddress,
                       .acknowledges = true,
                       .sequence = sequence,
                       .acknowledged = acknowledged},
                      data);
}

inline packet upstreamPacket(std::uint32_t sequence, const std::string &data = {}, bool open = false)
{
    return makePacket({.source = kServiceAddress,
                       .destination = kCaller,
                       .open = open,
                       .acknowledges = true,
                       .sequence = sequence,
                       .acknowledged = 101},
                      data);
}

inline packet returned(packet content)
{
    content.header.returned = true;
    return makePacket(content.header, content.bytes.substr(sizeof(raw_header)));
}

/// All actions of one type, in order.
template<typename action_type>
std::vector<action_type> actionsOf(const packet_actions &actions)
{
    std::vector<action_type> result;
    for (const auto &action : actions) {
        if (const auto *const found = std::get_if<action_type>(&action))
            result.push_back(*found);
    }
    return result;
}

/// All messages of one type with their receivers, in order.
template<typename message_type>
std::vector<std::pair<host_address, message_type>> messagesOf(const packet_actions &actions)
{
    std::vector<std::pair<host_address, message_type>> result;
    for (const auto &sent : actionsOf<send_to_node>(actions)) {
        if (const auto *const found = std::get_if<message_type>(&sent.message))
            result.emplace_back(sent.to, *found);
    }
    return result;
}

inline agent_report makeReport(std::uint64_t number, agent_state state = agent_state::ready, std::uint16_t busy = 0)
{
    return {.service = kService,
            .domain = "nbi-west",
            .incarnation = 1,
            .number = number,
            .state = state,
            .slots = 2,
            .busy = busy,
            .flows = 0,
            .meanBusyMilli = std::uint32_t(busy * 1000U),
            .coldMilliseconds = 0,
            .periodMilliseconds = 200,
            .processingMilliseconds = 50};
}

inline std::shared_ptr<const route_set> makeRoutes(std::uint64_t version, const std::string &service = kService)
{
    auto routes = std::make_shared<route_set>();
    routes->version = version;
    routes->flowIdleTimeout = seconds(15);
    routes->routes[kServiceAddress] = {.name = "r1", .address = kServiceAddress, .targets = {{service, 1}}};
    return routes;
}

} // namespace citroncrank::packet_fixture
