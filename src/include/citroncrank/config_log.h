#pragma once

/// @file
/// Log of accepted configuration revisions in the platform's object store: proposals of changes, and the history.

#include "citroncrank/config_document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank {

/// Key prefix of all revision objects.
constexpr std::string_view kRevisionPrefix = "config/revisions/";

/// Object key of a revision, for example "config/revisions/0000000042".
std::string revisionKey(std::uint64_t number);
/// Parses the number of a revision from its object key; nullopt when the key is not that of a revision.
std::optional<std::uint64_t> parseRevisionKey(std::string_view key);

/// Creates the id of a change against revision `base`. The id contains the base, so that the change can only become
/// revision base + 1: a retry detects an earlier success with one read, however many revisions followed.
std::string makeChangeId(std::uint64_t base, std::uint64_t seed);
/// Parses the base revision from a change id; nullopt when the text is not a change id.
std::optional<std::uint64_t> parseChangeIdBase(std::string_view changeId);

/// Why a request to the store failed.
enum class store_failure : std::uint8_t {
    unavailable,     ///< The request was not executed.
    unknown_outcome, ///< The request may have been executed, or may still be.
    rejected,        ///< The store rejects the request permanently.
};

/// Requests to the store; the response is an event with the same request number.
struct create_object
{
    std::uint64_t request = 0;
    std::string key;
    std::string value;
    bool operator==(const create_object &) const = default;
};
struct read_object
{
    std::uint64_t request = 0;
    std::string key;
    bool operator==(const read_object &) const = default;
};

enum class change_outcome : std::uint8_t {
    accepted,        ///< The change is revision `number`.
    conflict,        ///< Another change became revision `number`; `winner` holds it when it can be parsed.
    unavailable,     ///< The store was not reachable; this proposal wrote nothing.
    unknown_outcome, ///< The change may be accepted now or later; propose it again with the same change id.
    rejected,        ///< The store rejected the object.
    invalid,         ///< The change has faults.
    busy,            ///< An earlier proposal is still in progress.
};
constexpr int kChangeOutcomeCount = 7;
const char *toString(change_outcome outcome);

/// Final result of a proposal.
struct change_result
{
    change_outcome outcome = change_outcome::unavailable;
    std::string changeId;
    std::uint64_t number = 0;
    std::optional<config_revision> winner;
    std::vector<config_fault> faults;
    bool operator==(const change_result &) const = default;
};

using config_log_action = std::variant<create_object, read_object, change_result>;

struct object_created
{
    std::uint64_t request = 0;
};
struct object_exists
{
    std::uint64_t request = 0;
};
struct object_read
{
    std::uint64_t request = 0;
    std::optional<std::string> value; ///< Absent when there is no such object.
};
struct store_failed
{
    std::uint64_t request = 0;
    store_failure reason = store_failure::unavailable;
};
using config_log_event = std::variant<object_created, object_exists, object_read, store_failed>;

struct config_log_settings
{
    int maxAttempts = 6;                                         ///< Failed requests after which the proposal ends.
    duration initialRetryDelay = std::chrono::milliseconds(100); ///< Doubled after each failure, with jitter.
    duration maxRetryDelay = std::chrono::seconds(2);
    duration requestTimeout = std::chrono::seconds(3); ///< After it, the outcome of a request counts as unknown.
};

/// Proposes one change at a time. Not thread safe.
class config_log
{
public:
    explicit config_log(config_log_settings settings, std::uint64_t seed);

    /// Starts the proposal of `draft` as revision base + 1. Its change id must come from makeChangeId(base, ...); its
    /// number is ignored.
    std::vector<config_log_action> propose(config_revision draft, std::uint64_t base, time_point now);
    /// Handles a response of the store. Responses to superseded requests are ignored.
    std::vector<config_log_action> handle(const config_log_event &event, time_point now);
    /// Retries requests that failed or timed out. Call it at `nextTimeout`.
    std::vector<config_log_action> advance(time_point now);
    /// Time of the next retry or time-out; nullopt while no proposal is in progress.
    std::optional<time_point> nextTimeout() const { return m_timeout; }

private:
    enum class phase : std::uint8_t { idle, check_base, create, read_back };

    std::vector<config_log_action> request(time_point now);
    std::vector<config_log_action> retry(time_point now);
    std::vector<config_log_action> finish(change_result result);
    std::vector<config_log_action> handleRead(const object_read &event, time_point now);
    std::vector<config_log_action> evaluateStored(const std::string &stored);

    config_log_settings m_settings;
    std::uint64_t m_random;
    phase m_phase = phase::idle;
    config_revision m_draft;
    std::string m_document;
    std::uint64_t m_request = 0;
    bool m_waiting = false; ///< A retry is due at m_timeout; otherwise a request is outstanding.
    std::optional<time_point> m_timeout;
    int m_failures = 0;
    bool m_mayBeWritten = false; ///< A create may have taken effect.
};

/// Header of one revision in the history.
struct revision_summary
{
    std::uint64_t number = 0;
    std::string changeId;
    std::string author;
    std::string reason;
    wall_time acceptedAt;
    auto operator<=>(const revision_summary &) const = default;
};
revision_summary summarizeRevision(const config_revision &revision);

/// Revision numbers of the given object keys in ascending order; other keys are skipped.
std::vector<std::uint64_t> revisionNumbers(const std::vector<std::string> &keys);

struct in_force_answer
{
    std::uint64_t number = 0;
    /// False when an earlier revision has an acceptance time after the requested time: the clocks of the operators'
    /// hosts disagreed, and acceptance times do not follow the order of acceptance.
    bool certain = true;
    auto operator<=>(const in_force_answer &) const = default;
};
/// Revision in force at a time: the highest one accepted by then. Nullopt before the first revision.
std::optional<in_force_answer> inForceAt(const std::vector<revision_summary> &history, wall_time when);

} // namespace citroncrank
