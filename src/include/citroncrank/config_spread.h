#pragma once

/// @file
/// Dissemination of configuration revisions to the nodes, and records of what was in force.

#include "citroncrank/config_document.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank {

/// Members that each node announces a newly applied revision to.
constexpr std::size_t kPushFanOut = 4;
/// Members per failure domain that watch the platform.
constexpr std::size_t kWatchersPerDomain = 3;
/// Peers whose revision a new node must know before it counts as ready while the platform is down.
constexpr std::size_t kPeersForReadiness = 3;

/// Member of the fleet as the dissemination sees it.
struct config_member
{
    std::string name;
    std::string domain; ///< Failure domain.
    bool alive = true;
    std::uint64_t incarnation = 0; ///< Changes when the process starts anew.
    auto operator<=>(const config_member &) const = default;
};

/// Tells the recorder of a failure domain which revision a member applied, and when.
struct applied_report
{
    std::string member;
    std::uint64_t revision = 0;
    wall_time appliedAt;
    auto operator<=>(const applied_report &) const = default;
};

/// Names listed in one in-force record; the rest is only counted, which bounds the records kept during an outage.
constexpr std::size_t kMaxLaggingNames = 32;

/// What was in force in a failure domain.
struct config_in_force_record
{
    std::string domain;
    std::uint64_t revision = 0;
    wall_time firstApplied;
    wall_time lastApplied;
    std::uint64_t laggingCount = 0;   ///< Alive members that had not applied the revision or a higher one.
    std::vector<std::string> lagging; ///< The first kMaxLaggingNames of them, in order.
    auto operator<=>(const config_in_force_record &) const = default;
};
/// Object key of a record, for example "config/in-force/0000000042/rvk-a".
std::string inForceKey(const std::string &domain, std::uint64_t revision);
/// Writes the record as YAML.
std::string formatInForceRecord(const config_in_force_record &record);
/// Returns nullopt when the text is not a record.
std::optional<config_in_force_record> parseInForceRecord(const std::string &text);
/// Combines the records of two recorders for one domain and revision: the earliest first and the latest last
/// application, and the shorter list of lagging members, since members only catch up.
config_in_force_record mergeInForceRecords(const config_in_force_record &left, const config_in_force_record &right);

/// Why a received body was not applied.
enum class body_refusal : std::uint8_t {
    too_large,       ///< Exceeds kMaxDocumentBytes.
    unparsable,      ///< Has faults; possibly written by a newer version.
    not_accepted,    ///< The header is not that of an accepted revision.
    number_mismatch, ///< Holds another revision than announced.
};
constexpr int kBodyRefusalCount = 4;
const char *toString(body_refusal reason);

using shared_text = std::shared_ptr<const std::string>;
using shared_revision = std::shared_ptr<const config_revision>;

// Events. Peers are named by their node id.

/// Changed or new members; the first event carries all that are known.
struct members_changed
{
    std::vector<config_member> members;
};
/// A peer told its revision, in a membership message or an announcement.
struct revision_heard
{
    node_id peer = 0;
    std::uint64_t number = 0;
};
/// A peer asks for the revision in force here if it is higher than `above`.
struct fetch_requested
{
    node_id peer = 0;
    std::uint64_t above = 0;
};
/// A body from a peer.
struct body_received
{
    node_id peer = 0;
    std::uint64_t number = 0;
    shared_text document;
};
/// The watch delivered a revision.
struct watch_event
{
    std::uint64_t number = 0;
    shared_text document;
};
/// The watch ended or could not be started.
struct watch_failed
{};
/// The platform answered. `number` is 0 when it holds no revision above the one asked for.
struct platform_read_done
{
    std::uint64_t number = 0;
    shared_text document;
};
struct platform_read_failed
{};
/// A report for this node's failure domain; or, with the own name, the recorder's acknowledgement of an own report. One
/// without a time asks to repeat all reports from that revision on.
struct report_received
{
    node_id peer = 0;
    applied_report report;
};
struct record_write_done
{
    std::uint64_t revision = 0;
};
struct record_write_failed
{
    std::uint64_t revision = 0;
};
/// Time passes; at least every 200 ms.
struct spread_tick
{};

using config_spread_event = std::variant<members_changed, revision_heard, fetch_requested, body_received, watch_event,
                                         watch_failed, platform_read_done, platform_read_failed, report_received,
                                         record_write_done, record_write_failed, spread_tick>;

// Actions.

/// Value of `above` that asks a peer for its number only.
constexpr std::uint64_t kNumberOnly = UINT64_MAX;

/// Ask a peer for its revision. It answers with a body, or announces its number when it has nothing higher.
struct fetch_from_peer
{
    node_id peer = 0;
    std::uint64_t above = 0;
};
/// Tell a peer the own revision; it fetches the body if it lags. Sent as a revision frame without a document, because
/// pushing whole bodies would send each of them to a node about four times.
struct announce_to_peer
{
    node_id peer = 0;
    std::uint64_t number = 0;
};
/// Answer a fetch.
struct send_body
{
    node_id peer = 0;
    std::uint64_t number = 0;
    shared_text document;
};
/// Watch the platform for revisions above `above`. Replaces a running watch.
struct start_watch
{
    std::uint64_t above = 0;
};
struct stop_watch
{};
/// Read the highest revision above `above` from the platform.
struct read_platform
{
    std::uint64_t above = 0;
};
/// Put a revision in force. Numbers only go up.
struct apply_revision
{
    shared_revision revision;
};
/// Send a report to the recorder, return it to the reporter as acknowledgement, or ask a member to repeat its reports.
struct send_report
{
    node_id peer = 0;
    applied_report report;
};
/// Write a record to the platform, merged with the one that is there.
struct write_in_force_record
{
    config_in_force_record record;
};

using config_spread_action = std::variant<fetch_from_peer, announce_to_peer, send_body, start_watch, stop_watch,
                                          read_platform, apply_revision, send_report, write_in_force_record>;
using config_spread_actions = std::vector<config_spread_action>;

/// Time of an event.
struct spread_time
{
    time_point now;
    wall_time wall; ///< Only for records; may step.
};

struct config_spread_settings
{
    std::string name; ///< Configured name of this node.
    std::string domain;
    duration fetchTimeout = std::chrono::milliseconds(500);
    /// Watchers also read the platform this often, since a watch can stop delivering without an error.
    duration watcherReadPeriod = std::chrono::seconds(3);
    duration platformTimeout = std::chrono::seconds(2);
    /// A node that is not ready after this time reads the platform itself.
    duration patience = std::chrono::seconds(1);
    duration firstBackoff = std::chrono::milliseconds(250);
    /// Keeps the time from the end of an outage to the next read under the 11 s in which a revision must be in force.
    duration longestBackoff = std::chrono::seconds(3);
    duration reportPeriod = std::chrono::seconds(5); ///< Until an unacknowledged report is repeated.
    duration recordDelay = std::chrono::seconds(11); ///< Until a record is written although members lag.
    duration recordRetention = std::chrono::minutes(10);
    std::size_t maxRecords = 2000; ///< Records kept while the platform is down; beyond it the oldest is dropped.
};

/// Picks the next time of a repeated request, with doubling and jitter.
class backoff_timer
{
public:
    void succeeded() { m_failures = 0; }
    void failed(duration first, duration longest, time_point now, std::uint64_t random);
    bool isDue(time_point now) const { return now >= m_next; }
    void setNext(time_point when) { m_next = when; }

private:
    int m_failures = 0;
    time_point m_next;
};

/// Alive members of one failure domain and their incarnations, by name.
using domain_members = std::map<std::string, std::uint64_t>;

/// Collects the reports of a failure domain and decides when its records are written. Part of config_spread.
class in_force_recorder
{
public:
    explicit in_force_recorder(const config_spread_settings &settings)
        : m_settings(settings)
    {}

    void addReport(const applied_report &report, time_point now);
    /// Returns a record that is due. At most one write is outstanding. `members` are the alive ones of the domain.
    std::optional<config_in_force_record> nextWrite(const domain_members &members, time_point now,
                                                    std::uint64_t random);
    void writeDone(std::uint64_t revision, time_point now);
    void writeFailed(std::uint64_t revision, time_point now, std::uint64_t random);

    /// Members whose report for the newest pending revision is overdue, at most kMaxLaggingNames.
    std::vector<applied_report> overdueReports(const domain_members &members, time_point now) const;

    std::size_t pendingRecords() const { return m_pending.size(); }
    std::uint64_t droppedRecords() const { return m_dropped; }

private:
    struct pending_record
    {
        wall_time firstApplied;
        wall_time lastApplied;
        time_point since;
        std::uint64_t reports = 0;
        std::uint64_t writtenReports = 0; ///< Reports that the last written record covered; 0 when none was written.
        time_point writtenAt;
    };
    bool isDue(const pending_record &pending, const config_in_force_record &record, time_point now) const;
    config_in_force_record makeRecord(std::uint64_t revision, const pending_record &pending,
                                      const domain_members &members) const;
    void expire(const domain_members &members, time_point now);

    config_spread_settings m_settings;
    std::map<std::string, std::uint64_t> m_applied; ///< Highest revision that each member reported.
    std::map<std::uint64_t, pending_record> m_pending;
    /// Every member had this revision or a higher one, and the record says so. Members that start later apply it too,
    /// which must not change when it was last applied.
    std::uint64_t m_closedUpTo = 0;
    std::optional<config_in_force_record> m_writing;
    std::uint64_t m_writingReports = 0;
    time_point m_writeDeadline;
    backoff_timer m_backoff;
    std::uint64_t m_dropped = 0;
};

/// Dissemination on one node. Not thread safe.
class config_spread
{
public:
    config_spread(config_spread_settings settings, std::uint64_t seed, spread_time start);

    config_spread_actions handle(const config_spread_event &event, spread_time when);

    /// Revision in force; nullptr before the first.
    const shared_revision &current() const { return m_current; }
    std::uint64_t currentNumber() const { return m_current ? m_current->number : 0; }
    /// True once the platform or enough peers told their revision and the highest of them is in force here.
    bool isReady() const { return m_ready; }
    bool isWatcher() const { return m_watching; }
    bool isRecorder() const { return m_recorderName == m_settings.name; }
    /// Bodies refused since the start, by reason.
    const std::array<std::uint64_t, kBodyRefusalCount> &refusedBodies() const { return m_refused; }
    const in_force_recorder &recorder() const { return m_recorder; }

private:
    struct own_report
    {
        applied_report report;
        bool acknowledged = false;
        time_point nextSend;
    };

    void on(const members_changed &event);
    void on(const revision_heard &event);
    void on(const fetch_requested &event);
    void on(const body_received &event);
    void on(const watch_event &event);
    void on(const watch_failed &event);
    void on(const platform_read_done &event);
    void on(const platform_read_failed &event);
    void on(const report_received &event);
    void on(const record_write_done &event);
    void on(const record_write_failed &event);
    void on(const spread_tick &event);

    template<typename Action>
    void act(Action action)
    {
        m_actions.emplace_back(std::move(action));
    }
    void updateRoles();
    void setRecorder(const std::string &name, std::uint64_t incarnation);
    void setWatching(bool watching);
    void updateReadiness();
    void learnNumber(node_id peer, std::uint64_t number);
    /// Applies a body that is higher than the current one; false when it was refused.
    bool offerBody(std::uint64_t number, const shared_text &document);
    void platformAnswered(std::uint64_t number, const shared_text &document);
    std::optional<body_refusal> readBody(std::uint64_t number, const std::string &document, config_revision *out) const;
    void announce();
    void fetchIfLagging();
    void askPeers();
    void watchIfDue();
    void readPlatformIfDue();
    std::uint64_t knownFromPlatform() const;
    void sendReports();
    void writeRecords();
    void requestReports();
    node_id randomPeer();
    std::uint64_t random();

    config_spread_settings m_settings;
    std::uint64_t m_random;
    spread_time m_when;
    config_spread_actions m_actions;

    std::vector<node_id> m_peers;   ///< Alive members besides this one, ordered.
    domain_members m_domainMembers; ///< Of the own failure domain, with this one.
    std::string m_recorderName;
    std::uint64_t m_recorderIncarnation = 0;
    bool m_watching = false;
    bool m_watchRunning = false;
    backoff_timer m_watchBackoff;

    shared_revision m_current;
    shared_text m_document;
    std::uint64_t m_highestHeard = 0;
    std::deque<node_id> m_sources; ///< Peers that told m_highestHeard.
    std::optional<time_point> m_fetchDeadline;
    backoff_timer m_refusalBackoff;
    std::uint64_t m_refusedFromPlatform = 0; ///< Not read again: objects on the platform never change.

    time_point m_impatientAt;
    bool m_ready = false;
    bool m_platformAnswered = false;
    std::set<node_id> m_peersTold;
    time_point m_nextAsk;
    bool m_reading = false;
    time_point m_readDeadline;
    backoff_timer m_readBackoff;

    std::deque<own_report> m_reports;
    in_force_recorder m_recorder;
    time_point m_nextRequest;
    std::array<std::uint64_t, kBodyRefusalCount> m_refused{};
};

} // namespace citroncrank
