#pragma once

/// @file
/// Datagrams between balancers and agents of the packet path.

#include "citroncrank/evacuation_set.h"
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

/// Why a balancer forwards a packet to an agent.
enum class forward_purpose : std::uint8_t {
    open,     ///< Opens a flow; the agent may forward it to an alternate.
    to_owner, ///< Belongs to a flow that the agent owns as far as the balancer knows.
    probe,    ///< The flow's owner is unknown; an agent delivers it only if its upstream may hold the flow.
};

/// Request settings of a route.
struct request_limits
{
    std::uint32_t priority = 0;        ///< 0 is the most urgent.
    std::uint32_t latencyTargetMs = 0; ///< 0: none.
    std::uint32_t timeoutMs = 0;       ///< Caller's timeout, from the start of a request; 0: unknown.
    /// New flows per second that an upstream of the service bears while it is cold, in thousandths. 0: no limit.
    std::uint32_t coldRateMilli = 0;
    auto operator<=>(const request_limits &) const = default;
};

/// Load of an agent at the moment when it handled an opening packet.
struct agent_load_sample
{
    host_address agent;
    std::uint16_t busy = 0; ///< Requests that compete with a new one.
    std::uint16_t slots = 0;
    std::uint16_t processingMilliseconds = 0; ///< Mean processing time of a request.
    auto operator<=>(const agent_load_sample &) const = default;
};
/// Most samples in a message.
constexpr std::size_t kMaxLoadSamples = 8;

/// A caller's packet, forwarded to an agent; or an opening packet that a balancer with late routes gives to another one.
struct forwarded_packet
{
    forward_purpose purpose = forward_purpose::to_owner;
    std::string service;                  ///< Service of the flow; empty: unknown.
    host_address origin;                  ///< Balancer that received the packet from the caller.
    std::vector<host_address> alternates; ///< Further agents for an opening packet, best first.
    request_limits limits;
    std::string packetBytes;
    bool isTrial = false;   ///< Opens a flow at a failing upstream to test whether it has recovered.
    bool isSettled = false; ///< The receiver is the least loaded agent found; it forwards the packet to no other.
    std::vector<agent_load_sample> visited; ///< Agents that forwarded the opening packet for lack of a free slot.
    std::uint64_t routesVersion = 0;        ///< Routes that bound the opening packet. 0: unknown.
    /// The balancer knows of newer routes and can reach nobody who has them, so the agent takes the opening all the same.
    bool isNewestKnown = false;
    auto operator<=>(const forwarded_packet &) const = default;
};

/// The sending agent owns the flow.
struct owner_notice
{
    flow_key flow;
    std::vector<agent_load_sample> loads; ///< Of the agents that handled the opening packet, the owner's last.
    auto operator<=>(const owner_notice &) const = default;
};

/// Queries whether an agent owns a flow. Carries no packet and stays small, since it goes to many agents.
struct owner_query
{
    flow_key flow;
    std::string service;            ///< Service of the flow; empty: unknown.
    bool hasAcknowledged = false;   ///< `acknowledged` is valid.
    std::uint32_t acknowledged = 0; ///< Last acknowledgement number of the caller.
    auto operator<=>(const owner_query &) const = default;
};

/// Negative reply to an owner query.
struct owner_nack
{
    flow_key flow;
    bool isUncertain = false; ///< Only the upstream's reaction to a packet of the flow can show who owns it.
    bool isExpected = false;  ///< Uncertain, but the agent's upstream held the flow before the agent restarted.
    auto operator<=>(const owner_nack &) const = default;
};

/// Why an agent rejected a packet.
enum class rejection_reason : std::uint8_t {
    wrong_service,   ///< Its upstream belongs to another service.
    draining,        ///< Its upstream is draining.
    not_serving,     ///< Its upstream is silent or has left, or the agent is about to restart.
    full,            ///< Its upstream returned the opening packet.
    unknown_flow,    ///< Its upstream does not hold the flow.
    ended_flow,      ///< The upstream that held the flow has ended, so the flow has no owner.
    evacuated,       ///< Its failure domain is evacuated.
    cold,            ///< Its cold upstream has received as many new flows as it bears.
    no_time,         ///< The request could not be answered before its caller times out.
    replaced_routes, ///< The balancer has bound the opening by routes that were replaced too long ago.
};
constexpr int kRejectionReasonCount = 10;
const char *toString(rejection_reason reason);

/// The agent did not deliver the packet, or its upstream returned it to the agent.
struct rejection_notice
{
    rejection_reason reason = rejection_reason::unknown_flow;
    forward_purpose purpose = forward_purpose::to_owner;
    std::string packetBytes;
    std::uint64_t newestRoutes = 0; ///< With replaced_routes: the newest version that the agent knows.
    host_address newestHolder;      ///< The balancer that has them in force.
    auto operator<=>(const rejection_notice &) const = default;
};

/// State of an agent and its upstream, as the agent reports it.
enum class agent_state : std::uint8_t {
    unconfirmed, ///< Started; the upstream has not sent an announcement yet.
    ready,
    draining, ///< The upstream takes no new flows; its open flows continue.
    silent,   ///< The announcements of the upstream are overdue.
    left,     ///< The upstream has ended and holds no flow.
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
    std::uint64_t number = 0;      ///< Increases with each report of the incarnation, to detect delayed reports.
    agent_state state = agent_state::unconfirmed;
    std::uint16_t slots = 0;
    std::uint16_t busy = 0;             ///< Requests in progress, expected, or queued and within their latency target.
    std::uint32_t flows = 0;            ///< Open flows.
    std::uint32_t meanBusyMilli = 0;    ///< Thousandths: `busy` averaged over about a second.
    std::uint32_t coldMilliseconds = 0; ///< Remaining warm-up time of the upstream.
    std::uint32_t periodMilliseconds = 0;     ///< Time to the next report.
    std::uint32_t processingMilliseconds = 0; ///< Mean processing time of a request. 0: unknown.
    bool isFailing = false;                   ///< The upstream fails requests; other upstreams should get new flows.
    bool isTrialDue = false;                  ///< The failing upstream may get one flow as a trial.
    evacuation_version evacuations;           ///< Version of the evacuations that the agent applies.
    std::uint32_t processingMicroseconds = 0; ///< Mean processing time of a request. 0: unknown.
    std::uint32_t answers = 0;                ///< Recent answers that the processing time rests on.
    std::uint32_t waitMilliseconds = 0;       ///< Expected wait of a new request for a slot.
    auto operator<=>(const agent_report &) const = default;
};

/// Owner queries to one agent in one datagram. When a balancer is lost, many flows need a query at the same time.
struct owner_query_list
{
    std::vector<owner_query> queries; ///< At most kMaxOwnersPerMessage, all for the same service.
    auto operator<=>(const owner_query_list &) const = default;
};

struct owner_nack_list
{
    std::vector<owner_nack> nacks; ///< At most kMaxOwnersPerMessage.
    auto operator<=>(const owner_nack_list &) const = default;
};

/// Owner of one flow.
struct flow_owner_entry
{
    flow_key flow;
    host_address owner;
    auto operator<=>(const flow_owner_entry &) const = default;
};

/// Flow owners that a balancer knows, sent to balancers that adopt its flows.
struct flow_owner_list
{
    std::vector<flow_owner_entry> entries; ///< At most kMaxOwnersPerMessage.
    auto operator<=>(const flow_owner_list &) const = default;
};
/// A list of this many entries fits one datagram.
constexpr std::size_t kMaxOwnersPerMessage = 40;

/// Peer discovery: announces a balancer, its peers and the version of its routes in force. Agents answer with a report.
struct balancer_hello
{
    std::uint64_t incarnation = 0;
    std::string domain;                  ///< Failure domain.
    std::uint64_t routesVersion = 0;     ///< 0: none.
    host_address http;                   ///< HTTP address where other balancers read the routes in force.
    std::vector<host_address> balancers; ///< Known balancers except the sender.
    std::uint32_t agents = 0;            ///< Number of known agents, which share the write rate of the object store.
    bool isEntryMissing = false;         ///< The receiving agent reports, but the object store does not list it.
    std::uint64_t storeEra = 0;          ///< Latest era of the object store that the sender knows. 0: unknown.
    std::vector<host_address>
        unlistedAgents;              ///< Agents that report to the sender, but that the object store does not list.
    bool areRoutesConfirmed = false; ///< The sender watches the store, which holds no newer routes than routesVersion.
    std::uint32_t confirmationAgeMilliseconds = 0; ///< Age of that answer of the store.
    std::optional<evacuation_set> evacuations;     ///< Evacuations that the sender applies; nullopt: not known.
    bool areEvacuationsConfirmed = false;          ///< The sender watches the store, which holds no newer evacuations.
    std::uint32_t evacuationsAgeMilliseconds = 0;  ///< Age of that answer of the store.
    bool takesOpenings = false; ///< The sender places opening packets of balancers whose routes are replaced.
    auto operator<=>(const balancer_hello &) const = default;
};

/// An agent reports to a balancer and requests its hello.
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

/// Decodes a datagram. Returns nullopt if it is not a valid message.
std::optional<node_message> decodeNodeMessage(std::string_view datagram);

} // namespace citroncrank
