#include "node_client.h"
#include "revision_store.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace citroncrank {

namespace json = boost::json;

namespace {

/// One member with its response to /status, which is absent if the member is unreachable, or is dead or has left.
struct member_status
{
    known_member member;
    std::optional<json::object> status;

    std::uint64_t revision() const { return status ? numberField(*status, "config_revision") : 0; }
};

/// The fleet as known to one node, and the revision that should be in force.
struct fleet_status
{
    std::vector<member_status> members; ///< Ordered by failure domain and name.
    std::uint64_t revision = 0;
    bool isPlatformReachable = true; ///< False if --platform is set but the latest revision could not be read.

    bool isLagging(const member_status &member) const { return member.status && member.revision() < revision; }
    std::size_t reachable() const
    {
        return std::size_t(
            std::count_if(members.begin(), members.end(), [](const auto &item) { return item.status.has_value(); }));
    }
};

bool isExpectedToRespond(const known_member &member)
{
    return member.liveness != "dead" && member.liveness != "left" && member.httpAddress;
}

std::optional<fleet_status> readFleet(const client &client, client_failure *lastReason)
{
    const auto members = readMembers(client, lastReason);
    if (!members)
        return std::nullopt;
    fleet_status fleet;
    std::vector<node_call> calls;
    for (const auto &member : *members) {
        fleet.members.push_back({member, std::nullopt});
        if (isExpectedToRespond(member))
            calls.push_back({.address = *member.httpAddress, .path = "/status"});
    }
    auto responses = callNodes(calls, client.deadline());
    auto response = responses.begin();
    for (auto &item : fleet.members) {
        if (isExpectedToRespond(item.member))
            item.status = std::move((response++)->value);
        fleet.revision = std::max(fleet.revision, item.revision());
    }
    return fleet;
}

json::object toJson(const fleet_status &fleet, const member_status &item)
{
    json::object result{{"name", item.member.name},         {"role", item.member.role},
                        {"region", item.member.region},     {"domain", item.member.domain},
                        {"liveness", item.member.liveness}, {"reachable", item.status.has_value()},
                        {"lagging", fleet.isLagging(item)}};
    for (const char *name :
         {"service", "version", "config_revision", "config_applied_at", "state", "open_flows", "load"}) {
        const auto *value = item.status ? item.status->if_contains(name) : nullptr;
        if (value != nullptr)
            result[name] = *value;
    }
    return result;
}

json::object toJson(const fleet_status &fleet)
{
    json::array members;
    json::array lagging;
    json::array unreachable;
    for (const auto &item : fleet.members) {
        members.push_back(toJson(fleet, item));
        if (fleet.isLagging(item))
            lagging.emplace_back(item.member.name);
        if (!item.status && isExpectedToRespond(item.member))
            unreachable.emplace_back(item.member.name);
    }
    return {{"revision", fleet.revision},    {"nodes", fleet.members.size()},         {"reachable", fleet.reachable()},
            {"lagging", std::move(lagging)}, {"unreachable", std::move(unreachable)}, {"members", std::move(members)}};
}

std::string describeLoad(const json::object &status)
{
    const auto *load = status.if_contains("load");
    if (load == nullptr || !load->is_object() || !load->get_object().contains("slots"))
        return "";
    const json::object &values = load->get_object();
    return absl::StrCat("  slots ", numberField(values, "busy_slots"), "/", numberField(values, "slots"), "  sessions ",
                        numberField(values, "sessions"), "/", numberField(values, "connections"), "  queued ",
                        numberField(values, "queued"));
}

std::string describe(const fleet_status &fleet, const member_status &item)
{
    const std::string start = absl::StrFormat("  %-24s %-8s ", item.member.name, item.member.role);
    if (!item.status) {
        const bool isGone = item.member.liveness == "dead" || item.member.liveness == "left";
        const char *reason = isGone                    ? item.member.liveness.c_str()
                             : item.member.httpAddress ? "not reachable"
                                                       : "no HTTP address known";
        return absl::StrCat(start, reason, "\n");
    }
    const json::object &status = *item.status;
    const std::string applied = textField(status, "config_applied_at");
    const std::string lag =
        fleet.isLagging(item) ? absl::StrCat(" (lags by ", fleet.revision - item.revision(), ")") : "";
    const std::string service = textField(status, "service");
    return absl::StrCat(start, absl::StrFormat("%-8s", textField(status, "state")), "  revision ", item.revision(), lag,
                        applied.empty() ? "" : " since ", applied, "  flows ", numberField(status, "open_flows"),
                        service.empty() ? "" : "  ", service, describeLoad(status), "  version ",
                        textField(status, "version"), "\n");
}

std::string describeDomain(const fleet_status &fleet, const std::string &domain)
{
    std::size_t nodes = 0;
    std::size_t lagging = 0;
    std::size_t reachable = 0;
    std::uint64_t flows = 0;
    std::string lines;
    std::string region;
    for (const auto &item : fleet.members) {
        if (item.member.domain != domain)
            continue;
        ++nodes;
        region = item.member.region;
        reachable += item.status ? 1 : 0;
        lagging += fleet.isLagging(item) ? 1 : 0;
        flows += item.status ? numberField(*item.status, "open_flows") : 0;
        lines += describe(fleet, item);
    }
    return absl::StrCat("domain ", domain, " (", region, "): nodes ", nodes, ", reachable ", reachable, ", lagging ",
                        lagging, ", open flows ", flows, "\n", lines);
}

std::string describe(const fleet_status &fleet)
{
    const auto lagging = std::count_if(fleet.members.begin(), fleet.members.end(),
                                       [&](const auto &item) { return fleet.isLagging(item); });
    std::string text = absl::StrCat("fleet: nodes ", fleet.members.size(), ", reachable ", fleet.reachable(),
                                    ", revision ", fleet.revision, ", lagging ", lagging, "\n");
    if (!fleet.isPlatformReachable)
        text += "platform: not reachable, lag is relative to the highest revision among the nodes\n";
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        const std::string &domain = fleet.members[index].member.domain;
        if (index == 0 || fleet.members[index - 1].member.domain != domain)
            text += describeDomain(fleet, domain);
    }
    return text;
}

/// With --platform, sets the expected revision to the latest accepted one, which may not have reached any node yet. If
/// the platform is unreachable, the highest revision among the nodes is kept and the status is still shown.
bool updateExpectedRevision(const client &client, fleet_status *fleet, client_failure *lastReason)
{
    if (client.platform.empty())
        return true;
    const auto platform = openPlatform(client, lastReason);
    const auto latest = platform ? revision_store(client, platform.get()).latestNumber(lastReason) : std::nullopt;
    fleet->revision = std::max(fleet->revision, latest.value_or(0));
    fleet->isPlatformReachable = latest.has_value();
    return platform != nullptr;
}

exit_code showStatus(const client &client)
{
    client_failure failure;
    auto fleet = readFleet(client, &failure);
    if (!fleet || !updateExpectedRevision(client, &*fleet, &failure))
        return fail(client, failure);
    return succeed(client, toJson(*fleet), describe(*fleet));
}

} // namespace

void addStatusCommand(CLI::App *app, client *client)
{
    app->add_subcommand("status", "Show the fleet per failure domain, the revision in force, and the lagging nodes")
        ->callback([client] { client->action = [client] { return showStatus(*client); }; });
}

} // namespace citroncrank
