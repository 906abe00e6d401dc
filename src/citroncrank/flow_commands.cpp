#include "node_client.h"

#include "citroncrank/config_document.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace citroncrank {

namespace json = boost::json;

namespace {

std::string validateReason(const std::string &text)
{
    return absl::StripAsciiWhitespace(text).empty() ? "the reason must not be blank" : "";
}

std::string validateFlowId(const std::string &text)
{
    const bool isHex =
        std::all_of(text.begin(), text.end(), [](char character) { return absl::ascii_isxdigit(character); });
    return isHex && text.size() == 32 ? "" : "a flow id has 32 hexadecimal digits";
}

std::optional<json::object> callSelectedNode(const client &client, const std::string &method, const std::string &path,
                                             const json::object &body, client_failure *lastReason)
{
    const auto address = requiredAddress(client.node, "node", lastReason);
    if (!address)
        return std::nullopt;
    return callNode({*address, method, path, body}, client.deadline(), lastReason);
}

std::string describeFlow(const json::object &flow)
{
    std::string path;
    const auto *names = flow.if_contains("path");
    if (names != nullptr && names->is_array()) {
        for (const auto &name : names->get_array())
            absl::StrAppend(&path, path.empty() ? "" : " > ", name.is_string() ? name.get_string().c_str() : "?");
    }
    const std::string owner = textField(flow, "owner");
    const std::string edge = textField(flow, "edge");
    return absl::StrCat(textField(flow, "id"), "  ", textField(flow, "service"), "  ", textField(flow, "class"), "  ",
                        textField(flow, "kind"), "  age ", numberField(flow, "age_ms"), " ms",
                        owner.empty() ? "" : "  owner ", owner, edge.empty() ? "" : "  edge ", edge,
                        path.empty() ? "" : "  path ", path, "\n");
}

std::string describeFlows(const json::object &response)
{
    std::string text;
    const auto *flows = response.if_contains("flows");
    if (flows != nullptr && flows->is_array()) {
        for (const auto &flow : flows->get_array())
            text += flow.is_object() ? describeFlow(flow.get_object()) : "";
    }
    return text.empty() ? "no open flows\n" : text;
}

exit_code showFlows(const client &client)
{
    client_failure failure;
    const auto flows = callSelectedNode(client, "GET", "/flows", {}, &failure);
    return flows ? succeed(client, *flows, describeFlows(*flows)) : fail(client, failure);
}

/// Starts the drain and shows the open flows that it waits for.
exit_code drainNode(const client &client, const std::string &reason)
{
    client_failure failure;
    auto result = callSelectedNode(client, "POST", "/drain", {{"reason", reason}}, &failure);
    if (!result)
        return fail(client, failure);
    std::string text =
        absl::StrCat("state ", textField(*result, "state"), ", open flows ", numberField(*result, "open_flows"), "\n");
    if (const auto flows = callSelectedNode(client, "GET", "/flows", {}, &failure)) {
        const auto *list = flows->if_contains("flows");
        (*result)["flows"] = list == nullptr ? json::value(json::array()) : *list;
        text += describeFlows(*flows);
    } else {
        text += absl::StrCat("cannot list the open flows: ", failure.message, "\n");
    }
    return succeed(client, *result, text);
}

exit_code endFlow(const client &client, const std::string &id, const std::string &reason)
{
    client_failure failure;
    const auto result =
        callSelectedNode(client, "POST", absl::StrCat("/flows/", id, "/end"), {{"reason", reason}}, &failure);
    return result ? succeed(client, *result, absl::StrCat("ended flow ", id, "\n")) : fail(client, failure);
}

std::string describeEvent(const json::object &event)
{
    std::string text = absl::StrCat(textField(event, "at"), "  ", textField(event, "node"), " (",
                                    textField(event, "role"), ")  ", textField(event, "event"));
    for (const char *name : {"peer", "reason"}) {
        if (event.contains(name))
            absl::StrAppend(&text, "  ", name, " ", textField(event, name));
    }
    for (const char *name : {"attempt", "offer"}) {
        if (event.contains(name))
            absl::StrAppend(&text, "  ", name, " ", numberField(event, name));
    }
    return text + "\n";
}

/// Merges the events that all nodes recorded, ordered by time.
std::vector<json::object> mergeEvents(const std::vector<node_response> &responses)
{
    std::vector<json::object> events;
    for (const auto &response : responses) {
        const auto *list = response.value ? response.value->if_contains("events") : nullptr;
        if (list == nullptr || !list->is_array())
            continue;
        for (const auto &event : list->get_array()) {
            if (event.is_object())
                events.push_back(event.get_object());
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const json::object &left, const json::object &right) {
        return parseWallTime(textField(left, "at")) < parseWallTime(textField(right, "at"));
    });
    return events;
}

/// Queries all members, because any balancer may have forwarded a frame of the flow.
exit_code explainFlow(const client &client, const std::string &id)
{
    client_failure failure;
    const auto members = readMembers(client, &failure);
    if (!members)
        return fail(client, failure);
    std::vector<node_call> calls;
    std::vector<std::string> names;
    for (const auto &member : *members) {
        if (member.httpAddress && member.liveness != "left") {
            calls.push_back({.address = *member.httpAddress, .path = "/explain/" + id});
            names.push_back(member.name);
        }
    }
    const auto responses = callNodes(calls, client.deadline());
    json::array unreachable;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        if (!responses[index].value && responses[index].failure.code != exit_code::not_found)
            unreachable.emplace_back(names[index]);
    }
    json::array events;
    std::string text;
    for (auto &event : mergeEvents(responses)) {
        text += describeEvent(event);
        events.push_back(std::move(event));
    }
    for (const auto &name : unreachable)
        text += absl::StrCat("no response from ", name.get_string().c_str(), "\n");
    if (events.empty() && unreachable.empty())
        return fail(client, {exit_code::not_found, absl::StrCat("no node has a record of flow ", id), {}});
    if (events.empty())
        return fail(client, {exit_code::unreachable,
                             absl::StrCat("no reachable node has a record of flow ", id, ", and ", unreachable.size(),
                                          " nodes did not respond"),
                             {{"unreachable", unreachable}}});
    return succeed(client, json::object{{"id", id}, {"events", events}, {"unreachable", unreachable}}, text);
}

void addDrain(CLI::App *app, client *client)
{
    auto reason = std::make_shared<std::string>();
    auto *command = app->add_subcommand("drain", "Stop a node from accepting new flows, and show its open flows");
    command->add_option("--reason", *reason, "Why the node is drained")->required()->check(validateReason);
    command->callback([=] { client->action = [=] { return drainNode(*client, *reason); }; });
}

void addFlows(CLI::App *app, client *client)
{
    auto id = std::make_shared<std::string>();
    auto reason = std::make_shared<std::string>();
    auto *command = app->add_subcommand("flows", "List the open flows of a node, or end one");
    auto *end = command->add_subcommand("end", "End one flow with a reset to both sides");
    end->add_option("ID", *id, "Flow id")->required()->check(validateFlowId);
    end->add_option("--reason", *reason, "Why the flow is ended")->required()->check(validateReason);
    command->callback([=] {
        const bool isEnd = end->parsed();
        client->action = [=] { return isEnd ? endFlow(*client, *id, *reason) : showFlows(*client); };
    });
}

void addExplain(CLI::App *app, client *client)
{
    auto id = std::make_shared<std::string>();
    auto *command = app->add_subcommand("explain", "Show what all nodes decided about a flow, ordered by time");
    command->add_option("ID", *id, "Flow id")->required()->check(validateFlowId);
    command->callback([=] { client->action = [=] { return explainFlow(*client, *id); }; });
}

} // namespace

void addFlowCommands(CLI::App *app, client *client)
{
    addDrain(app, client);
    addFlows(app, client);
    addExplain(app, client);
}

} // namespace citroncrank
