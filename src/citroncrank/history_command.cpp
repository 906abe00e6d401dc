#include "citroncrank/config_dissemination.h"
#include "node_client.h"
#include "revision_store.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace citroncrank {

namespace json = boost::json;

namespace {

/// Revisions read on either side of the result. If their times are out of order, the operators' clocks disagree and the
/// result is uncertain.
constexpr std::uint64_t kNeighbourRevisions = 8;

struct history_arguments
{
    std::uint64_t limit = 20;
    std::string at;
};

std::string describe(const revision_summary &summary)
{
    return absl::StrCat(summary.number, "  ", formatWallTime(summary.acceptedAt), "  ", summary.author,
                        "\n    reason: ", summary.reason, "\n    change id: ", summary.changeId, "\n");
}

std::optional<std::vector<revision_summary>> readSummaries(revision_store *store, std::uint64_t first,
                                                           std::uint64_t last, client_failure *lastReason)
{
    std::vector<revision_summary> result;
    for (std::uint64_t number = first; number <= last; ++number) {
        const auto revision = store->read(number, lastReason);
        if (!revision)
            return std::nullopt;
        result.push_back(summarizeRevision(*revision));
    }
    return result;
}

/// Reads the revision in force at `when` and its neighbours. Uses binary search, because there may be hundreds of
/// thousands of revisions.
std::optional<std::vector<revision_summary>> readAround(revision_store *store, wall_time when,
                                                        client_failure *lastReason)
{
    const auto latest = store->latestNumber(lastReason);
    if (!latest)
        return std::nullopt;
    std::uint64_t low = 0;
    std::uint64_t high = *latest;
    while (low < high) {
        const std::uint64_t middle = low + (high - low + 1) / 2;
        const auto revision = store->read(middle, lastReason);
        if (!revision)
            return std::nullopt;
        if (revision->acceptedAt <= when)
            low = middle;
        else
            high = middle - 1;
    }
    const std::uint64_t first = low > kNeighbourRevisions ? low - kNeighbourRevisions : 1;
    return readSummaries(store, first, std::min(*latest, low + kNeighbourRevisions), lastReason);
}

/// Reads the records that the recorder of each failure domain wrote about when the revision was in force there.
std::optional<json::array> readInForceRecords(object_store *platform, std::uint64_t number, client_failure *lastReason)
{
    platform_failure reason{};
    const std::string prefix = absl::StrFormat("config/in-force/%010d/", number);
    const auto list = platform->list({.prefix = prefix}, &reason);
    if (!list) {
        *lastReason = platformFailure(reason, "the records in force");
        return std::nullopt;
    }
    json::array records;
    for (const auto &entry : list->entries) {
        const auto object = platform->get(entry.key, &reason);
        const auto record = object ? parseInForceRecord(object->value) : std::nullopt;
        if (!record)
            continue;
        json::array lagging;
        for (const auto &name : record->lagging)
            lagging.emplace_back(name);
        records.push_back(json::object{{"domain", record->domain},
                                       {"revision", record->revision},
                                       {"first_applied", formatWallTime(record->firstApplied)},
                                       {"last_applied", formatWallTime(record->lastApplied)},
                                       {"lagging_count", record->laggingCount},
                                       {"lagging", std::move(lagging)}});
    }
    return records;
}

std::string describeRecord(const json::object &record)
{
    const auto text = [&](const char *name) {
        const auto *value = record.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string("unknown");
    };
    const std::uint64_t count = numberField(record, "lagging_count");
    return absl::StrCat("    ", text("domain"), ": first applied ", text("first_applied"), ", last applied ",
                        text("last_applied"), ", lagging ", count, "\n");
}

exit_code showRevisionAt(const client &client, object_store *platform, wall_time when)
{
    client_failure failure;
    revision_store store(client, platform);
    const auto around = readAround(&store, when, &failure);
    if (!around)
        return fail(client, failure);
    const auto inForce = inForceAt(*around, when);
    if (!inForce)
        return fail(client, {exit_code::not_found, "no revision was accepted before that time", {}});
    const auto records = readInForceRecords(platform, inForce->number, &failure);
    if (!records)
        return fail(client, failure);
    const auto found = std::find_if(around->begin(), around->end(),
                                    [&](const auto &summary) { return summary.number == inForce->number; });
    json::object result = toJson(*found);
    result["certain"] = inForce->certain;
    result["in_force"] = *records;
    std::string text = describe(*found);
    if (!inForce->certain)
        text += "    the clocks of the operators' hosts disagree around that time\n";
    for (const auto &record : *records)
        text += describeRecord(record.get_object());
    return succeed(client, result, text);
}

exit_code showLatest(const client &client, object_store *platform, std::uint64_t limit)
{
    client_failure failure;
    revision_store store(client, platform);
    const auto latest = store.latestNumber(&failure);
    if (!latest)
        return fail(client, failure);
    auto summaries = readSummaries(&store, *latest > limit ? *latest - limit + 1 : 1, *latest, &failure);
    if (!summaries)
        return fail(client, failure);
    std::reverse(summaries->begin(), summaries->end());
    json::array list;
    std::string text;
    for (const auto &summary : *summaries) {
        list.push_back(toJson(summary));
        text += describe(summary);
    }
    return succeed(client, list, text.empty() ? "no revisions\n" : text);
}

exit_code showHistory(const client &client, const history_arguments &arguments)
{
    client_failure failure;
    const auto when = parseWallTime(arguments.at);
    if (!arguments.at.empty() && !when)
        return fail(client, {exit_code::invalid_input,
                             absl::StrCat("--at is not a time like 2026-12-04T10:00:00Z: ", arguments.at),
                             {}});
    const auto platform = openPlatform(client, &failure);
    if (!platform)
        return fail(client, failure);
    return when ? showRevisionAt(client, platform.get(), *when) : showLatest(client, platform.get(), arguments.limit);
}

} // namespace

void addHistoryCommand(CLI::App *app, client *client)
{
    auto arguments = std::make_shared<history_arguments>();
    auto *command = app->add_subcommand("history", "List the revisions, latest first, or the one in force at a time");
    command->add_option("--limit", arguments->limit, "Revisions to list")
        ->check(CLI::Range(1, 1000000))
        ->capture_default_str();
    command->add_option("--at", arguments->at, "Time (RFC 3339), for example 2026-12-04T10:00:00Z");
    command->callback(
        [arguments, client] { client->action = [arguments, client] { return showHistory(*client, *arguments); }; });
}

} // namespace citroncrank
