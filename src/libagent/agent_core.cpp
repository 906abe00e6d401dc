#include "citroncrank/agent_core.h"

#include "agent_flow_pvt.h"

#include <utility>

namespace citroncrank {

const char *toString(flow_step step)
{
    static constexpr std::array<const char *, 9> kNames{"queued",    "offered", "bound", "delivered", "refused",
                                                        "withdrawn", "fenced",  "reset", "completed"};
    return kNames[std::size_t(step)];
}

agent_core::agent_core(agent_settings settings, const admission_settings &admission)
    : m_settings(std::move(settings))
    , m_admission(admission)
{}

agent_core::~agent_core() = default;

// --- Frames ----------------------------------------------------------------------------------------------------

struct agent_core::frame_handler
{
    agent_core &core;
    const frame &value;
    hop_id from;
    time_point now;

    void operator()(const open_body &body) const { core.onOpen(value, body, from, now); }
    void operator()(const data_body &body) const { core.onData(value, body, from, now); }
    void operator()(const fence_body &body) const { core.onFence(value, body, from, now); }
    void operator()(const cancel_body &body) const
    {
        if (auto *flow = core.findForFrame(value, from))
            core.onCancel(flow, body, now);
    }
    void operator()(const ack_body &body) const
    {
        auto *flow = core.findForFrame(value, from);
        if (flow != nullptr && flow->bound())
            core.onAck(flow, body, now);
        else
            core.answer(value, from, reset_body{reset_reason::unknown_flow, 0}, now);
    }
    void operator()(const reset_body &body) const
    {
        if (auto *flow = core.findForFrame(value, from))
            core.onReset(flow, body, now);
    }
    // Other bodies concern hops or the control plane and do not refer to a flow.
    template<typename other_body>
    void operator()(const other_body &) const
    {}
};

void agent_core::onFrame(const frame &value, hop_id from, time_point now)
{
    if (value.direction != frame_direction::to_upstream || !acceptsIdentity(value, from, now))
        return;
    if (!std::holds_alternative<open_body>(value.body))
        m_lastActivity = now;
    std::visit(frame_handler{*this, value, from, now}, value.body);
    runAdmission(now);
}

// A frame for another service or incarnation must not affect any flow: the address was reused, or the sender's table is
// stale. The reply repeats the owner named in the frame, because it concerns only that owner's flow.
bool agent_core::acceptsIdentity(const frame &value, hop_id from, time_point now)
{
    const bool isOpen = std::holds_alternative<open_body>(value.body);
    if (value.service != m_settings.service) {
        ++m_counters.serviceMismatches;
        if (isOpen)
            refuse(value, from, {refusal_reason::wrong_service, std::chrono::milliseconds(0)}, now);
        else
            answer(value, from, reset_body{reset_reason::unknown_flow, 0}, now);
        return false;
    }
    const bool sameOwner =
        value.owner.agent == m_settings.self.agent && value.owner.incarnation == m_settings.self.incarnation;
    if (isOpen || sameOwner)
        return true;
    ++m_counters.incarnationMismatches;
    if (!std::holds_alternative<cancel_body>(value.body) && !std::holds_alternative<reset_body>(value.body))
        answer(value, from, reset_body{reset_reason::unknown_flow, 0}, now);
    return false;
}

void agent_core::onOpen(const frame &value, const open_body &body, hop_id from, time_point now)
{
    ++m_counters.opens;
    if (auto *existing = findForFrame(value, from)) {
        sendReservationState(existing, 0, now);
        return;
    }
    // Flow ids are derived from the edge id, so a second edge with the same flow id is misconfigured and is refused.
    if (m_flows.contains(value.flow)) {
        refuse(value, from, {refusal_reason::no_free_slot, std::chrono::milliseconds(0)}, now);
        return;
    }
    const reservation requested{.flow = value.flow,
                                .edge = value.edge,
                                .flowClass = value.flowClass,
                                .kind = body.kind,
                                .arrival = now,
                                .deadline =
                                    body.remaining > duration(0) ? std::optional(now + body.remaining) : std::nullopt,
                                .attempt = body.attempt};
    const auto result = m_admission.request(requested, now);
    if (const auto *reason = std::get_if<refusal>(&result)) {
        refuse(value, from, *reason, now);
        return;
    }
    auto created = std::make_unique<agent_flow>();
    created->id = value.flow;
    created->edge = value.edge;
    created->flowClass = value.flowClass;
    created->kind = body.kind;
    created->hop = from;
    created->since = now;
    auto *flow = created.get();
    m_flows.emplace(value.flow, std::move(created));
    if (std::holds_alternative<granted>(result)) {
        makeOffer(flow, now);
        return;
    }
    recordStep(flow->id, flow_step::queued);
    sendReservationState(flow, std::get<queued>(result).position, now);
}

void agent_core::makeOffer(agent_flow *flow, time_point now)
{
    flow->state = phase::offered;
    flow->holdsSlot = true;
    flow->offer = ++m_lastOffer;
    flow->since = now;
    ++m_counters.offers;
    recordStep(flow->id, flow_step::offered);
    sendReservationState(flow, 0, now);
}

void agent_core::sendReservationState(agent_flow *flow, std::uint16_t position, time_point now)
{
    if (flow->state == phase::queued) {
        send(*flow, queued_body{position}, now);
    } else if (flow->state == phase::offered) {
        send(*flow, offer_body{flow->offer}, now);
        flow->resendAt = now + m_settings.offerResend;
        updateDeadline(*flow);
    }
}

void agent_core::runAdmission(time_point now)
{
    for (const auto &event : m_admission.advance(now)) {
        auto *flow = find(event.key.flow);
        if (flow == nullptr || flow->edge != event.key.edge || flow->state != phase::queued)
            continue;
        if (std::holds_alternative<granted>(event.outcome)) {
            makeOffer(flow, now);
            continue;
        }
        const auto &reason = std::get<refusal>(event.outcome);
        ++m_counters.refusals[std::size_t(reason.reason)];
        recordStep(flow->id, flow_step::refused, reason.reason);
        send(*flow, refused_body{reason.reason, reason.retryAfter}, now);
        erase(flow, now);
    }
}

// A cancel without an offer id withdraws a queued reservation. If an offer was sent before the cancel arrived, it is
// withdrawn as well; a bind already in flight is then refused and never run.
void agent_core::onCancel(agent_flow *flow, const cancel_body &body, time_point now)
{
    if (flow->bound() || (body.offer != 0 && body.offer != flow->offer))
        return;
    if (flow->state == phase::offered) {
        withdraw(flow, now);
        return;
    }
    cancelQueued(flow, now);
}

// The step is recorded as for every other end of a reservation, because the process frees its own state of a flow when
// the end is reported.
void agent_core::cancelQueued(agent_flow *flow, time_point now)
{
    recordStep(flow->id, flow_step::withdrawn);
    m_admission.cancel(flow->key(), now);
    erase(flow, now);
}

void agent_core::withdraw(agent_flow *flow, time_point now)
{
    ++m_counters.withdrawn;
    recordStep(flow->id, flow_step::withdrawn);
    recordWithdrawn(flow->offer, now);
    m_admission.cancel(flow->key(), now);
    flow->holdsSlot = false;
    erase(flow, now);
}

void agent_core::onData(const frame &value, const data_body &body, hop_id from, time_point now)
{
    auto *flow = findForFrame(value, from);
    // After a pause of the process, the bind of an expired offer can be handled before the timer withdraws the offer.
    if (flow != nullptr && flow->state == phase::offered && now - flow->since >= m_settings.offerTimeout) {
        withdraw(flow, now);
        flow = nullptr;
    }
    if (flow != nullptr && flow->offer == body.offer && flow->state != phase::queued) {
        if (flow->state == phase::offered)
            bind(flow, now);
        receiveData(flow, body, now);
        return;
    }
    if (m_withdrawn.contains(body.offer)) {
        refuse(value, from, {refusal_reason::offer_withdrawn, std::chrono::milliseconds(0)}, now);
        return;
    }
    // The flow may have run and ended, so the reply makes no statement on whether it was delivered.
    ++m_counters.unknownFlows;
    answer(value, from, reset_body{reset_reason::unknown_flow, body.offer}, now);
}

void agent_core::bind(agent_flow *flow, time_point now)
{
    flow->state = phase::connecting;
    flow->since = now;
    flow->streams = std::make_unique<flow_streams>(m_settings.stream);
    flow->streams->lastHeardAt = now;
    ++m_counters.binds;
    ++m_boundFlows;
    recordStep(flow->id, flow_step::bound);
    m_actions.emplace_back(upstream_connect{flow->id});
}

void agent_core::onFence(const frame &value, const fence_body &body, hop_id from, time_point now)
{
    auto *flow = findForFrame(value, from);
    if (flow == nullptr || flow->offer != body.offer) {
        if (m_withdrawn.contains(body.offer))
            answer(value, from, fenced_body{body.offer, false}, now);
        else
            answer(value, from, reset_body{reset_reason::unknown_flow, body.offer}, now);
        return;
    }
    // If the upstream sent data first, the caller may have received it; bytes of another upstream must not follow it.
    if (flow->bound() && (flow->streams->delivered || flow->streams->upstreamResponded)) {
        send(*flow, fenced_body{body.offer, true}, now);
        return;
    }
    recordStep(flow->id, flow_step::fenced);
    send(*flow, fenced_body{body.offer, false}, now);
    if (flow->bound()) {
        m_actions.emplace_back(upstream_close{flow->id, true});
        recordWithdrawn(flow->offer, now);
        releaseSlot(flow, now);
        erase(flow, now);
    } else {
        withdraw(flow, now);
    }
}

void agent_core::onReset(agent_flow *flow, const reset_body &body, time_point now)
{
    if (flow->bound()) {
        resetFlow(flow, body.reason, false, now);
        return;
    }
    if (flow->state == phase::offered) {
        withdraw(flow, now);
        return;
    }
    cancelQueued(flow, now);
}

// --- Time ------------------------------------------------------------------------------------------------------

void agent_core::onTick(time_point now)
{
    expireWithdrawn(now);
    for (const auto &id : m_deadlines.takeDue(now)) {
        if (auto *flow = find(id))
            onFlowDeadline(flow, now);
    }
    runAdmission(now);
}

void agent_core::onFlowDeadline(agent_flow *flow, time_point now)
{
    if (flow->state == phase::offered)
        onOfferDeadline(flow, now);
    else if (flow->bound())
        onBoundDeadline(flow, now);
}

void agent_core::onOfferDeadline(agent_flow *flow, time_point now)
{
    if (now - flow->since >= m_settings.offerTimeout) {
        send(*flow, refused_body{refusal_reason::offer_withdrawn, std::chrono::milliseconds(0)}, now);
        withdraw(flow, now);
        return;
    }
    send(*flow, offer_body{flow->offer}, now, true);
    flow->resendAt = now + m_settings.offerResend;
    updateDeadline(*flow);
}

std::optional<time_point> agent_core::nextDeadline() const
{
    auto next = m_admission.nextDeadline();
    if (const auto flows = m_deadlines.next(); flows && (!next || *flows < *next))
        next = flows;
    return next;
}

// --- Operators -------------------------------------------------------------------------------------------------

void agent_core::setServing(serving_state state, time_point now)
{
    m_admission.setServing(state, now);
    runAdmission(now);
}

void agent_core::setAdmission(const admission_settings &admission, time_point now)
{
    m_admission.setSettings(admission);
    runAdmission(now);
}

bool agent_core::endFlow(const flow_id &id, time_point now)
{
    auto *flow = find(id);
    if (flow == nullptr || !flow->bound())
        return false;
    resetFlow(flow, reset_reason::operator_ended, true, now);
    runAdmission(now);
    return true;
}

// A bind may be in flight, or the last acknowledgement of a flow may have been lost. If the agent stopped before it
// answered these, a refusal or a complete response would become an unknown outcome.
bool agent_core::idle(time_point now) const
{
    return m_flows.empty() && now - m_lastActivity >= m_settings.stopLinger;
}

std::vector<flow_summary> agent_core::flows() const
{
    std::vector<flow_summary> summaries;
    summaries.reserve(m_flows.size());
    for (const auto &[id, flow] : m_flows)
        summaries.push_back({id, flow->edge, flow->flowClass, flow->kind, flow->bound(), flow->since});
    return summaries;
}

// --- Shared ----------------------------------------------------------------------------------------------------

agent_core::agent_flow *agent_core::find(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

agent_core::agent_flow *agent_core::findForFrame(const frame &value, hop_id from)
{
    auto *flow = find(value.flow);
    if (flow == nullptr || flow->edge != value.edge)
        return nullptr;
    flow->hop = from;
    return flow;
}

void agent_core::erase(agent_flow *flow, time_point now)
{
    m_lastActivity = now;
    if (flow->bound())
        --m_boundFlows;
    m_deadlines.set(flow->id, std::nullopt);
    m_flows.erase(flow_id(flow->id));
}

void agent_core::recordWithdrawn(offer_id offer, time_point now)
{
    m_withdrawn.insert(offer);
    m_withdrawnByTime.emplace_back(now, offer);
    expireWithdrawn(now);
}

void agent_core::expireWithdrawn(time_point now)
{
    while (!m_withdrawnByTime.empty()
           && (m_withdrawnByTime.size() > m_settings.withdrawnLimit
               || now - m_withdrawnByTime.front().first > m_settings.withdrawnRetention)) {
        m_withdrawn.erase(m_withdrawnByTime.front().second);
        m_withdrawnByTime.pop_front();
    }
}

void agent_core::send(const agent_flow &flow, frame_body body, time_point now, bool alternatePath)
{
    m_actions.emplace_back(agent_send{{.service = m_settings.service,
                                       .flow = flow.id,
                                       .edge = flow.edge,
                                       .direction = frame_direction::to_caller,
                                       .flowClass = flow.flowClass,
                                       .owner = m_settings.self,
                                       .load = m_admission.load(now),
                                       .body = std::move(body)},
                                      flow.hop,
                                      alternatePath});
}

void agent_core::answer(const frame &value, hop_id hop, frame_body body, time_point now)
{
    const bool isOpen = std::holds_alternative<open_body>(value.body);
    m_actions.emplace_back(agent_send{{.service = value.service,
                                       .flow = value.flow,
                                       .edge = value.edge,
                                       .direction = frame_direction::to_caller,
                                       .flowClass = value.flowClass,
                                       .owner = isOpen ? m_settings.self : value.owner,
                                       .load = m_admission.load(now),
                                       .body = std::move(body)},
                                      hop,
                                      false});
}

void agent_core::refuse(const frame &value, hop_id hop, const refusal &reason, time_point now)
{
    ++m_counters.refusals[std::size_t(reason.reason)];
    recordStep(value.flow, flow_step::refused, reason.reason);
    answer(value, hop, refused_body{reason.reason, reason.retryAfter}, now);
}

void agent_core::recordStep(const flow_id &flow, flow_step step,
                            std::variant<std::monostate, refusal_reason, reset_reason> reason)
{
    m_actions.emplace_back(flow_step_event{flow, step, reason});
}

std::vector<agent_action> agent_core::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace citroncrank
