#include "agent_process.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <utility>

namespace citroncrank {

namespace {

member_record localRecord(const agent_file &file)
{
    member_record record;
    record.role = node_role::agent;
    record.service = file.service;
    record.serving = serving_state::starting;
    record.slots = file.slots;
    record.connections = file.connections;
    return record;
}

/// Longest reason that an operator may give for ending a flow, in bytes.
constexpr std::size_t kMaxReasonBytes = 1024;

/// The reason in the body {"reason": "..."}; nullopt when it is absent, blank or too long.
std::optional<std::string> parseReason(const operator_request &request)
{
    boost::json::error_code error;
    const auto body = boost::json::parse(request.body, error);
    const auto *reason = !error && body.is_object() ? body.as_object().if_contains("reason") : nullptr;
    if (reason == nullptr || !reason->is_string() || reason->as_string().size() > kMaxReasonBytes)
        return std::nullopt;
    const std::string text(reason->as_string());
    if (text.find_first_not_of(" \t\r\n") == std::string::npos)
        return std::nullopt;
    return text;
}

} // namespace

agent_process::agent_process(agent_file file, const daemon_options &options)
    : node_process(file.node, localRecord(file), "agent")
    , m_file(std::move(file))
    , m_options(options)
{
    m_configuredCapacity.slots = m_file.slots;
    m_configuredCapacity.connections = m_file.connections;
    resolveHistograms();
}

bool agent_process::listen(std::error_code *lastReason)
{
    if (!node_process::listen(lastReason))
        return false;
    m_coreSettings.service = m_file.service;
    m_coreSettings.self = {memberNodeId(m_local), m_local.incarnation, m_local.address};
    // Slow start protects a cold upstream, so an agent that resumes after an upgrade begins without it. Its warm-up time
    // is set when the configuration is applied.
    auto initial = m_configuredCapacity;
    if (!m_options.resume.empty())
        initial.warmUp = duration(0);
    m_core = std::make_unique<agent_core>(m_coreSettings, initial);
    if (!m_options.resume.empty() && !resume(m_options.resume, monotonicNow()))
        m_log.error("cannot restore the state of the replaced program; its flows are lost");
    m_local.serving = m_core->serving();
    return true;
}

struct agent_process::event_handler
{
    agent_process &process;
    time_point now;

    void operator()(const frame_received &event) const
    {
        const auto hop = process.m_hops.try_emplace(event.hop).first;
        if (std::holds_alternative<hello_body>(event.value.body)) {
            hop->second = event.value.owner.address;
            return;
        }
        process.m_core->onFrame(event.value, event.hop, now);
        if (!process.m_core->holds(event.value.flow))
            return;
        auto &info =
            process.m_flowInfo.try_emplace(event.value.flow, flow_info{{}, event.value.flowClass, now, std::nullopt})
                .first->second;
        if (hop->second.port != 0)
            info.balancer = hop->second;
    }
    void operator()(const hop_closed &event) const { process.m_hops.erase(event.hop); }
    void operator()(const stream_connected &event) const
    {
        if (event.stream == process.m_healthCheckStream) {
            process.m_network.post(stream_close{event.stream, false});
            process.onHealthCheckResult(true, now);
        } else if (const auto flow = process.m_flowByStream.find(event.stream); flow != process.m_flowByStream.end()) {
            process.m_core->onUpstreamConnected(flow->second, now);
        }
    }
    void operator()(const stream_connect_failed &event) const
    {
        if (event.stream == process.m_healthCheckStream) {
            process.onHealthCheckResult(false, now);
            return;
        }
        const auto flow = process.m_flowByStream.find(event.stream);
        if (flow == process.m_flowByStream.end())
            return;
        const flow_id id = flow->second;
        process.m_streamByFlow.erase(id);
        process.m_flowByStream.erase(flow);
        process.m_core->onUpstreamConnectFailed(id, now);
    }
    void operator()(const stream_bytes &event) const
    {
        if (const auto flow = process.m_flowByStream.find(event.stream); flow != process.m_flowByStream.end())
            process.m_core->onUpstreamBytes(flow->second, event.bytes, now);
    }
    void operator()(const stream_ended &event) const
    {
        if (const auto flow = process.m_flowByStream.find(event.stream); flow != process.m_flowByStream.end())
            process.m_core->onUpstreamEnd(flow->second, now);
    }
    void operator()(const stream_reset &event) const
    {
        if (const auto flow = process.m_flowByStream.find(event.stream); flow != process.m_flowByStream.end())
            process.m_core->onUpstreamReset(flow->second, now);
    }
    void operator()(const stream_consumed &event) const
    {
        if (const auto flow = process.m_flowByStream.find(event.stream); flow != process.m_flowByStream.end())
            process.m_core->onUpstreamConsumed(flow->second, event.bytes, now);
    }
    template<typename other_event>
    void operator()(const other_event &) const
    {}
};

struct agent_process::action_handler
{
    agent_process &process;
    time_point now;

    void operator()(const agent_send &action) const { process.sendFrame(action); }
    void operator()(const upstream_connect &action) const
    {
        const stream_id stream = process.m_network.nextStreamId();
        process.m_streamByFlow[action.flow] = stream;
        process.m_flowByStream[stream] = action.flow;
        process.m_network.post(stream_connect{stream, process.m_file.upstream});
    }
    void operator()(const upstream_read &action) const
    {
        if (const auto stream = process.m_streamByFlow.find(action.flow); stream != process.m_streamByFlow.end())
            process.m_network.post(stream_read{stream->second, action.maxBytes});
    }
    void operator()(upstream_write &action) const
    {
        if (const auto stream = process.m_streamByFlow.find(action.flow); stream != process.m_streamByFlow.end())
            process.m_network.post(stream_write{stream->second, std::move(action.bytes)});
    }
    void operator()(const upstream_finish &action) const
    {
        if (const auto stream = process.m_streamByFlow.find(action.flow); stream != process.m_streamByFlow.end())
            process.m_network.post(stream_finish{stream->second});
    }
    void operator()(const upstream_close &action) const { process.closeStream(action.flow, action.abort); }
    void operator()(const flow_step_event &action) const { process.onFlowStep(action, now); }
};

void agent_process::onFlowStep(const flow_step_event &action, time_point now)
{
    recordDurations(action, now);
    if (!m_core->holds(action.flow))
        m_flowInfo.erase(action.flow);
    std::string reason;
    if (const auto *refused = std::get_if<refusal_reason>(&action.reason))
        reason = toString(*refused);
    else if (const auto *reset = std::get_if<reset_reason>(&action.reason))
        reason = toString(*reset);
    if (action.step == flow_step::refused)
        m_log.info(absl::StrCat("refused flow, reason=", reason, " service=", m_file.service,
                                " flow=", toString(action.flow)));
    recordDecision(action.flow, {.event = toString(action.step), .reason = std::move(reason)});
}

void agent_process::recordDurations(const flow_step_event &action, time_point now)
{
    const auto found = m_flowInfo.find(action.flow);
    if (found == m_flowInfo.end())
        return;
    auto &info = found->second;
    if (action.step == flow_step::bound) {
        info.boundAt = now;
        m_waitSeconds[std::size_t(info.flowClass)]->observe(now - info.openedAt);
    } else if (info.boundAt && (action.step == flow_step::completed || action.step == flow_step::reset)) {
        m_flowSeconds[std::size_t(info.flowClass)]->observe(now - *info.boundAt);
    }
}

void agent_process::resolveHistograms()
{
    for (std::size_t index = 0; index < kFlowClassCount; ++index) {
        const metric_labels labels{{"service", m_file.service}, {"class", toString(flow_class(index))}};
        m_waitSeconds[index] =
            &m_metrics.histogram("citroncrank_flow_wait_seconds", "Time from the open of a flow to its bind.", labels);
        m_flowSeconds[index] =
            &m_metrics.histogram("citroncrank_flow_seconds", "Time from the bind of a flow to its end.", labels);
    }
}

void agent_process::onEvent(net_event event, time_point now)
{
    std::visit(event_handler{*this, now}, event);
}

void agent_process::onTick(time_point now)
{
    m_core->onTick(now);
    runHealthCheck(now);
}

void agent_process::runActions(time_point now)
{
    for (auto &action : m_core->takeActions())
        std::visit(action_handler{*this, now}, action);
}

void agent_process::onConfig(const config_revision &revision, time_point now)
{
    m_coreSettings = agentSettings(revision, place(), m_coreSettings);
    m_core->setSettings(m_coreSettings);
    m_healthCheck = healthCheckSettings(revision, m_file.service, place());
    m_core->setAdmission(admissionSettings(revision, m_file.service, place(), m_configuredCapacity), now);
}

// Sends over the hop on which the flow's last frame arrived, or else over a hop to the same balancer. Every second
// retransmission uses another balancer, because the first path may be dead. The others keep the first path, because a
// caller whose TCP connection ends at that balancer can be reached only through it.
void agent_process::sendFrame(const agent_send &action)
{
    const bool useOtherBalancer = action.alternatePath && ++m_retransmissions % 2 == 0;
    if (m_hops.contains(action.hop) && !useOtherBalancer) {
        m_network.post(send_on_hop{action.hop, action.value});
        return;
    }
    const auto balancer = findBalancer(action.value.flow);
    if (balancer.port != 0 && !useOtherBalancer)
        m_network.post(send_to_address{balancer, action.value, action.alternatePath});
    else if (!m_balancers.empty())
        m_network.post(send_to_address{m_balancers[m_retransmissions % m_balancers.size()], action.value, false});
}

host_address agent_process::findBalancer(const flow_id &flow) const
{
    const auto found = m_flowInfo.find(flow);
    return found == m_flowInfo.end() ? host_address{} : found->second.balancer;
}

void agent_process::onMembersChanged()
{
    m_balancers.clear();
    for (const auto &record : m_fleet->reachableMembers()) {
        if (record.role == node_role::balancer
            && (record.state == member_state::alive || record.state == member_state::suspect))
            m_balancers.push_back(record.address);
    }
}

void agent_process::runHealthCheck(time_point now)
{
    if (now < m_nextHealthCheck)
        return;
    m_nextHealthCheck = now + m_healthCheck.period;
    // A check whose connection is neither accepted nor refused within one period has failed.
    if (m_healthCheckStream != 0) {
        m_network.post(stream_close{m_healthCheckStream, true});
        onHealthCheckResult(false, now);
    }
    m_healthCheckStream = m_network.nextStreamId();
    m_network.post(stream_connect{m_healthCheckStream, m_file.upstream});
}

// One refused connection may come from a full accept queue; several in a row mean that the upstream is down.
void agent_process::onHealthCheckResult(bool reachable, time_point now)
{
    m_healthCheckStream = 0;
    m_failedHealthChecks = reachable ? 0 : m_failedHealthChecks + 1;
    if (m_draining)
        return;
    if (reachable && m_core->serving() == serving_state::starting)
        setServing(serving_state::ready, now);
    else if (m_failedHealthChecks >= m_healthCheck.failuresUntilDown && m_core->serving() == serving_state::ready)
        setServing(serving_state::starting, now);
}

void agent_process::setServing(serving_state state, time_point now)
{
    static constexpr std::array<const char *, 3> kNames{"starting", "ready", "draining"};
    m_log.info(absl::StrCat("serving state changed, state=", kNames[std::size_t(state)], " service=", m_file.service,
                            " open_flows=", m_core->boundFlows()));
    m_core->setServing(state, now);
    m_fleet->setLocal({.serving = state}, now);
}

void agent_process::drain(time_point now)
{
    if (m_draining)
        return;
    m_draining = true;
    setServing(serving_state::draining, now);
}

// An edge may still need an answer shortly after the last flow ended, for example when it retransmits the end of its
// stream.
bool agent_process::isShutdownComplete(time_point now) const
{
    return m_core->idle(now);
}

void agent_process::beginShutdown(time_point now)
{
    drain(now);
}

std::vector<std::string> agent_process::notReadyReasons() const
{
    switch (m_core->serving()) {
    case serving_state::ready:
        return {};
    case serving_state::starting:
        return {"upstream does not accept connections yet"};
    case serving_state::draining:
        return {"draining"};
    }
    return {};
}

void agent_process::closeStream(const flow_id &flow, bool abort)
{
    const auto stream = m_streamByFlow.find(flow);
    if (stream == m_streamByFlow.end())
        return;
    m_network.post(stream_close{stream->second, abort});
    m_flowByStream.erase(stream->second);
    m_streamByFlow.erase(stream);
}

operator_reply agent_process::onOperator(const operator_request &request, time_point now)
{
    if (request.method == "GET" && request.path == "/flows")
        return listFlows();
    if (request.method == "POST" && request.path == "/drain") {
        const auto reason = parseReason(request);
        if (!reason)
            return errorReply(400, "rejected", "a drain requires a non-blank reason of at most 1,024 bytes");
        m_log.info(absl::StrCat("operator drains this node, reason=\"", *reason, "\""));
        drain(now);
        return jsonReply(boost::json::object{{"state", "draining"}, {"open_flows", m_core->boundFlows()}});
    }
    if (request.method == "POST" && request.path == "/upgrade") {
        if (isStopRequested())
            return errorReply(503, "unavailable", "the process is stopping");
        m_upgradeRequested = true;
        return {202, R"({"upgrade":"started"})"};
    }
    if (request.method == "POST" && request.path.starts_with("/flows/"))
        return endFlow(request, now);
    return errorReply(404, "not_found", absl::StrCat("an agent has no ", request.method, " ", request.path));
}

operator_reply agent_process::listFlows() const
{
    const auto now = monotonicNow();
    boost::json::array flows;
    for (const auto &flow : m_core->flows()) {
        flows.emplace_back(boost::json::object{
            {"id", toString(flow.flow)},
            {"service", m_file.service},
            {"class", toString(flow.flowClass)},
            {"kind", toString(flow.kind)},
            {"age_ms", (now - flow.since).count() / 1000},
            {"bound", flow.bound},
            {"edge", absl::StrCat(absl::Hex(flow.edge, absl::kZeroPad16))},
        });
    }
    return jsonReply(boost::json::object{{"flows", std::move(flows)}});
}

// Path: /flows/ID/end; body: {"reason": "..."}.
operator_reply agent_process::endFlow(const operator_request &request, time_point now)
{
    const std::vector<std::string> parts = absl::StrSplit(request.path, '/', absl::SkipEmpty());
    const auto flow = parts.size() == 3 && parts[2] == "end" ? parseFlowId(parts[1]) : std::nullopt;
    if (!flow)
        return errorReply(400, "rejected", "the path must be /flows/ID/end with 32 hexadecimal digits as ID");
    const auto reason = parseReason(request);
    if (!reason)
        return errorReply(400, "rejected", "ending a flow requires a non-blank reason of at most 1,024 bytes");
    if (!m_core->endFlow(*flow, now))
        return errorReply(404, "not_found", "no bound flow has this id");
    m_log.warn(absl::StrCat("operator ended flow, flow=", parts[1], " reason=\"", *reason, "\""));
    recordDecision(*flow, {.event = "ended_by_operator", .reason = *reason});
    return jsonReply(boost::json::object{{"id", parts[1]}});
}

void agent_process::addStatus(boost::json::object *status) const
{
    const auto load = m_core->load(monotonicNow());
    (*status)["load"] = boost::json::object{{"busy_slots", load.busySlots},
                                            {"slots", load.slots},
                                            {"queued", load.queued},
                                            {"sessions", load.sessions},
                                            {"connections", load.connections}};
    (*status)["upstream"] = toString(m_file.upstream);
}

void agent_process::updateMetrics()
{
    const auto &counters = m_core->counters();
    const metric_labels service{{"service", m_file.service}};
    const auto set = [&](const char *metric, const char *help, std::uint64_t value) {
        m_metrics.gauge(metric, help, service).set(double(value));
    };
    set("citroncrank_opens", "Opens received since the start.", counters.opens);
    set("citroncrank_offers", "Offers made since the start.", counters.offers);
    set("citroncrank_binds", "Offers bound since the start.", counters.binds);
    set("citroncrank_offers_withdrawn", "Offers withdrawn since the start.", counters.withdrawn);
    set("citroncrank_flows_completed", "Flows that ended with a complete response since the start.",
        counters.completed);
    set("citroncrank_service_mismatches", "Frames for another service, dropped since the start.",
        counters.serviceMismatches);
    set("citroncrank_incarnation_mismatches", "Frames for another incarnation, dropped since the start.",
        counters.incarnationMismatches);
    set("citroncrank_flows_open", "Bound flows.", m_core->boundFlows());
    const auto load = m_core->load(monotonicNow());
    set("citroncrank_slots_busy", "Slots in use.", load.busySlots);
    set("citroncrank_reservations_queued", "Reservations waiting for a slot.", load.queued);
    for (int i = 0; i < kRefusalReasonCount; ++i) {
        auto labels = service;
        labels.emplace_back("reason", toString(refusal_reason(i)));
        m_metrics.gauge("citroncrank_flows_refused", "Refusals since the start.", labels)
            .set(double(counters.refusals[std::size_t(i)]));
    }
    for (int i = 0; i < kResetReasonCount; ++i) {
        auto labels = service;
        labels.emplace_back("reason", toString(reset_reason(i)));
        m_metrics.gauge("citroncrank_flows_reset", "Bound flows that ended without a complete response.", labels)
            .set(double(counters.resets[std::size_t(i)]));
    }
}

} // namespace citroncrank
