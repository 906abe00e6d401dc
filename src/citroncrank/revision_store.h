#pragma once

/// @file
/// Configuration revisions on the platform, as the commands read and change them.

#include "client.h"

#include "citroncrank/config_log.h"

namespace citroncrank {

/// Who changes what, for one proposal.
struct change_request
{
    std::string reason;
    std::string changeId;              ///< From an earlier attempt with unknown outcome; empty for a new change.
    std::optional<std::uint64_t> base; ///< Revision that the change was made against; the latest if absent.
};

/// Changes a copy of the base revision. Returns false and stores the failure if the change is not possible.
using revision_edit = std::function<bool(config_revision *draft, client_failure *lastReason)>;

/// Reads and proposes revisions. Failures name the revision.
class revision_store
{
public:
    revision_store(const client &client, object_store *store);

    /// Highest revision number, 0 if there is none.
    std::optional<std::uint64_t> latestNumber(client_failure *lastReason);
    /// Errors: not_found, unreachable, invalid_input for a revision that is not valid.
    std::optional<config_revision> read(std::uint64_t number, client_failure *lastReason);
    /// The highest revision; not_found if there is none.
    std::optional<config_revision> readLatest(client_failure *lastReason);
    /// Proposes an edited copy of the base revision; returns the accepted number. A change id whose change was accepted
    /// earlier returns its number without a write.
    std::optional<std::uint64_t> change(const change_request &request, const revision_edit &edit,
                                        client_failure *lastReason);

private:
    std::optional<std::uint64_t> earlierResult(const change_request &request, std::uint64_t base, bool *isDecided,
                                               client_failure *lastReason);
    std::optional<std::uint64_t> baseOf(const change_request &request, client_failure *lastReason);
    change_result propose(config_revision draft, std::uint64_t base);
    config_log_event execute(const create_object &request);
    config_log_event execute(const read_object &request);

    const client &m_client;
    object_store *m_store;
};

/// JSON forms for --output json.
boost::json::object toJson(const config_revision &revision);
boost::json::object toJson(const config_exception &exception);
boost::json::object toJson(const revision_summary &summary);
boost::json::array toJson(const std::vector<config_change> &changes);
/// Failure that lists the faults of a document.
client_failure faultFailure(const std::string &what, const std::vector<config_fault> &faults);

/// Failure for a key that is not in the key table; names the nearest.
client_failure unknownKeyFailure(const std::string &key);

/// Adds --reason (required), --change-id and --base to a command that changes the configuration.
void addChangeOptions(CLI::App *command, change_request *target);
/// Runs a change and prints its result.
exit_code runChange(const client &client, const change_request &request, const revision_edit &edit);

} // namespace citroncrank
