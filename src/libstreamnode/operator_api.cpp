#include "citroncrank/operator_api.h"

#include "citroncrank/timer_service.h"
#include "citroncrank/version.h"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <memory>

namespace citroncrank {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds kReplyTimeout{2};

const char *name(node_role role)
{
    return role == node_role::balancer ? "balancer" : "agent";
}

const char *name(member_state state)
{
    static constexpr std::array<const char *, 4> kNames{"alive", "suspect", "dead", "left"};
    return kNames[std::size_t(state)];
}

const char *name(serving_state state)
{
    static constexpr std::array<const char *, 3> kNames{"starting", "ready", "draining"};
    return kNames[std::size_t(state)];
}

json::object describeMember(const member_record &record, bool unreachable)
{
    json::object out{{"name", record.name},
                     {"role", name(record.role)},
                     {"region", record.region},
                     {"domain", record.domain},
                     {"liveness", name(record.state)},
                     {"reachable", !unreachable},
                     {"config_revision", record.configRevision}};
    if (record.httpPort != 0)
        out["http_address"] = toString(host_address{record.address.ip, record.httpPort});
    if (record.role == node_role::agent) {
        out["service"] = record.service;
        out["state"] = name(record.serving);
    }
    return out;
}

json::array describeMembers(const fleet_node &node)
{
    json::array members{describeMember(node.members().local(), false)};
    for (const auto &view : node.members().members())
        members.emplace_back(describeMember(view.record, view.unreachable));
    return members;
}

} // namespace

operator_requests::operator_requests(std::function<void()> wake, request_handler handle)
    : m_handle(std::move(handle))
    , m_calls([this](std::function<void()> work) { return m_ring.tryPush(std::move(work)); })
{
    m_ring.setNotify(std::move(wake));
}

operator_reply operator_requests::submit(operator_request request)
{
    const auto reply = std::make_shared<operator_reply>();
    const loop_call_failure failure =
        m_calls.call([this, request = std::move(request), reply] { *reply = m_handle(request); }, kReplyTimeout);
    switch (failure) {
    case loop_call_failure::none:
        return *reply;
    case loop_call_failure::stopping:
        return errorReply(503, "unavailable", "the process ends or is being upgraded");
    case loop_call_failure::queue_full:
        return errorReply(503, "unavailable", "the queue of operator requests is full");
    case loop_call_failure::overloaded:
        break;
    }
    return errorReply(503, "unavailable", "the decision thread did not reply within 2 s");
}

void operator_requests::serve()
{
    std::vector<std::function<void()>> waiting;
    m_ring.drain(&waiting, time_point());
    for (const auto &request : waiting)
        request();
}

operator_reply errorReply(int status, const std::string &code, const std::string &message)
{
    return {status, json::serialize(json::object{{"error", code}, {"message", message}})};
}

operator_reply jsonReply(const json::value &value)
{
    return {200, json::serialize(value)};
}

json::object describeNode(const fleet_node &node, std::size_t openFlows, bool ready)
{
    const auto &local = node.members().local();
    json::object out = describeMember(local, false);
    out["version"] = kVersion;
    out["state"] = local.role == node_role::agent ? name(local.serving) : ready ? "ready" : "starting";
    out["ready"] = ready;
    out["config_revision"] = node.config().currentNumber();
    out["config_applied_at"] = node.appliedAt() ? json::value(formatWallTime(*node.appliedAt())) : json::value(nullptr);
    out["open_flows"] = openFlows;
    out["load"] = json::object();
    out["members_reachable"] = node.members().reachableCount();
    out["membership_degraded"] = node.members().degraded();
    out["config_watcher"] = node.config().isWatcher();
    out["config_recorder"] = node.config().isRecorder();
    out["platform_reachable"] = node.platformReachable();
    out["platform_calls"] = node.platformCalls();
    out["members"] = describeMembers(node);
    return out;
}

operator_reply explainFlow(const decision_trail &trail, const member_record &local, const std::string &flowIdText)
{
    const auto flow = parseFlowId(flowIdText);
    if (!flow)
        return errorReply(400, "rejected", "a flow id must have 32 hexadecimal digits");
    const auto entries = trail.find(*flow);
    if (entries.empty())
        return errorReply(404, "not_found", "this node has no recorded decision about the flow");
    json::array events;
    for (const auto &entry : entries) {
        json::object event{{"at", formatWallTime(entry.when)},
                           {"node", local.name},
                           {"role", name(local.role)},
                           {"event", entry.event}};
        if (!entry.peer.empty())
            event["peer"] = entry.peer;
        if (!entry.reason.empty())
            event["reason"] = entry.reason;
        if (entry.attempt >= 0)
            event["attempt"] = entry.attempt;
        events.emplace_back(std::move(event));
    }
    return jsonReply(json::object{{"id", flowIdText}, {"events", std::move(events)}});
}

} // namespace citroncrank
