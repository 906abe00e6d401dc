#include "balancer_process.h"

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <random>
#include <utility>

namespace citroncrank {

namespace {

member_record localRecord()
{
    member_record record;
    record.role = node_role::balancer;
    record.serving = serving_state::ready;
    return record;
}

balancer_settings initialSettings(const node_settings &node)
{
    balancer_settings settings;
    settings.ownDomain = node.domain;
    // Flow ids are derived from the edge id, so it must differ between starts of the process.
    std::random_device random;
    settings.ownEdge = hashPair(random(), random(), nodeIdFromName(node.name));
    return settings;
}

} // namespace

void edge_retry_permit::configure(const retry_budget_settings &settings)
{
    if (settings == m_settings)
        return;
    m_settings = settings;
    m_budgets.fill(retry_budget(settings));
}

balancer_process::balancer_process(balancer_file file, const daemon_options &)
    : node_process(file.node, localRecord(), "balancer")
    , m_acceptAddresses(file.accept.begin(), file.accept.end())
    , m_coreSettings(initialSettings(m_settings))
    , m_core(m_coreSettings)
    , m_edge(m_coreSettings.ownEdge, &m_retries)
{}

bool balancer_process::listen(std::error_code *lastReason)
{
    return node_process::listen(lastReason);
}

void balancer_process::onEvent(net_event event, time_point now)
{
    if (m_edge.onEvent(event, now))
        return;
    if (const auto *received = std::get_if<frame_received>(&event))
        m_core.onFrame(received->value, received->hop, now);
    else if (const auto *closed = std::get_if<hop_closed>(&event))
        m_core.onHopClosed(closed->hop);
    else if (const auto *failed = std::get_if<listen_failed>(&event))
        onListenFailed(*failed);
}

// Binding is retried when the configuration is next applied, at most 1 s later.
void balancer_process::onListenFailed(const listen_failed &event)
{
    if (m_listeners.erase(event.address) == 0)
        return;
    m_edge.removeListener(event.address);
    m_failedAddresses.insert(event.address);
    m_log.error(
        absl::StrCat("cannot accept plain TCP, address=", toString(event.address), " reason=", event.reason.message()));
}

void balancer_process::onTick(time_point now)
{
    m_edge.onTick(now);
    m_core.onTick(now);
}

struct balancer_process::action_handler
{
    balancer_process &process;
    time_point now;

    void operator()(forward_to_agent &action) const
    {
        process.m_network.post(send_to_address{action.target, std::move(action.value), action.replaceUnansweredHop});
    }
    void operator()(forward_to_hop &action) const
    {
        process.m_network.post(send_on_hop{action.hop, std::move(action.value)});
    }
    void operator()(const deliver_to_own_edge &action) const { process.m_edge.onFrame(action.value, now); }
    void operator()(const candidate_event &action) const
    {
        if (const auto *reason = std::get_if<no_candidate_reason>(&action.choice)) {
            process.recordDecision(action.flow,
                                   {.event = "no_candidate", .reason = toString(*reason), .attempt = action.attempt});
            return;
        }
        const auto *chosen = process.m_core.table().find(std::get<node_id>(action.choice));
        process.recordDecision(action.flow, {.event = "candidate",
                                             .peer = chosen != nullptr ? toString(chosen->address) : "",
                                             .attempt = action.attempt});
    }
};

// Frames of the own edge pass through the core, and the core's actions may deliver frames to the edge, so both are
// processed until neither has output.
void balancer_process::runActions(time_point now)
{
    for (;;) {
        auto frames = m_edge.takeFrames();
        for (auto &item : frames)
            m_core.onOwnEdgeFrame(std::move(item.value), item.alternatePath, now);
        auto actions = m_core.takeActions();
        for (auto &action : actions)
            std::visit(action_handler{*this, now}, action);
        if (frames.empty() && actions.empty())
            break;
    }
    for (auto &command : m_edge.takeCommands())
        m_network.post(std::move(command));
    recordEndedFlows();
}

void balancer_process::recordEndedFlows()
{
    for (const auto &ended : m_edge.takeEnded()) {
        const metric_labels labels{{"service", ended.service}, {"class", toString(ended.flowClass)}};
        auto outcomeLabels = labels;
        outcomeLabels.emplace_back("outcome", toString(ended.outcome));
        m_metrics.counter("citroncrank_flows_total", "Plain TCP flows by their outcome.", outcomeLabels).increment();
        if (ended.timeToBind > duration(0))
            m_metrics.histogram("citroncrank_flow_open_seconds", "Time from accept to bind.", labels)
                .observe(ended.timeToBind);
        if (ended.outcome == flow_outcome::completed)
            m_retries.onSuccess(ended.flowClass);
        std::string reason;
        if (const auto *refused = std::get_if<refusal_reason>(&ended.reason)) {
            reason = toString(*refused);
            m_log.info(absl::StrCat("refused flow, reason=", reason, " service=", ended.service,
                                    " flow=", toString(ended.flow)));
        } else if (const auto *reset = std::get_if<reset_reason>(&ended.reason)) {
            reason = toString(*reset);
        }
        recordDecision(ended.flow, {.event = toString(ended.outcome), .reason = std::move(reason)});
    }
}

void balancer_process::onConfig(const config_revision &revision, time_point)
{
    m_coreSettings = balancerSettings(revision, place(), m_coreSettings);
    m_core.setSettings(m_coreSettings);
    m_retries.configure(retryBudgetSettings(revision, place()));
    applyListeners(listenerSettings(revision, place()));
}

// Settings of a listener apply to flows that are accepted from now on; open flows keep theirs.
void balancer_process::applyListeners(const std::map<host_address, listener_settings> &configured)
{
    for (const auto &address : m_acceptAddresses) {
        const auto found = configured.find(address);
        const bool open = m_listeners.contains(address);
        if (found == configured.end()) {
            if (open) {
                m_network.post(listen_streams{address, false});
                m_edge.removeListener(address);
                m_listeners.erase(address);
                m_log.warn(absl::StrCat("stopped accepting, no service has the address ", toString(address)));
            }
            continue;
        }
        m_edge.setListener(address, found->second);
        m_listeners[address] = found->second;
        if (!open && !stopping()) {
            m_failedAddresses.erase(address);
            m_network.post(listen_streams{address, true});
            m_log.info(absl::StrCat("accepting plain TCP, address=", toString(address),
                                    " service=", found->second.flow.service));
        }
    }
}

void balancer_process::onMembersChanged()
{
    m_core.setTable(upstream_table::build(m_fleet->reachableMembers(), ++m_tableRevision));
}

void balancer_process::beginShutdown(time_point)
{
    for (const auto &address : m_acceptAddresses)
        m_network.post(listen_streams{address, false});
}

std::vector<std::string> balancer_process::notReadyReasons() const
{
    std::vector<std::string> reasons;
    for (const auto &address : m_failedAddresses)
        reasons.push_back("cannot accept plain TCP on " + toString(address));
    return reasons;
}

operator_reply balancer_process::onOperator(const operator_request &request, time_point)
{
    if (request.method == "GET" && request.path == "/flows")
        return listFlows();
    return errorReply(404, "not_found", absl::StrCat("a balancer has no ", request.method, " ", request.path));
}

operator_reply balancer_process::listFlows() const
{
    const auto now = monotonicNow();
    boost::json::array flows;
    m_edge.core().forEach([&](const caller_flow &flow) {
        flows.emplace_back(boost::json::object{
            {"id", toString(flow.id())},
            {"service", flow.settings().service},
            {"class", toString(flow.settings().flowClass)},
            {"kind", toString(flow.settings().kind)},
            {"age_ms", (now - flow.openedAt()).count() / 1000},
            {"bound", flow.currentState() == caller_flow::state::bound},
            {"owner", toString(flow.owner().address)},
        });
    });
    return jsonReply(boost::json::object{{"flows", std::move(flows)}});
}

void balancer_process::addStatus(boost::json::object *status) const
{
    (*status)["edges"] = m_core.edges();
    (*status)["upstreams"] = m_core.table().size();
}

void balancer_process::updateMetrics()
{
    const auto &counters = m_core.counters();
    const auto set = [this](const char *metric, const char *help, std::uint64_t value) {
        m_metrics.gauge(metric, help).set(double(value));
    };
    set("citroncrank_opens_forwarded", "Opens sent to a candidate since the start.", counters.opensForwarded);
    set("citroncrank_bound_frames_forwarded", "Frames of bound flows sent to their owner since the start.",
        counters.boundForwarded);
    set("citroncrank_responses_forwarded", "Frames sent to edges since the start.", counters.responsesForwarded);
    set("citroncrank_no_candidate", "Opens without a candidate since the start.", counters.noCandidate);
    set("citroncrank_unknown_edge", "Frames dropped because their edge has no hop here, since the start.",
        counters.unknownEdge);
    set("citroncrank_misdirected", "Frames dropped because they name no owner, since the start.", counters.misdirected);
    set("citroncrank_flows_open", "Plain TCP flows open at this balancer.", m_edge.openFlows());
}

} // namespace citroncrank
