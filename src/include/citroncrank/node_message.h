#pragma once

/// @file
/// Datagrams between balancers and agents of the packet plane.

#include "citroncrank/ids.h"
#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citroncrank {

/// Why a balancer hands a packet to an agent.
enum class forward_purpose : std::uint8_t {
    open,  ///< Opens a flow; the agent may pass it on to an alternate.
    carry, ///< The agent is taken to own the flow.
    ask,   ///< The owner is unknown; only the owner delivers it.
};

/// What the route says of the requests in a flow.
struct request_limits
{
    std::uint32_t priority = 0;        ///< 0 is the most urgent.
    std::uint32_t latencyTargetMs = 0; ///< 0: none.
    std::uint32_t timeoutMs = 0;       ///< Time that a caller gives a request at its start; 0: unknown.
    auto operator<=>(const request_limits &) const = default;
};

/// A caller's packet on its way to an agent.
struct forwarded_packet
{
    forward_purpose purpose = forward_purpose::carry;
    std::string service;                  ///< Name of the service that the route chose.
    host_address origin;                  ///< Balancer that took the packet from the caller.
    std::vector<host_address> alternates; ///< Further agents for an opening packet, best first.
    request_limits limits;
    std::string packetBytes;
    bool isTrial = false; ///< Opens a flow at a failing upstream, to find out whether it has recovered.
    auto operator<=>(const forwarded_packet &) const = default;
};

/// The sending agent owns the flow.
struct owner_notice
{
    flow_key flow;
    auto operator<=>(const owner_notice &) const = default;
};

/// Asks an agent whether it owns a flow. Small, since it goes to many agents.
struct owner_query
{
    flow_key flow;
    std::string service;
    bool hasAcknowledged = false;
    std::uint32_t acknowledged = 0; ///< What the caller acknowledged last.
    auto operator<=>(const owner_query &) const = default;
};

/// An agent does not own a flow, or cannot tell without handing a packet of it to its upstream.
struct owner_nack
{
    flow_key flow;
    bool isUncertain = false;
    auto operator<=>(const owner_nack &) const = default;
};

/// Why an agent did not take a packet.
enum class rejection_reason : std::uint8_t {
    wrong_service, ///< Its upstream belongs to another service.
    draining,      ///< Its upstream leaves.
    not_serving,   ///< Its upstream is not known to serve, or left.
    full,          ///< Its upstream returned the opening packet.
    unknown_flow,  ///< Its upstream does not hold the flow.
    ended_flow,    ///< The upstream that held the flow is gone, so nobody holds it.
};
constexpr int kRejectionReasonCount = 6;
const char *toString(rejection_reason reason);

/// The agent did not deliver the packet, or its upstream returned it.
struct rejection_notice
{
    rejection_reason reason = rejection_reason::unknown_flow;
    forward_purpose purpose = forward_purpose::carry;
    std::string packetBytes;
    auto operator<=>(const rejection_notice &) const = default;
};

/// What an agent may take at present.
enum class agent_state : std::uint8_t {
    unconfirmed, ///< Started, and its upstream has not announced itself yet.
    ready,
    draining, ///< The upstream leaves; open flows go on.
    silent,   ///< The upstream has stopped announcing itself.
    left,     ///< The upstream has ended for good and holds no flow.
    stopping, ///< The agent is about to restart.
};
constexpr int kAgentStateCount = 6;
const char *toString(agent_state state);

/// State and load of an agent and its upstream.
struct agent_report
{
    std::string service;
    std::string domain;            ///< Failure domain.
    std::uint64_t incarnation = 0; ///< Start of the agent's process, in milliseconds since the Unix epoch.
    std::uint64_t number = 0;      ///< Increases with each report of the incarnation, so that a late one is noticed.
    agent_state state = agent_state::unconfirmed;
    std::uint16_t slots = 0;
    std::uint16_t busy = 0;               ///< Requests at work, on their way, or waiting and in time.
    std::uint32_t flows = 0;              ///< Open flows.
    std::uint32_t meanBusyMilli = 0;      ///< Thousandths: `busy` averaged over about a second.
    std::uint32_t coldMilliseconds = 0;   ///< How much longer the upstream is slow after its start.
    std::uint32_t periodMilliseconds = 0; ///< Time to the next report.
    bool isFailing = false;               ///< The upstream fails requests; other upstreams should get new flows.
    bool isTrialDue = false;              ///< A failing upstream may get one flow as a trial.
    auto operator<=>(const agent_report &) const = default;
};

/// Questions of one service for one agent. Many flows lose their balancer at the same time.
struct owner_query_list
{
    std::vector<owner_query> questions; ///< At most kMaxOwnersPerMessage, all of the same service.
    auto operator<=>(const owner_query_list &) const = default;
};

struct owner_nack_list
{
    std::vector<owner_nack> denials; ///< At most kMaxOwnersPerMessage.
    auto operator<=>(const owner_nack_list &) const = default;
};

/// Owner of one flow.
struct flow_owner_entry
{
    flow_key flow;
    host_address owner;
    auto operator<=>(const flow_owner_entry &) const = default;
};

/// Owners that a balancer knows, for one that takes over its flows.
struct flow_owner_list
{
    std::vector<flow_owner_entry> entries; ///< At most kMaxOwnersPerMessage.
    auto operator<=>(const flow_owner_list &) const = default;
};
/// Fits one datagram.
constexpr std::size_t kMaxOwnersPerMessage = 40;

/// A balancer makes itself known. Agents answer with a report, balancers learn the version of the routes in force.
struct balancer_hello
{
    std::uint64_t incarnation = 0;
    std::string domain;                  ///< Failure domain.
    std::uint64_t routesVersion = 0;     ///< 0: none.
    host_address http;                   ///< Serves the routes in force to other balancers.
    std::vector<host_address> balancers; ///< Known balancers, this one left out.
    std::uint32_t agents = 0;            ///< Known agents; they share the writing calls of the store.
    bool isEntryMissing = false;         ///< To an agent: the store does not list it, though it reports.
    auto operator<=>(const balancer_hello &) const = default;
};

/// An agent asks a balancer for a hello.
struct agent_hello
{
    agent_report report;
    auto operator<=>(const agent_hello &) const = default;
};

using node_message =
    std::variant<forwarded_packet, owner_notice, rejection_notice, agent_report, balancer_hello, agent_hello,
                 flow_owner_list, owner_query, owner_nack, owner_query_list, owner_nack_list>;

/// Encodes a message as one datagram.
std::string encodeNodeMessage(const node_message &message);

/// Decodes a datagram. Returns nullopt for anything that is no valid message.
std::optional<node_message> decodeNodeMessage(std::string_view datagram);

} // namespace citroncrank
