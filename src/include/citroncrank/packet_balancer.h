#pragma once

/// @file
/// Decision core of a balancer: selects route, agent and owner for each packet of a caller. Performs no I/O.

#include "citroncrank/agent_directory.h"
#include "citroncrank/balancer_evacuations.h"
#include "citroncrank/owner_search.h"
#include "citroncrank/packet_action.h"
#include "citroncrank/refusal.h"
#include "citroncrank/retry_budget.h"
#include "citroncrank/route_set.h"
#include "citroncrank/routes_history.h"
#include "citroncrank/routes_sources.h"
#include "citroncrank/routes_watch_role.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace citroncrank {

struct packet_balancer_settings
{
    host_address self; ///< Address of this balancer for messages of other nodes.
    host_address http; ///< HTTP address where other balancers read the routes in force.
    std::string domain;
    std::uint64_t incarnation = 0;
    std::vector<host_address> seeds; ///< Balancers to contact first; some of them may be down.
    duration flowLifetime{0};        ///< The state of older flows may be dropped.
    std::uint64_t randomSeed = 0;
    routes_watch_settings routesWatch;
    /// How the balancers of a failure domain share the watch of evacuations. Nullopt: the deployment has none.
    std::optional<routes_watch_settings> evacuationsWatch = std::nullopt;
    /// Routes that were replaced for longer bind no opening here, if a balancer with newer ones can be reached.
    duration replacedRoutesTimeout = std::chrono::milliseconds(1500);
};

/// A node as the object store lists it.
struct listed_node
{
    host_address address;
    bool isAgent = false;
    std::string service; ///< Agents only.
    std::string domain;
    std::uint32_t slots = 0; ///< Agents only: requests that the upstream processes concurrently. 0: unknown.
    auto operator<=>(const listed_node &) const = default;
};

/// Not thread safe. Actions are appended to `out`.
class packet_balancer
{
public:
    packet_balancer(packet_balancer_settings settings, packet_header_decoder decoder, time_point now);

    /// Processes a packet from a caller.
    void callerPacket(packet arrived, time_point now, packet_actions *out);
    /// Processes a message from another node.
    void message(const host_address &from, node_message arrived, time_point now, packet_actions *out);
    /// Puts routes in force. Does nothing unless their version is higher.
    void applyRoutes(std::shared_ptr<const route_set> routes, time_point now, packet_actions *out);
    /// Processes the complete list of nodes in the object store.
    void applyListing(const std::vector<listed_node> &nodes, time_point now, packet_actions *out);
    /// Call after each answer of the object store about the routes, once those that it held have been applied.
    void storeConfirmedRoutes(const routes_confirmation &answer, time_point now, packet_actions *out);
    /// Whether this balancer watches the operator's configuration in the object store itself.
    bool watchesRoutes(time_point now) const { return routesWatchReason(now) != watch_reason::none; }
    watch_reason routesWatchReason(time_point now) const;
    /// How long ago the object store held no newer routes than those in force, as far as this balancer or another one of
    /// the failure domain knows. Nullopt: unknown.
    std::optional<duration> routesConfirmationAge(time_point now) const;
    /// For how long other balancers are known to have newer routes in force. Nullopt: none is known to.
    std::optional<duration> routesReplacedFor(time_point now) const
    {
        return m_routesHistory.replacedFor(routesVersion(), now);
    }
    /// Call after each answer of the object store about evacuations, with all that it held at `listedAt`.
    void storeListedEvacuations(const evacuation_set &listed, time_point listedAt, time_point now, packet_actions *out);
    /// Whether this balancer watches the evacuations in the object store itself.
    bool watchesEvacuations(time_point now) const { return m_evacuations.isWatcher(now); }
    const evacuation_state &evacuations() const { return m_evacuations.state(); }
    /// Applies the latest era of the object store that this node has heard of.
    void applyStoreEra(std::uint64_t era, time_point now);
    /// Applies the seeds, the flow lifetime and the number of watchers. The other settings cannot change after the start.
    void changeSettings(const packet_balancer_settings &changed);
    /// Periodic work: sends hellos, retries held packets and owner queries, expires state. Call about every
    /// kBalancerTick.
    void advance(time_point now, packet_actions *out);

    /// Sends the owners of all flows to the other balancers of this failure domain, before they receive the callers'
    /// packets.
    void handOffFlows(packet_actions *out) const;
    /// Whether to read newer routes from another balancer at once: this balancer has just started and waits for them, or
    /// does not watch the object store.
    bool needsNewerRoutes(time_point now) const
    {
        return newerRoutes() && (!m_isStoreConfirmed || !watchesRoutes(now));
    }
    /// Reasons why this balancer should not receive callers' packets. Empty: ready.
    std::vector<std::string> notReadyReasons(time_point now) const;
    /// Balancer with the newest routes, if they are newer than the routes in force here.
    std::optional<routes_source> newerRoutes() const { return m_routesSources.latest(routesVersion()); }
    /// Call when the routes could not be read from a source that newerRoutes() named.
    void routesFetchFailed(const routes_source &source) { m_routesSources.recordFailure(source); }
    /// Nodes whose entries this balancer should remove from the object store, since they have been silent for too long.
    std::vector<host_address> staleNodes(time_point now) const;
    std::uint64_t routesVersion() const { return m_routes ? m_routes->version : 0; }
    std::size_t flowCount() const { return m_flows.size(); }
    const agent_directory &agents() const { return m_agents; }
    std::size_t balancerCount() const { return m_balancers.size(); }
    /// Openings that were given to balancers with newer routes, since the start of this one.
    std::uint64_t openingsHandedOver() const { return m_openingsHandedOver; }
    /// Openings that this balancer has refused itself, since its start.
    const refusal_counts &refusals() const { return m_refusals; }

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
        bool isOwnerKnown = false;            ///< False while the owner is searched for.
        bool isOpening = false;               ///< Only opening packets were seen.
        bool hasAlternates = false;           ///< The last opening packet was sent with alternates.
        std::vector<host_address> rejectedBy; ///< Agents that rejected the opening packet.
        /// Of the opening packet, which its copies share. Nullopt: not seen here.
        std::optional<std::uint32_t> openingSequence;
        std::unique_ptr<owner_search> search;     ///< Null unless the owner is searched for.
        std::vector<held_packet> heldForRestart;  ///< Data packets held during a planned restart of the owner.
        std::optional<time_point> searchedAt;     ///< Start of the last search for the owner.
        std::optional<host_address> handedOverBy; ///< Balancer that is to be told the owner.
        bool finished = false;
        time_point lastSeen;
        time_point firstSeen;
    };

    struct known_balancer
    {
        time_point lastHeardAt;
        std::string domain; ///< Empty until its first hello.
        std::uint64_t routesVersion = 0;
        bool takesOpenings = false;
        std::optional<time_point> unansweredSince; ///< First opening that was handed over to it since its last answer.
        time_point handedOverAt;                   ///< The last opening that was handed over to it.
    };
    /// Agents for an opening packet, best first.
    struct placement
    {
        std::string service;
        std::vector<host_address> agents;
        bool isTrial = false;      ///< The first agent is failing and gets the flow as a trial.
        bool isFromRecord = false; ///< The agent is the recorded owner of the flow.
    };

    void forgetEarlierFlow(const flow_key &key, const packet_header &opening);
    bool isTrialAllowed(const packet_route &route, const std::string &service) const;
    placement placeNewFlow(const flow_key &key, const packet_route &route, const std::string &service, time_point now);
    placement placeFlow(const flow_key &key, const packet_route &route, time_point now);
    std::vector<host_address> placementCandidates(const flow_key &key, const std::string &service,
                                                  std::span<const host_address> excluded, time_point now);
    void logPlacement(const packet_header &header, const packet_route &route, const placement &chosen, time_point now,
                      packet_actions *out) const;
    forwarded_packet makeForwardedPacket(forward_purpose purpose, const std::string &service, const flow_key &key,
                                         std::string packetBytes, std::vector<host_address> alternates) const;
    void forward(const host_address &agent, forward_purpose purpose, const std::string &service, const flow_key &key,
                 std::string packetBytes, std::vector<host_address> alternates, packet_actions *out) const;
    void openFlow(packet arrived, const packet_route &route, time_point now, packet_actions *out);
    bool admitOpening(const packet_header &header, const packet_route &route, placement *chosen, time_point now);
    bool wouldMissTimeout(const agent_record &agent, const packet_route &route, time_point now) const;
    bool wouldAllMissTimeout(const std::string &service, const packet_route &route, time_point now) const;
    void recordTimeRefusal(const host_address &agent, const balancer_flow &flow, const host_address &route,
                           bool isLastAgent, time_point now);
    void expireTimeRefusals(time_point now);
    void continueFlow(packet arrived, time_point now, packet_actions *out);
    void takeServiceOfOwner(balancer_flow *flow) const;
    bool isInPlannedRestart(const host_address &agent) const;
    void releaseHeldForRestart(const host_address &agent, time_point now, packet_actions *out);
    void searchOwner(packet arrived, balancer_flow *flow, std::optional<host_address> except, time_point now,
                     packet_actions *out);
    std::string serviceForAgent(const balancer_flow &flow, const host_address &agent) const;
    std::vector<host_address> agentsOfStep(const balancer_flow &flow, const flow_key &key) const;
    bool queryAgentsOfStep(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out);
    bool isStepDone(const owner_search &search, time_point now) const;
    void advanceSearch(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out);
    bool hasQueryAllowance(time_point now);
    bool takeQueryAllowance(time_point now);
    void sendOwnerQuery(const host_address &agent, const balancer_flow &flow, const flow_key &key, time_point now,
                        packet_actions *out);
    void repeatUnansweredQueries(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out);
    void logUndecidedOwner(const flow_key &key, const balancer_flow &flow, time_point now, packet_actions *out) const;
    void advanceSearches(time_point now, packet_actions *out);
    void advanceDueSearches(time_point now, packet_actions *out);
    void rejectFlowWithoutOwner(const flow_key &key, packet_actions *out);
    void onUnroutedPacket(const packet &arrived, packet_actions *out);
    void logReplacedRoutes(time_point now, packet_actions *out);
    bool areRoutesLate(time_point now) const;
    bool isReachableHolder(const known_balancer &balancer, time_point now) const;
    std::optional<host_address> newerRoutesHolder(const packet_header &opening, time_point now);
    bool handOverOpening(const packet &arrived, time_point now, packet_actions *out);
    bool isOwnerKnown(const flow_key &flow) const;
    void onHandedOverOpening(const host_address &from, const forwarded_packet &message, time_point now,
                             packet_actions *out);
    void passOwnerOn(const host_address &owner, const flow_key &flow, packet_actions *out);
    void onReplacedRoutes(const host_address &agent, const rejection_notice &notice, packet returned, time_point now,
                          packet_actions *out);
    void hold(packet arrived, time_point now, packet_actions *out);
    void replayHeld(time_point now, packet_actions *out);
    void rejectPacket(const packet &rejected, const char *reason, packet_actions *out);
    void learnOwner(const host_address &agent, const flow_key &flow, time_point now, packet_actions *out);
    void onRejection(const host_address &agent, const rejection_notice &notice, time_point now, packet_actions *out);
    void onUnknownFlowReturned(const host_address &agent, packet returned, time_point now, packet_actions *out);
    static bool mayReset(const packet_header &rejected, rejection_reason reason);
    void onOpeningRejected(const host_address &agent, rejection_reason reason, packet returned, time_point now,
                           packet_actions *out);
    void onCarriedPacketRejected(const host_address &agent, packet returned, time_point now, packet_actions *out);
    void onOwnerNack(const host_address &agent, const owner_nack &nack, time_point now, packet_actions *out);
    bool isDeniedByAll(const owner_search &search, time_point now) const;
    bool mayBeDeniedByAll(const owner_search &search) const;
    bool takeRemainingOwner(const balancer_flow &flow, const flow_key &key, time_point now, packet_actions *out);
    void probeUncertainAgents(balancer_flow *flow, const flow_key &key, time_point now, packet_actions *out) const;
    void onAgentReport(const host_address &agent, const agent_report &report, time_point now, packet_actions *out);
    void onBalancerHello(const host_address &from, const balancer_hello &hello, time_point now, packet_actions *out);
    void onOwnerList(const host_address &from, const flow_owner_list &owners, time_point now);
    void sendOwnerList(const host_address &balancer, packet_actions *out) const;
    void addBalancer(const host_address &address, time_point now);
    duration helloCycle() const;
    void removeSilentBalancers(time_point now);
    balancer_hello hello() const;
    std::vector<balancer_hello> hellosToBalancer(time_point now) const;
    void introduceSelf(const host_address &balancer, time_point now, packet_actions *out) const;
    void confirmStore(time_point now, packet_actions *out);
    void sendHellos(time_point now, packet_actions *out);
    balancer_hello helloWithoutLists() const;
    void sendToOwnDomain(const balancer_hello &message, packet_actions *out) const;
    void onEvacuationsHeard(const host_address &from, const balancer_hello &hello, time_point now, packet_actions *out);
    void applyEvacuations(const evacuation_set &heard, const std::string &source, time_point now, packet_actions *out);
    void updateAgentEvacuations(const host_address &agent, time_point now, packet_actions *out);
    bool isUpdaterOf(const host_address &agent) const;
    bool areEvacuationsAwaited(duration waited) const;
    void requestMissingEntries(time_point now, packet_actions *out);
    void expireFlows(time_point now);
    bool isStarting(time_point now) const;
    bool isAlone() const;
    bool areUnlistedAgentsKnown(time_point now) const;
    bool knowsAllAgents(time_point now) const;
    void log(log_class kind, std::string text, packet_actions *out) const;

    packet_balancer_settings m_settings;
    packet_header_decoder m_decoder;
    time_point m_startedAt;
    std::mt19937_64 m_random;
    std::shared_ptr<const route_set> m_routes;
    absl::flat_hash_set<host_address> m_droppedRoutes; ///< Service addresses whose route a later version removed.
    agent_directory m_agents;
    absl::btree_map<host_address, known_balancer> m_balancers; ///< Other balancers.
    absl::flat_hash_map<flow_key, balancer_flow> m_flows;
    absl::btree_set<flow_key> m_searchedFlows; ///< Flows whose owner is searched for.
    time_point m_searchesAdvancedAt{};
    std::size_t m_unresponsiveAgents = 0; ///< At the last tick.
    double m_queryAllowance;              ///< Queries beyond the likely owners that may be sent now.
    time_point m_allowanceUpdatedAt;
    absl::btree_map<std::string, retry_budget> m_retryBudgets; ///< By service.
    /// When an agent last refused an opening of a service address for lack of time.
    absl::btree_map<std::pair<host_address, host_address>, time_point> m_timeRefusals;
    refusal_counts m_refusals{};
    std::vector<held_packet> m_held;
    routes_sources m_routesSources;
    routes_history m_routesHistory;        ///< Of other balancers.
    std::uint64_t m_lateVersionLogged = 0; ///< Version in force when it was last logged that it is replaced.
    std::uint64_t m_lateVersion = 0;       ///< Newest version that an agent has rejected as replaced.
    std::uint64_t m_openingsHandedOver = 0;
    routes_watch_role m_watchRole;
    routes_confirmation m_ownConfirmation; ///< Of the routes in force, by the store's latest answer to this balancer.
    balancer_evacuations m_evacuations;
    absl::btree_map<host_address, time_point> m_listedBalancers; ///< Other balancers and when they became listed.
    bool m_isListingKnown = false;
    std::uint64_t m_helloRound = 0;
    std::uint64_t m_storeEra = 0;
    std::optional<time_point> m_routesKnownAt;
    bool m_isStoreConfirmed = false; ///< What the store holds was compared with what another balancer knows.
    bool m_isNeighbourHeard = false; ///< Another balancer with routes in force has said hello.
    std::optional<time_point> m_nextHello;
    std::optional<time_point> m_nextSweep;
};

/// Limit of the flow table; about 300 bytes per flow.
constexpr std::size_t kMaxFlows = 100'000;
/// Interval between hellos to other balancers.
constexpr duration kHelloPeriod = std::chrono::seconds(1);
/// Interval between calls of packet_balancer::advance().
constexpr duration kBalancerTick = std::chrono::milliseconds(100);

} // namespace citroncrank
