#pragma once

/// @file
/// Dissemination of configuration revisions to the nodes, and records of the revisions that were in force.

#include "citroncrank/backoff_timer.h"
#include "citroncrank/config_document.h"
#include "citroncrank/lost_revisions.h"

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

/// Number of members to which a node advertises a newly applied revision.
constexpr std::size_t kPushFanOut = 4;
/// Members per failure domain that watch the platform.
constexpr std::size_t kWatchersPerDomain = 3;
/// Peers whose revision a starting node must know to become ready while the platform is down.
constexpr std::size_t kPeersForReadiness = 3;

/// Member of the fleet, with the fields that dissemination uses.
struct config_member
{
    std::string name;
    std::string domain; ///< Failure domain.
    bool alive = true;
    std::uint64_t incarnation = 0; ///< Changes when the process restarts.
    auto operator<=>(const config_member &) const = default;
};

/// Report to the recorder of a failure domain: which revision a member applied, and when.
struct applied_report
{
    std::string member;
    std::uint64_t revision = 0;
    wall_time appliedAt;
    auto operator<=>(const applied_report &) const = default;
};

/// Names listed in one in-force record. Further names are only counted, which bounds the memory for records that wait
/// during an outage of the platform.
constexpr std::size_t kMaxLaggingNames = 32;

/// When a revision came into force in a failure domain, and which members lag behind it.
struct config_in_force_record
{
    std::string domain;
    std::uint64_t revision = 0;
    wall_time firstApplied;
    wall_time lastApplied;
    std::uint64_t laggingCount = 0;   ///< Alive members that had not applied the revision or a higher one.
    std::vector<std::string> lagging; ///< The first kMaxLaggingNames of them, sorted.
    auto operator<=>(const config_in_force_record &) const = default;
};
/// Object key of a record, for example "config/in-force/0000000042/rvk-a".
std::string inForceKey(const std::string &domain, std::uint64_t revision);
/// Formats a record as YAML.
std::string formatInForceRecord(const config_in_force_record &record);
/// Parses a record; nullopt when the text is not one.
std::optional<config_in_force_record> parseInForceRecord(const std::string &text);
/// Merges the records of two recorders for one domain and revision: the earlier firstApplied, the later lastApplied,
/// and the shorter list of lagging members, since a member that caught up does not lag again.
config_in_force_record mergeInForceRecords(const config_in_force_record &left, const config_in_force_record &right);

/// Why the document of a received revision was not applied.
enum class body_rejection : std::uint8_t {
    too_large,       ///< Exceeds kMaxDocumentBytes.
    unparsable,      ///< Has faults; possibly written by a newer software version.
    not_accepted,    ///< The header is not that of an accepted revision.
    number_mismatch, ///< Contains another revision number than the message that carried it.
};
constexpr int kBodyRejectionCount = 4;
const char *toString(body_rejection reason);

using shared_text = std::shared_ptr<const std::string>;
using shared_revision = std::shared_ptr<const config_revision>;

// Events. Peers are identified by their node id.

/// Changed or new members; the first event carries all known members.
struct members_changed
{
    std::vector<config_member> members;
};
/// A peer advertised its revision, in a membership message or a revision frame.
struct revision_advertised
{
    node_id peer = 0;
    std::uint64_t number = 0;
};
/// A peer requests the revision in force on this node if it is higher than `above`.
struct fetch_requested
{
    node_id peer = 0;
    std::uint64_t above = 0;
};
/// A peer sent the document of its revision.
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
/// The platform answered a read. `number` is 0 when it holds no revision above the requested one.
struct platform_read_done
{
    std::uint64_t number = 0;
    shared_text document;
};
struct platform_read_failed
{};
/// A report of a member of this node's failure domain. If it names this node as the member, it is the recorder's
/// acknowledgement of that report or, when `appliedAt` is not set, the recorder's request to repeat all reports from
/// that revision on.
struct report_received
{
    node_id peer = 0;
    applied_report report;
};
struct record_write_done
{
    std::uint64_t revision = 0;
    std::uint64_t era = 0; ///< Era of the platform that answered. 0: unknown.
};
struct record_write_failed
{
    std::uint64_t revision = 0;
};
/// Runs timers. Due at least every 200 ms.
struct dissemination_tick
{};

using config_dissemination_event =
    std::variant<members_changed, revision_advertised, fetch_requested, body_received, watch_event, watch_failed,
                 platform_read_done, platform_read_failed, report_received, record_write_done, record_write_failed,
                 platform_restored, lost_revisions_written, lost_revisions_write_failed, dissemination_tick>;

// Actions.

/// Value of `above` that requests only the revision number of a peer.
constexpr std::uint64_t kNumberOnly = UINT64_MAX;

/// Request the revision of a peer if it is higher than `above`. The peer answers with the document, or only with its
/// revision number when it has nothing higher.
struct fetch_from_peer
{
    node_id peer = 0;
    std::uint64_t above = 0;
};
/// Advertise this node's revision to a peer, which fetches the document if it lags. Sent as a revision frame without a
/// document, because pushing documents would deliver each of them to a node about four times.
struct advertise_to_peer
{
    node_id peer = 0;
    std::uint64_t number = 0;
};
/// Send the document of the revision in force in response to a fetch.
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
/// Put a revision in force. Each has a higher number than the one before.
struct apply_revision
{
    shared_revision revision;
};
/// Send a report to the recorder, return it to its sender as acknowledgement, or request that a member repeats its
/// reports.
struct send_report
{
    node_id peer = 0;
    applied_report report;
};
/// Write a record to the platform, merged with the stored one.
struct write_in_force_record
{
    config_in_force_record record;
};

using config_dissemination_action =
    std::variant<fetch_from_peer, advertise_to_peer, send_body, start_watch, stop_watch, read_platform, apply_revision,
                 send_report, write_in_force_record, write_lost_revisions>;
using config_dissemination_actions = std::vector<config_dissemination_action>;

/// Time of an event on both clocks.
struct dissemination_time
{
    time_point now;
    wall_time wall; ///< Used only in reports and records, since it can jump.
};

struct config_dissemination_settings
{
    std::string name; ///< Configured name of this node.
    std::string domain;
    duration fetchTimeout = std::chrono::milliseconds(500);
    /// Interval at which watchers also read the platform, since a watch can stop delivering without an error.
    duration watcherReadPeriod = std::chrono::seconds(3);
    duration platformTimeout = std::chrono::seconds(2);
    /// A node that is not ready after one to two times this span (jittered) reads the platform itself.
    duration readinessTimeout = std::chrono::seconds(1);
    duration initialBackoff = std::chrono::milliseconds(250);
    /// Keeps the time from the end of an outage to the next read below the 11 s within which an accepted revision must
    /// be in force.
    duration maxBackoff = std::chrono::seconds(3);
    duration reportPeriod = std::chrono::seconds(5); ///< Interval at which an unacknowledged report is repeated.
    duration recordDelay = std::chrono::seconds(11); ///< Time after which a record is written even if members lag.
    duration recordRetention = std::chrono::minutes(10);
    std::size_t maxRecords = 2000; ///< Records kept while the platform is down; above it the oldest is dropped.
};

/// Incarnations of the alive members of one failure domain, by member name.
using domain_members = std::map<std::string, std::uint64_t>;

/// Collects the reports of a failure domain and decides when its in-force records are written. Part of config_dissemination.
class in_force_recorder
{
public:
    explicit in_force_recorder(const config_dissemination_settings &settings)
        : m_settings(settings)
    {}

    void addReport(const applied_report &report, time_point now);
    /// Returns a record that is due to be written; at most one write is in progress. `members` are the alive members of
    /// the domain.
    std::optional<config_in_force_record> nextWrite(const domain_members &members, time_point now,
                                                    std::uint64_t random);
    /// A write of an earlier era than that of the last rewriteLatest() counts as failed.
    void writeDone(const record_write_done &result, time_point now, std::uint64_t random);
    void writeFailed(std::uint64_t revision, time_point now, std::uint64_t random);
    /// Makes the latest records be written again, since the platform may have lost them.
    void rewriteLatest(std::uint64_t era);

    /// Requests to the members whose report for the newest pending revision is overdue, at most kMaxLaggingNames.
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
        std::uint64_t writtenReports = 0; ///< Reports that the last written record includes; 0 before the first write.
        time_point writtenAt;
    };
    bool isDue(const pending_record &pending, const config_in_force_record &record, time_point now) const;
    config_in_force_record makeRecord(std::uint64_t revision, const pending_record &pending,
                                      const domain_members &members) const;
    void expire(const domain_members &members, time_point now);
    void recordWritten(const config_in_force_record &record);

    config_dissemination_settings m_settings;
    std::map<std::string, std::uint64_t> m_applied; ///< Highest revision that each member reported.
    std::map<std::uint64_t, pending_record> m_pending;
    /// Highest revision whose record is final: every member had applied it or a higher one, or its retention ended.
    /// Members that start later apply it as well, which must not change its lastApplied.
    std::uint64_t m_closedUpTo = 0;
    std::map<std::uint64_t, config_in_force_record> m_latest; ///< Written records of the highest revisions.
    std::deque<config_in_force_record> m_rewrites;            ///< Of them, those to be written again.
    std::uint64_t m_era = 0;                                  ///< Of the last rewriteLatest().
    std::optional<config_in_force_record> m_writing;
    std::uint64_t m_writingReports = 0;
    time_point m_writeDeadline;
    backoff_timer m_backoff;
    std::uint64_t m_dropped = 0;
};

/// Disseminates revisions on one node. Not thread safe.
class config_dissemination
{
public:
    config_dissemination(config_dissemination_settings settings, std::uint64_t seed, dissemination_time start);

    config_dissemination_actions handle(const config_dissemination_event &event, dissemination_time when);

    /// Revision in force on this node; nullptr before the first.
    const shared_revision &current() const { return m_current; }
    std::uint64_t currentNumber() const { return m_current ? m_current->number : 0; }
    /// True once the platform or enough peers have reported their revision and the highest known one is in force on
    /// this node. Never becomes false again.
    bool isReady() const { return m_ready; }
    bool isWatcher() const { return m_watching; }
    bool isRecorder() const { return m_recorderName == m_settings.name; }
    /// Documents rejected since the start, by reason.
    const std::array<std::uint64_t, kBodyRejectionCount> &rejectedBodies() const { return m_rejectedBodies; }
    const in_force_recorder &recorder() const { return m_recorder; }
    const lost_revision_writer &lostRevisions() const { return m_lostRevisions; }

private:
    struct own_report
    {
        applied_report report;
        bool acknowledged = false;
        time_point nextSend;
    };

    void on(const members_changed &event);
    void on(const revision_advertised &event);
    void on(const fetch_requested &event);
    void on(const body_received &event);
    void on(const watch_event &event);
    void on(const watch_failed &event);
    void on(const platform_read_done &event);
    void on(const platform_read_failed &event);
    void on(const report_received &event);
    void on(const record_write_done &event);
    void on(const record_write_failed &event);
    void on(const platform_restored &event);
    void on(const lost_revisions_written &event);
    void on(const lost_revisions_write_failed &event);
    void on(const dissemination_tick &event);

    template<typename Action>
    void addAction(Action action)
    {
        m_actions.emplace_back(std::move(action));
    }
    void updateRoles();
    void setRecorder(const std::string &name, std::uint64_t incarnation);
    void setWatching(bool watching);
    void updateReadiness();
    void recordPeerRevision(node_id peer, std::uint64_t number);
    /// Applies the document of a revision above the current one; false when it was rejected.
    bool applyBody(std::uint64_t number, const shared_text &document);
    void handlePlatformRevision(std::uint64_t number, const shared_text &document);
    std::optional<body_rejection> parseBody(std::uint64_t number, const std::string &document,
                                            config_revision *out) const;
    void advertiseToPeers();
    void fetchIfLagging();
    void queryPeers();
    void watchIfDue();
    void readPlatformIfDue();
    std::uint64_t knownFromPlatform() const;
    void sendReports();
    void writeRecords();
    void requestReports();
    void writeLostRevisions();
    node_id randomPeer();
    std::uint64_t random();

    config_dissemination_settings m_settings;
    std::uint64_t m_random;
    dissemination_time m_when;
    config_dissemination_actions m_actions;

    std::vector<node_id> m_peers;   ///< Alive members without this node, sorted.
    domain_members m_domainMembers; ///< Alive members of this node's failure domain, including this node.
    std::string m_recorderName;
    std::uint64_t m_recorderIncarnation = 0;
    bool m_watching = false;
    bool m_watchRunning = false;
    backoff_timer m_watchBackoff;

    shared_revision m_current;
    shared_text m_document;
    std::uint64_t m_highestKnown = 0;
    std::deque<node_id> m_sources; ///< Peers that advertised m_highestKnown.
    std::optional<time_point> m_fetchDeadline;
    backoff_timer m_rejectionBackoff;
    std::uint64_t m_highestRejectedOnPlatform = 0; ///< Not read again: objects on the platform never change.

    time_point m_readinessDeadline;
    bool m_ready = false;
    bool m_platformRead = false;
    std::set<node_id> m_peersWithRevision;
    time_point m_nextPeerQuery;
    bool m_reading = false;
    time_point m_readDeadline;
    backoff_timer m_readBackoff;

    std::deque<own_report> m_reports;
    lost_revision_writer m_lostRevisions;
    in_force_recorder m_recorder;
    time_point m_nextReportRequest;
    std::array<std::uint64_t, kBodyRejectionCount> m_rejectedBodies{};
};

} // namespace citroncrank
