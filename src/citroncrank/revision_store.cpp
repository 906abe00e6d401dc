#include "revision_store.h"

#include "citroncrank/lost_revisions.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <random>
#include <thread>

namespace citroncrank {

namespace {

constexpr store_era kFirstEra = 1;
// Nodes note a restore 7 s after they have heard of it, which takes them a read period and a backoff at most.
constexpr std::chrono::seconds kMaxRestoreWait{15};
constexpr std::chrono::milliseconds kRestorePollPeriod{500};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

client_failure conflictFailure(std::uint64_t number, const std::optional<config_revision> &winner)
{
    const std::string who = winner ? absl::StrCat(" by ", winner->author, " (", winner->reason, ")") : "";
    return {exit_code::conflict,
            absl::StrCat("revision ", number, " was accepted before this change", who,
                         "; review it with `citroncrank config show", " --revision ", number,
                         "` and repeat the change"),
            {{"revision", number}}};
}

client_failure toFailure(const change_result &result)
{
    const boost::json::object details{{"change_id", result.changeId}};
    switch (result.outcome) {
    case change_outcome::conflict:
        return conflictFailure(result.number, result.winner);
    case change_outcome::unknown_outcome:
        return {exit_code::unknown_outcome,
                absl::StrCat("the change may or may not have been accepted as revision ", result.number,
                             "; repeat the command with --change-id ", result.changeId),
                details};
    case change_outcome::invalid:
        return invalidDocumentFailure("the changed configuration is not valid", result.faults);
    case change_outcome::rejected:
        return {exit_code::invalid_input, "the platform rejected the revision", details};
    default:
        return {exit_code::unreachable, "the platform is not reachable; nothing was changed", details};
    }
}

store_failure toStoreFailure(platform_failure reason)
{
    if (reason == platform_failure::unknown_outcome)
        return store_failure::unknown_outcome;
    return reason == platform_failure::rejected ? store_failure::rejected : store_failure::unavailable;
}

} // namespace

revision_store::revision_store(const client &client, object_store *store)
    : m_client(client)
    , m_store(store)
{}

std::optional<std::uint64_t> revision_store::latestNumber(client_failure *lastReason)
{
    platform_failure reason{};
    const auto list = m_store->list({.prefix = std::string(kRevisionPrefix), .limit = 1, .descending = true}, &reason);
    if (!list) {
        *lastReason = platformFailure(reason, "the list of revisions");
        return std::nullopt;
    }
    return list->entries.empty() ? 0 : parseRevisionKey(list->entries.front().key).value_or(0);
}

std::optional<config_revision> revision_store::read(std::uint64_t number, client_failure *lastReason)
{
    platform_failure reason{};
    const auto object = m_store->get(revisionKey(number), &reason);
    if (!object) {
        *lastReason = platformFailure(reason, absl::StrCat("revision ", number));
        return std::nullopt;
    }
    auto parsed = parseConfigDocument(object->value, object->key);
    if (!parsed.revision)
        *lastReason = invalidDocumentFailure(absl::StrCat("revision ", number, " is not valid"), parsed.faults);
    return std::move(parsed.revision);
}

std::optional<config_revision> revision_store::readLatest(client_failure *lastReason)
{
    const auto number = latestNumber(lastReason);
    if (!number)
        return std::nullopt;
    if (*number == 0) {
        *lastReason = {exit_code::not_found, "no configuration revision exists yet", {}};
        return std::nullopt;
    }
    return read(*number, lastReason);
}

// A platform that came back from an older copy gives the numbers of lost revisions out again. Nodes that hold a lost one
// would never take another revision with its number, so changes wait until the nodes have written it back.
std::optional<std::uint64_t> revision_store::latestAfterRestore(client_failure *lastReason)
{
    const auto latest = latestNumber(lastReason);
    if (!latest || m_store->era() <= kFirstEra)
        return latest;
    return waitForLostRevisions(lastReason) ? latestNumber(lastReason) : std::nullopt;
}

// Without nodes, or with nodes of an older release, nobody notes that the restore has been handled.
bool revision_store::waitForLostRevisions(client_failure *lastReason)
{
    const time_point end = steadyNow() + kMaxRestoreWait;
    for (;;) {
        platform_failure reason{};
        const std::string key = restoreKey(m_store->era());
        if (m_store->get(key, &reason))
            return true;
        if (reason != platform_failure::not_found) {
            *lastReason = platformFailure(reason, "the note of the latest restore");
            return false;
        }
        if (steadyNow() >= end)
            return m_store->create(key, "noted by a client\n", &reason) || reason == platform_failure::conflict;
        std::this_thread::sleep_for(kRestorePollPeriod);
    }
}

// If the platform was restored during the change, the revision may be lost again, or its number belongs to a lost one.
std::optional<std::uint64_t> revision_store::evaluateAccepted(const change_result &result, store_era before,
                                                              client_failure *lastReason)
{
    if (m_store->era() == before)
        return result.number;
    if (!waitForLostRevisions(lastReason))
        return std::nullopt;
    const auto stored = read(result.number, lastReason);
    if (stored && stored->changeId == result.changeId)
        return result.number;
    if (stored)
        *lastReason = conflictFailure(result.number, stored);
    return std::nullopt;
}

std::optional<std::uint64_t> revision_store::resolveBase(const change_request &request, std::uint64_t latest,
                                                         client_failure *lastReason)
{
    if (request.changeId.empty())
        return request.base.value_or(latest);
    const auto base = parseChangeIdBase(request.changeId);
    if (!base || (request.base && request.base != base)) {
        *lastReason = {exit_code::usage, "--change-id is invalid or does not match --base", {}};
        return std::nullopt;
    }
    return base;
}

std::optional<std::uint64_t> revision_store::findEarlierResult(const change_request &request, std::uint64_t base,
                                                               bool *isResolved, client_failure *lastReason)
{
    const auto successor = read(base + 1, lastReason);
    *isResolved = successor.has_value() || lastReason->code != exit_code::not_found;
    if (!successor)
        return std::nullopt;
    if (successor->changeId == request.changeId)
        return successor->number;
    *lastReason = conflictFailure(successor->number, successor);
    return std::nullopt;
}

std::optional<std::uint64_t> revision_store::change(const change_request &request, const revision_edit &edit,
                                                    client_failure *lastReason)
{
    const auto latest = latestAfterRestore(lastReason);
    const auto base = latest ? resolveBase(request, *latest, lastReason) : std::nullopt;
    if (!base)
        return std::nullopt;
    const store_era era = m_store->era();
    if (!request.changeId.empty()) {
        bool isResolved = false;
        const auto number = findEarlierResult(request, *base, &isResolved, lastReason);
        if (isResolved)
            return number;
    }
    auto draft = *base == 0 ? config_revision() : read(*base, lastReason);
    if (!draft || !edit(&*draft, lastReason))
        return std::nullopt;
    draft->changeId = request.changeId.empty() ? makeChangeId(*base, randomSeed()) : request.changeId;
    draft->author = m_client.author;
    draft->reason = request.reason;
    draft->acceptedAt = wallNow();
    const change_result result = propose(std::move(*draft), *base);
    if (result.outcome == change_outcome::accepted)
        return evaluateAccepted(result, era, lastReason);
    *lastReason = toFailure(result);
    return std::nullopt;
}

change_result revision_store::propose(config_revision draft, std::uint64_t base)
{
    config_log log({.requestTimeout = std::chrono::hours(1)}, randomSeed());
    auto actions = log.propose(std::move(draft), base, steadyNow());
    while (true) {
        if (actions.empty()) {
            if (const auto timeout = log.nextTimeout())
                std::this_thread::sleep_for(*timeout - steadyNow());
            actions = log.advance(steadyNow());
            continue;
        }
        const auto action = std::move(actions.front());
        if (const auto *result = std::get_if<change_result>(&action))
            return *result;
        const auto event = std::holds_alternative<create_object>(action) ? execute(std::get<create_object>(action))
                                                                         : execute(std::get<read_object>(action));
        actions = log.handle(event, steadyNow());
    }
}

config_log_event revision_store::execute(const create_object &request)
{
    platform_failure reason{};
    if (m_store->create(request.key, request.value, &reason))
        return object_created{request.request};
    if (reason == platform_failure::conflict)
        return object_exists{request.request};
    return store_failed{request.request, toStoreFailure(reason)};
}

config_log_event revision_store::execute(const read_object &request)
{
    platform_failure reason{};
    if (auto object = m_store->get(request.key, &reason))
        return object_read{request.request, std::move(object->value)};
    if (reason == platform_failure::not_found)
        return object_read{request.request, std::nullopt};
    return store_failed{request.request, toStoreFailure(reason)};
}

void addChangeOptions(CLI::App *command, change_request *target)
{
    command->add_option("--reason", target->reason, "Why the change is made; kept in the history")
        ->required()
        ->check([](const std::string &text) {
            return absl::StripAsciiWhitespace(text).empty() ? std::string("the reason must not be blank")
                                                            : std::string();
        });
    command->add_option("--change-id", target->changeId,
                        "Change id of an earlier attempt with unknown outcome; never applies the change twice");
    command->add_option("--base", target->base, "Revision that the change is based on (default: the latest)");
}

exit_code runChange(const client &client, const change_request &request, const revision_edit &edit)
{
    client_failure failure;
    const auto platform = openPlatform(client, &failure);
    if (!platform)
        return fail(client, failure);
    const auto number = revision_store(client, platform.get()).change(request, edit, &failure);
    if (!number)
        return fail(client, failure);
    return succeed(client, boost::json::object{{"revision", *number}},
                   absl::StrCat("accepted as revision ", *number, "\n"));
}

} // namespace citroncrank
