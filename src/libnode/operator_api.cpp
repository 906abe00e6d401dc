#include "citroncrank/operator_api.h"

#include "citroncrank/timer_service.h"

#include <boost/json/serialize.hpp>
#include <chrono>

namespace citroncrank {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds kAnswerTimeout{2};

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
    json::object out;
    out["name"] = record.name;
    out["role"] = name(record.role);
    out["address"] = toString(record.address);
    out["region"] = record.region;
    out["domain"] = record.domain;
    out["state"] = unreachable ? "unreachable" : name(record.state);
    out["configRevision"] = record.configRevision;
    if (record.role == node_role::agent) {
        out["service"] = record.service;
        out["serving"] = name(record.serving);
        out["slots"] = record.slots;
        out["connections"] = record.connections;
    }
    return out;
}

} // namespace

operator_requests::operator_requests(std::function<void()> wake)
{
    m_ring.setNotify(std::move(wake));
}

operator_reply operator_requests::ask(std::string method, std::string path, std::string body)
{
    auto promise = std::make_shared<std::promise<operator_reply>>();
    auto answer = promise->get_future();
    if (!m_ring.tryPush({std::move(method), std::move(path), std::move(body), promise}))
        return errorReply(503, "busy", "too many operator requests at once");
    if (answer.wait_for(kAnswerTimeout) != std::future_status::ready)
        return errorReply(503, "timeout", "the decision thread did not answer in time");
    return answer.get();
}

void operator_requests::serve(const std::function<operator_reply(const operator_request &)> &handler)
{
    std::vector<operator_request> waiting;
    m_ring.drain(&waiting, time_point());
    for (const auto &request : waiting)
        request.reply->set_value(handler(request));
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
    out["incarnation"] = local.incarnation;
    out["ready"] = ready;
    out["configRevision"] = node.config().currentNumber();
    out["configAppliedAt"] = node.appliedAt() ? json::value(formatWallTime(*node.appliedAt())) : json::value(nullptr);
    out["openFlows"] = openFlows;
    out["membersReachable"] = node.members().reachableCount();
    out["membershipDegraded"] = node.members().degraded();
    out["configWatcher"] = node.config().isWatcher();
    out["configRecorder"] = node.config().isRecorder();
    out["platformReachable"] = node.platformReachable();
    out["platformCalls"] = node.platformCalls();
    return out;
}

json::value describeMembers(const fleet_node &node)
{
    json::array members;
    members.emplace_back(describeMember(node.members().local(), false));
    for (const auto &view : node.members().members())
        members.emplace_back(describeMember(view.record, view.unreachable));
    return json::object{{"members", std::move(members)}};
}

operator_reply explainFlow(const decision_trail &trail, const std::string &flowText)
{
    const auto flow = parseFlowId(flowText);
    if (!flow)
        return errorReply(400, "bad_flow_id", "a flow id has 32 hexadecimal digits");
    const auto entries = trail.find(*flow);
    if (entries.empty())
        return errorReply(404, "not_found", "this node remembers no decision about the flow");
    json::array steps;
    for (const auto &entry : entries)
        steps.emplace_back(
            json::object{{"at", formatWallTime(entry.when)}, {"step", entry.step}, {"detail", entry.detail}});
    return jsonReply(json::object{{"flow", flowText}, {"steps", std::move(steps)}});
}

} // namespace citroncrank
