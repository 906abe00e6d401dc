#pragma once

/// @file
/// Decisions of a balancer on callers' packets: route, agent, owner of an open flow. No input or output of its own.

#include "citroncrank/agent_directory.h"
#include "citroncrank/packet_action.h"
#include "citroncrank/route_set.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace citroncrank {

struct packet_balancer_settings
{
    host_address self; ///< Where other nodes reach this one.
    host_address http; ///< Where other balancers read the routes in force.
    std::string domain;
    std::uint64_t incarnation = 0;
    std::vector<host_address> seeds; ///< Balancers that may be up.
    duration flowLifetime{0};        ///< Older flows may be forgotten.
    std::uint64_t randomSeed = 0;
};

/// A node as the platform's store lists it.
struct listed_node
{
    host_address address;
    bool isAgent = false;
    std::string service; ///< Agents only.
    std::string domain;
    std::uint32_t slots = 0; ///< Agents only: requests that the upstream works on at once. 0: unknown.
    auto operator<=>(const listed_node &) const = default;
};

/// Balancer with a version of the routes that this one lacks.
struct routes_offer
{
    host_address http;
    std::uint64_t version = 0;
    auto operator<=>(const routes_offer &) const = default;
};

/// Not thread safe. Actions are appended to `out`.
class packet_balancer
{
public:
    packet_balancer(packet_balancer_settings settings, packet_header_decoder decoder, time_point now);

    /// A packet that a caller sent.
    void callerPacket(packet arrived, time_point now, packet_actions *out);
    /// A message of another node.
    void message(const host_address &from, node_message arrived, time_point now, packet_actions *out);
    /// Puts routes in force. Does nothing unless their version is higher.
    void applyRoutes(std::shared_ptr<const route_set> routes, time_point now, packet_actions *out);
    /// All nodes that the store lists.
    void applyListing(const std::vector<listed_node> &nodes, time_point now, packet_actions *out);
    /// Takes over the seeds and the flow lifetime. All else stays as it was at the start.
    void changeSettings(const packet_balancer_settings &changed);
    /// Periodic work: hellos, held packets, forgotten flows. Call about every kBalancerTick.
    void advance(time_point now, packet_actions *out);

    /// Tells the other balancers of this failure domain the owners of all flows, before callers are sent to them.
    void handOver(packet_actions *out) const;
    /// Why callers should not be sent here, one reason an entry. Empty: ready.
    std::vector<std::string> notReadyReasons(time_point now) const;
    /// Newest version that another balancer has and this one lacks.
    std::optional<routes_offer> newerRoutes() const;
    /// Nodes whose entries in the store this balancer should remove, since they are gone.
    std::vector<host_address> staleNodes(time_point now) const;
    std::uint64_t routesVersion() const { return m_routes ? m_routes->version : 0; }
    std::size_t flowCount() const { return m_flows.size(); }
    const agent_directory &agents() const { return m_agents; }
    std::size_t balancerCount() const { return m_balancers.size(); }

private:
    struct held_packet
    {
        packet content;
        time_point since;
    };
    struct balancer_flow
    {
        host_address owner;
        std::string service;
        bool isOwnerKnown = false;                 ///< False while the agents are asked.
        bool isOpening = false;                    ///< Only opening packets were seen.
        std::vector<host_address> queriedAgents;   ///< While the owner is unknown.
        std::vector<host_address> notTakenBy;      ///< Agents that do not hold the flow or would not take it.
        std::vector<host_address> uncertainAgents; ///< Agents whose upstreams may hold it.
        std::vector<host_address> sentTo;          ///< Agents that got lastPacket to find out.
        time_point queriedAt;
        std::vector<std::string> heldPackets;   ///< Arrived after the question, sent once the owner is known.
        packet lastPacket;                      ///< While the owner is unknown, for agents that become known later.
        std::vector<held_packet> awaitingAgent; ///< While the owner restarts by plan.
        bool finished = false;
        time_point lastSeen;
        time_point firstSeen;
    };

    /// Agents for an opening packet, best first.
    struct placement
    {
        std::string service;
        std::vector<host_address> agents;
        bool isTrial = false; ///< The first agent is failing and gets the flow as a trial.
    };

    bool mayTryFailing(const packet_route &route, const std::string &service) const;
    placement placeNew(const packet_route &route, const std::string &service, time_point now) const;
    placement place(const flow_key &key, const packet_route &route, time_point now) const;
    void logPlacement(const packet_header &header, const packet_route &route, const placement &chosen, time_point now,
                      packet_actions *out) const;
    forwarded_packet toAgent(forward_purpose purpose, const std::string &service, const flow_key &key,
                             std::string packetBytes, std::vector<host_address> alternates) const;
    void forward(const host_address &agent, forward_purpose purpose, const std::string &service, const flow_key &key,
                 std::string packetBytes, std::vector<host_address> alternates, packet_actions *out) const;
    void openFlow(packet arrived, const packet_route &route, time_point now, packet_actions *out);
    void continueFlow(packet arrived, time_point now, packet_actions *out);
    bool isRestartingByPlan(const host_address &agent) const;
    void sendAwaiting(const host_address &agent, time_point now, packet_actions *out);
    void queryOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except, time_point now,
                    packet_actions *out);
    std::string serviceForAgent(const balancer_flow &flow, const host_address &agent) const;
    bool isNackedByService(const balancer_flow &flow, time_point now) const;
    void queryRemainingAgents(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out);
    void logPendingOwnerQuery(const flow_key &key, const balancer_flow &flow, time_point now,
                              packet_actions *out) const;
    void retryOwnerQueries(time_point now, packet_actions *out);
    void onUnroutedPacket(const packet &arrived, packet_actions *out);
    void hold(packet arrived, time_point now, packet_actions *out);
    void replayHeld(time_point now, packet_actions *out);
    void refuse(const packet &refused, const char *reason, packet_actions *out);
    void learnOwner(const host_address &agent, const flow_key &flow, time_point now, packet_actions *out);
    void onRejection(const host_address &agent, const rejection_notice &notice, time_point now, packet_actions *out);
    void onUnknownFlowReturned(const host_address &agent, packet returned, time_point now, packet_actions *out);
    void onOpeningRejected(const host_address &agent, rejection_reason reason, packet returned, time_point now,
                           packet_actions *out);
    void onCarriedPacketRejected(const host_address &agent, packet returned, time_point now, packet_actions *out);
    void denied(const host_address &agent, const owner_nack &nack, time_point now, packet_actions *out);
    bool isNackedByAll(const balancer_flow &flow, time_point now) const;
    bool isAnswerMissing(const balancer_flow &flow, time_point now) const;
    void probeUncertainAgents(balancer_flow *flow, const flow_key &key, packet_actions *out) const;
    void takeReport(const host_address &agent, const agent_report &report, time_point now, packet_actions *out);
    void takeHello(const host_address &from, const balancer_hello &hello, time_point now, packet_actions *out);
    void takeOwners(const flow_owner_list &owners, time_point now);
    void sendOwners(const host_address &balancer, packet_actions *out) const;
    void noteBalancer(const host_address &address, time_point now);
    balancer_hello hello() const;
    void sendHellos(time_point now, packet_actions *out);
    void askForEntries(time_point now, packet_actions *out);
    void forgetFlows(time_point now);
    bool isStarting(time_point now) const;
    bool knowsAllAgents(time_point now) const;
    void log(log_class kind, std::string text, packet_actions *out) const;

    packet_balancer_settings m_settings;
    packet_header_decoder m_decoder;
    time_point m_startedAt;
    std::mt19937_64 m_random;
    std::shared_ptr<const route_set> m_routes;
    absl::flat_hash_set<host_address> m_droppedRoutes; ///< Addresses whose route a later version dropped.
    agent_directory m_agents;
    struct known_balancer
    {
        time_point lastHeardAt;
        std::string domain; ///< Empty until it said hello.
    };
    absl::btree_map<host_address, known_balancer> m_balancers; ///< Others.
    absl::flat_hash_map<flow_key, balancer_flow> m_flows;
    absl::btree_set<flow_key> m_pendingOwnerQueries; ///< Flows whose agents are asked.
    std::vector<held_packet> m_held;
    std::optional<routes_offer> m_newerRoutes;
    absl::btree_map<host_address, time_point> m_listedBalancers; ///< Others, and since when.
    bool m_isListingKnown = false;
    std::uint64_t m_helloRound = 0;
    std::optional<time_point> m_nextHello;
    std::optional<time_point> m_nextSweep;
};

/// Flows of which a balancer remembers the owner; about 300 bytes each.
constexpr std::size_t kMaxFlows = 100'000;
/// Period of the hellos to other balancers.
constexpr duration kHelloPeriod = std::chrono::seconds(1);
/// Period of packet_balancer::advance().
constexpr duration kBalancerTick = std::chrono::milliseconds(100);

} // namespace citroncrank
