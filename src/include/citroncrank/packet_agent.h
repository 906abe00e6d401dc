#pragma once

/// @file
/// Decisions of an agent on the packet path: which packets its upstream gets, which flows the upstream holds, and which
/// requests it has in progress. Performs no I/O; the caller carries out the returned actions.

#include "citroncrank/caller_budget.h"
#include "citroncrank/evacuation_state.h"
#include "citroncrank/flow_snapshot.h"
#include "citroncrank/opening_admission.h"
#include "citroncrank/packet_action.h"
#include "citroncrank/processing_model.h"
#include "citroncrank/refusal.h"
#include "citroncrank/request_head.h"
#include "citroncrank/request_queue.h"
#include "citroncrank/routes_history.h"
#include "citroncrank/sliding_limit.h"
#include "citroncrank/time.h"
#include "citroncrank/upstream_health.h"
#include "citroncrank/upstream_starts.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citroncrank {

/// Opening packets that a cold upstream may get in any second: the rate that its service bears, times `excessMilli`
/// thousandths, plus `slackMilli` thousandths.
struct cold_opening_limit
{
    std::uint32_t excessMilli = 1000;
    std::uint32_t slackMilli = 0;
    auto operator<=>(const cold_opening_limit &) const = default;
};

struct packet_agent_settings
{
    host_address self; ///< Address at which other nodes reach this one.
    std::string service;
    std::string domain;
    std::uint64_t incarnation = 0;
    host_address upstream;           ///< The upstream beside this agent.
    std::vector<host_address> seeds; ///< Balancers to contact first; not all need to be running.
    duration announcementPeriod{0};  ///< Expected time between two announcements of the upstream.
    duration flowLifetime{0};        ///< Flows older than this need not be kept.
    duration minSnapshotInterval{0}; ///< Shortest time between two snapshots of the open flows. 0 disables snapshots.
    std::uint32_t storeWritesPerSecond = 1; ///< Write calls that the store accepts from all nodes together.
    duration evacuationTime{0};             ///< An evacuation is in force this long after its write. 0: there are none.
    std::optional<cold_opening_limit> coldLimit = std::nullopt; ///< Nullopt: none.
    /// Openings that are bound by routes which were replaced for longer are rejected.
    duration replacedRoutesTimeout = std::chrono::milliseconds(1500);
};

/// Announcement that an upstream sends to its agent periodically.
struct upstream_announcement
{
    std::string id;
    std::string service;
    host_address address;
    std::string version; ///< Software version.
    std::uint32_t slots = 0;
    bool isDraining = false;
    duration coldRemaining{0};     ///< Remaining time for which it is slow after its start.
    std::uint64_t number = 0;      ///< Increases with each announcement of one start.
    std::uint64_t startedAtMs = 0; ///< Start time, in milliseconds since the Unix epoch. Identifies a start.
    /// Unix time of the arrival at the agent, in milliseconds. 0: not known, so it may have been delayed.
    std::uint64_t receivedAtMs = 0;
    auto operator<=>(const upstream_announcement &) const = default;
};

/// Notice of an upstream that it leaves permanently.
struct upstream_leave
{
    std::string id;
    std::optional<std::uint64_t> startedAtMs; ///< Of the start that leaves, if the notice names it.
    auto operator<=>(const upstream_leave &) const = default;
};

/// A request whose answer has begun.
struct request_observation
{
    duration latency{0};      ///< From its first packet to the first packet of the answer, as seen by the agent.
    std::uint32_t status = 0; ///< 0: the answer does not begin with a status line.
    auto operator<=>(const request_observation &) const = default;
};

/// Counters since the start of the agent.
struct packet_agent_counts
{
    std::uint64_t opened = 0;
    std::uint64_t forwardedToAlternate = 0;
    std::uint64_t rejected = 0;
    std::uint64_t returned = 0; ///< Packets that the upstream returned because it did not accept them.
    std::uint64_t resets = 0;
    std::uint64_t requests = 0;
    std::uint64_t openedEvacuated = 0; ///< Opening packets delivered while the failure domain was evacuated.
    std::uint64_t refusedEvacuated = 0;
    std::uint64_t refusedCold = 0;    ///< Opening packets over the limit of a cold upstream.
    std::uint64_t replacedRoutes = 0; ///< Opening packets that were bound by routes replaced too long ago.
    auto operator<=>(const packet_agent_counts &) const = default;
};

/// Why a new flow goes to an alternate if there is one.
enum class forwarding_reason : std::uint8_t {
    unconfirmed,  ///< The upstream may be draining or leaving, which is unknown until its first announcement.
    failing,      ///< The upstream fails requests.
    no_free_slot, ///< As many requests as the upstream has slots compete with a new one.
};
const char *toString(forwarding_reason reason);

/// Not thread safe. Actions are appended to `out`.
class packet_agent
{
public:
    packet_agent(packet_agent_settings settings, packet_header_decoder decoder, request_head_reader readHead,
                 time_point now);

    /// Handles a message from another node.
    void message(const host_address &from, node_message arrived, time_point now, packet_actions *out);
    /// Handles a packet that the upstream sent, or returned (`header.returned`).
    void upstreamPacket(packet arrived, time_point now, packet_actions *out);
    /// Handles an announcement of the upstream. The caller confirms it to the upstream once the actions are carried
    /// out.
    announcement_result announce(const upstream_announcement &announcement, time_point now, packet_actions *out);
    /// Handles the upstream's notice that it leaves permanently. One that does not name the start which announces itself
    /// may be late, so it takes effect only once recordUpstreamAbsent() confirms it.
    announcement_result leave(const upstream_leave &notice, time_point now, packet_actions *out);
    /// Whether a notice that the upstream leaves has not been confirmed yet.
    bool isLeavePending() const { return m_pendingLeave.has_value(); }
    /// Whether the caller should probe now if something listens at the upstream's address, to confirm such a notice.
    bool takeProbeRequest(time_point now);
    /// Records that nothing listens at the upstream's address, so no running upstream holds flows. Ignored once the
    /// upstream has announced itself, unless it has sent a notice that it leaves since.
    void recordUpstreamAbsent(time_point now, packet_actions *out);
    /// Records that something listens at the upstream's address, so missing announcements do not show that it is gone.
    void recordUpstreamListening() { m_wasUpstreamListening = true; }
    /// Sets the number of slots that an earlier start of this agent wrote to the store. Used until the upstream
    /// announces itself. 0 if the store does not have it.
    void assumeSlots(std::uint32_t slots);
    /// Restores the open flows that an earlier start of this agent wrote to the store.
    void restore(flow_snapshot snapshot, time_point now, packet_actions *out);
    /// Returns the open flows if they should be written to the store now, and counts them as written.
    std::optional<flow_snapshot> takeDueSnapshot(time_point now);
    /// Whether a balancer has reported since the last call that this agent's entry is missing from the store.
    bool takeRegistrationRequest() { return std::exchange(m_isEntryMissing, false); }
    /// Adds the balancers that the store lists.
    void applyBalancers(const std::vector<host_address> &balancers, time_point now, packet_actions *out);
    /// Applies the seeds, the announcement period, the flow lifetime and the limits on snapshots. The other settings
    /// are fixed at the start.
    void changeSettings(const packet_agent_settings &changed);
    /// Starts a graceful stop: requests in progress are still answered, and no other request is started.
    void beginStop(time_point now, packet_actions *out);
    /// Whether the requests in progress at beginStop() have been answered or have timed out.
    bool isDoneStopping(time_point now) const;
    /// Call just before the process ends.
    void stop(time_point now, packet_actions *out);
    /// Periodic work. Call about every kAgentTick.
    void advance(time_point now, packet_actions *out);

    agent_report report(time_point now);
    const evacuation_state &evacuations() const { return m_evacuations; }
    /// Learned processing time of all kinds of requests.
    processing_estimate processing(time_point now) const { return m_processing.overall(now); }
    /// Expected wait of a new request for a slot.
    double expectedWaitMs(time_point now) const;
    agent_state state() const { return m_state; }
    const packet_agent_counts &counts() const { return m_counts; }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t busy() const { return m_requestsInProgress + m_expected + m_queue.size() + m_waitingProbes.size(); }
    /// Number of requests that compete with a new one for a slot. Excludes waiting requests past their latency target,
    /// since those yield to any request that can still meet its target.
    std::size_t competingRequests(time_point now) const;
    /// Removes and returns the requests that were answered since the last call.
    std::vector<request_observation> takeObservations();
    /// Removes and returns the waits that were estimated or measured since the last call.
    std::vector<wait_observation> takeWaits();
    /// Refused openings since the start of the agent.
    const refusal_counts &refusals() const { return m_refusals; }

private:
    enum class flow_phase : std::uint8_t {
        opening, ///< An opening packet was delivered, and the upstream has not answered yet.
        open,    ///< The upstream has sent a packet of the flow.
        probing, ///< A packet was delivered to find out whether the upstream holds the flow.
        ended,   ///< The start of the upstream that held it has ended.
    };
    enum class request_phase : std::uint8_t {
        none,
        waiting,     ///< Its packets are held until the upstream has a free slot.
        in_progress, ///< Delivered and not answered yet.
    };
    struct agent_flow
    {
        flow_phase phase = flow_phase::probing;
        host_address origin;                  ///< Balancer that sent the most recent packet.
        std::vector<host_address> alternates; ///< Other agents that may take the flow. Used while opening.
        std::string service;
        request_limits limits;
        bool hasUpstreamInitialSequence = false;
        bool hasUpstreamNextSequence = false;
        bool hasCallerNextSequence = false;
        std::optional<std::uint32_t> callerInitialSequence; ///< Of the opening packet, if this agent delivered it.
        std::uint32_t upstreamInitialSequence = 0;          ///< Of the upstream's opening answer, once seen.
        std::uint32_t upstreamNextSequence = 0;             ///< Follows the upstream's last byte.
        std::uint32_t callerNextSequence = 0;               ///< Follows the caller's last byte.
        std::uint32_t callerAcknowledged = 0;
        bool isConfirmed = false; ///< The caller uses the flow here, not at another upstream that answered its opening.
        bool isRestored = false;  ///< Known only from a snapshot; the upstream has sent no packet of it since.
        bool callerFinished = false;
        bool upstreamFinished = false;
        bool isFirstRequestDue = false; ///< Opened at this agent and has carried no request yet.
        bool isExpected = false;        ///< Counts as a request that is about to arrive.
        request_phase request = request_phase::none;
        bool awaitsAnswerHead = false; ///< The head of the answer has not been seen yet.
        std::uint32_t answerStart = 0; ///< Sequence number at which the answer to the last request begins.
        std::string requestId;
        std::vector<packet> held;            ///< Packets of the waiting request, in order of arrival.
        duration requestAge{0};              ///< Time from the caller's first attempt of the request to its arrival.
        time_point requestArrivedAt;         ///< When the first packet of the request arrived.
        time_point processingSince;          ///< When the request was delivered to the upstream.
        bool isMeasured = false;             ///< Its processing time counts: the upstream held the flow from the start.
        std::optional<time_point> slotSince; ///< When the request got a slot; nullopt: it waits for one there.
        time_point requestDeadline;          ///< The caller times out at this time.
        time_point lastSeen;
        time_point firstSeen;
    };
    using flow_map = absl::flat_hash_map<flow_key, agent_flow>;
    /// A notice that the upstream leaves, which may be a late one of an earlier start.
    struct pending_leave
    {
        upstream_leave notice;
        time_point arrivedAt;
        time_point nextProbe;
        duration probePause{0};
    };

    void handleForwarded(forwarded_packet arrived, time_point now, packet_actions *out);
    void answerOwnerQuery(const host_address &from, const owner_query &query, time_point now, packet_actions *out);
    void handleOpening(forwarded_packet arrived, packet content, time_point now, packet_actions *out);
    void handleFlowPacket(forwarded_packet arrived, packet content, time_point now, packet_actions *out);
    void rejectPacket(forwarded_packet arrived, rejection_reason reason, packet_actions *out);
    void recordRoutes(const host_address &balancer, std::uint64_t version, time_point now);
    bool isBoundByReplacedRoutes(const forwarded_packet &opening, time_point now) const;
    void rejectReplacedRoutes(forwarded_packet arrived, const flow_key &flow, time_point now, packet_actions *out);
    agent_load_sample loadSample(time_point now) const;
    void settleOnLeastLoaded(forwarded_packet *arrived, time_point now) const;
    void forwardToAlternate(forwarded_packet arrived, const char *reason, const flow_key &flow, packet_actions *out);
    std::optional<rejection_reason> openingRejectionReason(const std::string &service) const;
    std::optional<forwarding_reason> forwardingReason(bool isTrial, time_point now) const;
    bool isEvacuated() const { return m_evacuations.isEvacuated(m_settings.domain); }
    void applyEvacuations(const host_address &from, const balancer_hello &hello, time_point now, packet_actions *out);
    void checkEvacuations(time_point now, packet_actions *out);
    bool deliverCopy(const flow_key &key, agent_flow *flow, const packet &content, time_point now, packet_actions *out);
    void withdrawOpening(const flow_key &key, time_point now);
    bool isCopy(const agent_flow &flow, const packet_header &opening, const std::string &service) const;
    static bool isLaterFlow(const agent_flow &flow, const packet_header &opening);
    bool isRefusedAgain(const agent_flow &flow) const;
    bool isWithdrawn(const flow_key &key, const packet_header &header) const;
    bool isColdOpeningAllowed(const request_limits &limits, time_point now);
    void recordOpening(const flow_key &key, time_point now);
    bool mayBeCold(time_point now) const;
    duration coldRemaining(time_point now) const;
    bool hasFreeSlot(time_point now) const;
    admission_estimate admissionEstimate(const request_limits &limits, time_point now) const;
    void recordOffered(const request_limits &limits, time_point now);
    std::optional<refusal_cause> openingRefusalCause(const request_limits &limits, time_point now);
    void refuseOpening(forwarded_packet arrived, const flow_key &key, refusal_cause cause, time_point now,
                       packet_actions *out);
    void countRefusal(rejection_reason reason);
    bool acknowledgementFits(const agent_flow &flow, const packet_header &header) const;
    void deliver(const flow_key &key, agent_flow *flow, packet content, time_point now, packet_actions *out);
    bool isRequestStart(agent_flow *flow, const packet &content);
    void identifyRequest(const flow_key &key, agent_flow *flow, const packet &content, packet_actions *out);
    void beginRequest(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                      packet_actions *out);
    duration requestAge(const flow_key &key, const agent_flow &flow, const request_head &head, time_point now);
    waiting_request waitingRequest(const flow_key &key, const agent_flow &flow, const request_head &head,
                                   time_point now) const;
    void startProcessing(const flow_key &key, agent_flow *flow, time_point now, packet_actions *out);
    void dispatch(time_point now, packet_actions *out);
    std::optional<flow_key> takeNextWaiting(time_point now, packet_actions *out);
    void dropRequest(const flow_key &key, agent_flow *flow, packet_actions *out);
    void dropExpired(time_point now, packet_actions *out);
    void recordOutcome(upstream_outcome outcome, const flow_key &key, time_point now, packet_actions *out);
    void recordReset(const flow_key &key, const agent_flow &flow, time_point now, packet_actions *out);
    void checkTimeouts(time_point now, packet_actions *out);
    void checkOpeningTimeouts(time_point now, packet_actions *out);
    void checkProbeTimeouts(time_point now, packet_actions *out);
    void checkRequestTimeouts(time_point now, packet_actions *out);
    std::uint32_t slots() const;
    std::size_t capacity() const;
    std::size_t maxWithinTarget() const;
    void recordAnswer(const flow_key &key, agent_flow *flow, const packet &content, time_point now,
                      packet_actions *out);
    void recordSlotTaken(const flow_key &key, agent_flow *flow, time_point now);
    void recordSlotFreed(agent_flow *flow, time_point now);
    void recordProcessingTime(const agent_flow &flow, time_point now);
    double processingMs() const;
    double answerTimeMs() const;
    void recordUpstreamSequence(agent_flow *flow, const packet_header &header);
    void handleReturnedPacket(packet content, time_point now, packet_actions *out);
    void releaseRequestsInProgress(time_point now);
    void endFlows(const char *reason, time_point now, packet_actions *out);
    void logRequest(const flow_key &key, const agent_flow &flow, const char *what, packet_actions *out) const;
    void releaseRequest(const flow_key &key, agent_flow *flow, time_point now);
    void expectRequest(const flow_key &key, agent_flow *flow, time_point now);
    void updateMean(time_point now);
    void setState(agent_state state, const std::string &cause, time_point now, packet_actions *out);
    void sendReports(time_point now, packet_actions *out);
    void sendSeedHellos(time_point now, packet_actions *out);
    void evictFlows(time_point now);
    duration reportPeriod() const;
    bool isStartSeen(const known_start &start, packet_actions *out) const;
    void recordForeign(const upstream_announcement &foreign, time_point now, packet_actions *out);
    void recordProvenStart(const std::optional<known_start> &ended, time_point now, packet_actions *out);
    void recordLeft(time_point leftAt, const std::string &cause, time_point now, packet_actions *out);
    upstream_evidence evidence() const;
    void resolveRestored(time_point now, packet_actions *out);
    void endFlowsOfEarlierStart(const std::optional<known_start> &ended, time_point now, packet_actions *out);
    bool restoreFlow(const snapshot_flow &entry, snapshot_verdict verdict, time_point now);
    void sendResets(packet_actions *out);
    bool isInSnapshot(const agent_flow &flow, time_point now) const;
    bool hasSeenAllFlows(time_point now) const;
    bool wasReturnedByUpstream(const flow_key &flow, time_point now) const;
    bool isOtherService(const std::string &service) const;
    void log(log_class kind, std::string text, packet_actions *out) const;

    packet_agent_settings m_settings;
    packet_header_decoder m_decoder;
    request_head_reader m_readHead;
    time_point m_startedAt;
    agent_state m_state = agent_state::unconfirmed;
    std::optional<upstream_announcement> m_upstream; ///< Last accepted announcement.
    std::optional<time_point> m_lastAnnouncementAt;
    std::uint32_t m_assumedSlots; ///< Until the upstream announces itself.
    bool m_wasUpstreamAbsent = false;
    bool m_wasUpstreamListening = false;
    upstream_starts m_starts;
    bool m_sawUpstreamStart = false;         ///< A proven start of the upstream is later than this agent's.
    std::optional<flow_snapshot> m_restored; ///< Until it is known whether its flows still exist.
    std::uint64_t m_restoredStartMs = 0;     ///< Start of the upstream that the snapshot names.
    std::deque<reset_flow> m_resetsToSend;   ///< Of flows that ended with an earlier start of the upstream.
    snapshot_schedule m_snapshotSchedule;
    std::optional<time_point> m_nextSnapshotCheck;
    std::size_t m_fleetAgents = 1; ///< Number of agents, as reported by the balancers.
    bool m_isEntryMissing = false;
    std::optional<time_point> m_leftAt;
    std::optional<pending_leave> m_pendingLeave;
    std::optional<time_point> m_stoppingSince;
    time_point m_lastUpstreamPacketAt; ///< Time of the last packet from the upstream.
    flow_map m_flows;
    absl::flat_hash_map<flow_key, time_point>
        m_returnedFlows; ///< Flows that the upstream does not hold, and since when.
    std::deque<std::pair<time_point, flow_key>> m_expectationDeadlines;
    absl::btree_map<host_address, time_point> m_balancers; ///< With the time of the last message.
    std::vector<request_observation> m_observations;
    packet_agent_counts m_counts;
    upstream_health m_health;
    std::deque<std::pair<time_point, flow_key>> m_openingsSent; ///< Opening packets, in order of delivery.
    std::deque<std::pair<time_point, flow_key>> m_requestsSent; ///< Requests, in order of delivery.
    std::deque<std::pair<time_point, flow_key>> m_probesSent;   ///< Requests on flows that the upstream may not hold.
    caller_budgets m_callerBudgets;
    request_queue m_queue;
    offered_load m_offeredLoad;
    refusal_counts m_refusals{};
    std::vector<wait_observation> m_waits;
    std::deque<flow_key> m_waitingProbes; ///< Requests on flows that the upstream may not hold, in order of arrival.
    std::size_t m_requestsInProgress = 0;
    std::size_t m_expected = 0;
    double m_meanBusy = 0;
    processing_model m_processing;
    std::size_t m_measuredRequests = 0;     ///< Requests in progress whose processing time counts.
    std::deque<flow_key> m_requestsForSlot; ///< Those that wait for a slot at the upstream, in order of delivery.
    double m_meanSlackMs;                   ///< Time that a request may wait and still meet its latency target.
    time_point m_meanUpdatedAt;
    std::uint64_t m_reportNumber = 0;
    std::optional<time_point> m_nextReport;
    std::optional<time_point> m_nextSeedHello;
    duration m_seedHelloDelay{0};
    std::optional<time_point> m_nextSweep;
    evacuation_state m_evacuations;
    bool m_areEvacuationsMissed = false; ///< Their absence has been logged.
    /// Flows that were refused although an opening packet had been delivered; the upstream's answers to them are dropped.
    absl::flat_hash_map<flow_key, time_point> m_withdrawnOpenings;
    sliding_limit m_openingsDelivered; ///< Opening packets, including copies.
    routes_history m_routesHistory;    ///< Of the balancers.
    host_address m_newestRoutesHolder; ///< Balancer that was last heard with the newest routes.
};

/// Interval between calls of packet_agent::advance().
constexpr duration kAgentTick = std::chrono::milliseconds(50);

} // namespace citroncrank
