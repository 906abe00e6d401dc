#pragma once

/// @file
/// Selection of an agent for an open at one balancer: upstream table, load hints, candidate selection, retry budget.

#include "citroncrank/frame.h"
#include "citroncrank/ids.h"
#include "citroncrank/member.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

/// Properties of one agent, taken from its member record.
struct upstream_record
{
    node_id agent = 0;
    std::uint64_t incarnation = 0;
    host_address address;
    std::string service;
    std::string domain; ///< Failure domain.
    member_state state = member_state::alive;
    serving_state serving = serving_state::starting;
    std::uint16_t slots = 0;
    std::uint32_t connections = 0;
    auto operator<=>(const upstream_record &) const = default;
};

/// All agents known to a balancer. Immutable; a membership change builds a new one.
class upstream_table
{
public:
    upstream_table() = default;

    /// Builds the table from member records; records of balancers are left out. A later record of the same name
    /// replaces an earlier one with a lower (incarnation, version).
    static upstream_table build(std::span<const member_record> members, std::uint64_t revision);

    /// Agents of the service, ordered by agent id. Empty if the service is unknown.
    std::span<const upstream_record> ofService(std::string_view service) const;
    /// Returns the agent with the id, in any state, or null.
    const upstream_record *find(node_id agent) const;

    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const { return m_records.size(); }

private:
    struct record_range
    {
        std::size_t first = 0;
        std::size_t count = 0;
    };

    std::uint64_t m_revision = 0;
    std::vector<upstream_record> m_records; ///< Ordered by (service, agent).
    absl::flat_hash_map<std::string, record_range> m_services;
    absl::flat_hash_map<node_id, std::size_t> m_byAgent;
};

/// Estimated load of one agent.
struct load_estimate
{
    double slotLoad = 0;       ///< Requests running, queued, and sent since the last report, per slot.
    double connectionLoad = 0; ///< Sessions open, and sent since the last report, per connection.
    bool draining = false;
    auto operator<=>(const load_estimate &) const = default;
};

struct load_hint_settings
{
    duration maxAge = std::chrono::seconds(2); ///< Reports received longer ago are ignored.
    /// How long an agent counts as full after it queued an open, regardless of its reports.
    duration queuedHoldTime = std::chrono::milliseconds(100);
    /// How long the load reports of an agent are ignored after it queued an open while it reported free slots.
    duration contradictionHoldTime = std::chrono::seconds(10);
    /// Load assumed for an agent without a usable report, not counting the opens sent to it. Below 1, so that a new
    /// agent receives flows.
    double assumedLoad = 0.75;
    auto operator<=>(const load_hint_settings &) const = default;
};

/// Last load report that this balancer received from each agent. The reports are only hints: a wrong one costs another
/// open and does not affect correctness. Not thread safe.
class load_hints
{
public:
    explicit load_hints(const load_hint_settings &settings = {})
        : m_settings(settings)
    {}

    /// Records a load report and resets the count of opens sent since the last one.
    void reported(node_id agent, const load_report &report, time_point now);
    /// Records that this balancer forwarded an open to the agent.
    void opened(node_id agent, time_point now);
    /// Records that the agent queued an open. Call `reported` first if the same frame has a load report: a report with
    /// free slots contradicts a queued open.
    void queuedAt(node_id agent, std::uint16_t position, time_point now);

    /// Estimates the load from the hints that are fresh at `now`. Capacities missing from the report are taken from
    /// the record.
    load_estimate estimate(const upstream_record &upstream, time_point now) const;

    /// Removes entries without a fresh hint. Call once per `maxAge`, so that memory is bounded by the live agents.
    void removeStale(time_point now);
    std::size_t size() const { return m_hints.size(); }

private:
    struct hint
    {
        load_report report;
        std::optional<time_point> reportedAt;
        std::uint32_t opensSinceReport = 0;
        std::optional<time_point> lastOpenAt;
        std::uint16_t queuePosition = 0;
        std::optional<time_point> lastQueuedAt;
        std::optional<time_point> lastContradictedAt; ///< Last time an answer contradicted a report.
    };

    bool isFresh(const std::optional<time_point> &time, duration maxAge, time_point now) const
    {
        return time && now - *time <= maxAge;
    }

    load_hint_settings m_settings;
    absl::flat_hash_map<node_id, hint> m_hints;
};

/// Criteria for the selection of an agent for an open.
struct candidate_query
{
    std::string_view service;
    flow_id flow;
    flow_kind kind = flow_kind::request;
    flow_class flowClass = flow_class::normal;
    std::span<const node_id> tried; ///< Agents to skip.
    std::string_view ownDomain;     ///< Failure domain of the balancer.
    /// Number of candidates compared by load. More follow the load more closely; fewer keep balancers with the same
    /// hints from sending all flows to one agent. 0 counts as 1.
    std::uint32_t choices = 3;
    std::uint64_t seed = 0; ///< Seed of the rendezvous order; equal at all balancers.
};

/// Why there is no candidate.
enum class no_candidate_reason : std::uint8_t {
    unknown_service, ///< The table has no agent of the service.
    none_ready,      ///< All agents are dead, starting or draining.
    all_tried,       ///< Every ready agent is in `tried`.
};
constexpr int kNoCandidateReasonCount = 3;
const char *toString(no_candidate_reason reason);

/// Selects an agent for an open. Balancers with the same table and hints select the same agent for a flow. If there is
/// none, returns nullopt and stores the reason in `lastReason`, which may be null.
std::optional<upstream_record> chooseCandidate(const upstream_table &table, const load_hints &hints,
                                               const candidate_query &query, time_point now,
                                               no_candidate_reason *lastReason);

struct retry_budget_settings
{
    std::uint32_t retriesPer1000Successes = 100;
    std::uint32_t initialTokens = 10; ///< Retries allowed before the first success.
    std::uint32_t maxTokens = 100;    ///< Retries that can accumulate.
    auto operator<=>(const retry_budget_settings &) const = default;
};

/// Limits retries to a fraction of the successes, so that retries do not multiply the load of a failing service.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings &settings = {});

    void onSuccess();
    /// Takes one token. Returns false if none is left, in which case the flow must not be retried.
    bool trySpend();
    std::uint32_t tokens() const { return std::uint32_t(m_milliTokens / kMilliTokensPerToken); }

private:
    static constexpr std::uint64_t kMilliTokensPerToken = 1000;

    retry_budget_settings m_settings;
    std::uint64_t m_milliTokens = 0;
};

} // namespace citroncrank
