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
        if (auto *flow = core.findFor(value, from))
            core.onCancel(flow, body, now);
    }
    void operator()(const ack_body &body) const
    {
        auto *flow = core.findFor(value, from);
        if (flow != nullptr && flow->bound())
            core.onAck(flow, body, now);
        else
            core.answer(value, from, reset_body{reset_reason::unknown_flow, 0}, now);
    }
    void operator()(const reset_body &body) const
    {
        if (auto *flow = core.findFor(value, from))
            core.onReset(flow, body, now);
    }
    // Other bodies belong to hops or to the control plane, not to a flow.
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

// A frame for another service or incarnation must not touch any flow: its address was reused, or its table is old.
// The answer repeats the owner the frame named, since only that owner's flow is affected.
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
    if (auto *known = findFor(value, from)) {
        answerReservation(known, 0, now);
        return;
    }
    // Flow ids derive from the edge's id, so another edge with this one is misconfigured; it must not touch the flow.
    if (m_flows.contains(value.flow)) {
        refuse(value, from, {refusal_reason::no_free_slot, std::chrono::milliseconds(0)}, now);
        return;
    }
    const reservation asked{.flow = value.flow,
                            .edge = value.edge,
                            .flowClass = value.flowClass,
                            .kind = body.kind,
                            .arrival = now,
                            .deadline =
                                body.remaining > duration(0) ? std::optional(now + body.remaining) : std::nullopt,
                            .attempt = body.attempt};
    const auto result = m_admission.request(asked, now);
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
    note(flow->id, flow_step::queued);
    answerReservation(flow, std::get<queued>(result).position, now);
}

void agent_core::makeOffer(agent_flow *flow, time_point now)
{
    flow->state = phase::offered;
    flow->holdsSlot = true;
    flow->offer = ++m_lastOffer;
    flow->since = now;
    ++m_counters.offers;
    note(flow->id, flow_step::offered);
    answerReservation(flow, 0, now);
}

void agent_core::answerReservation(agent_flow *flow, std::uint16_t position, time_point now)
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
        note(flow->id, flow_step::refused, reason.reason);
        send(*flow, refused_body{reason.reason, reason.retryAfter}, now);
        erase(flow, now);
    }
}

// A cancel without offer withdraws a queued reservation. When the offer has crossed it on the way, the offer is
// withdrawn as well: a bind that is already under way is answered with a refusal, never run.
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

// Noted like every other end of a reservation: the process frees what it keeps of a flow when it hears of its end.
void agent_core::cancelQueued(agent_flow *flow, time_point now)
{
    note(flow->id, flow_step::withdrawn);
    m_admission.cancel(flow->key(), now);
    erase(flow, now);
}

void agent_core::withdraw(agent_flow *flow, time_point now)
{
    ++m_counters.withdrawn;
    note(flow->id, flow_step::withdrawn);
    rememberWithdrawn(flow->offer, now);
    m_admission.cancel(flow->key(), now);
    flow->holdsSlot = false;
    erase(flow, now);
}

void agent_core::onData(const frame &value, const data_body &body, hop_id from, time_point now)
{
    auto *flow = findFor(value, from);
    // After a pause the bind of an expired offer can be handled before the timer that withdraws the offer.
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
    // The flow may have run and ended, so nothing is said about whether it was delivered.
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
    note(flow->id, flow_step::bound);
    m_actions.emplace_back(upstream_connect{flow->id});
}

void agent_core::onFence(const frame &value, const fence_body &body, hop_id from, time_point now)
{
    auto *flow = findFor(value, from);
    if (flow == nullptr || flow->offer != body.offer) {
        if (m_withdrawn.contains(body.offer))
            answer(value, from, fenced_body{body.offer, false}, now);
        else
            answer(value, from, reset_body{reset_reason::unknown_flow, body.offer}, now);
        return;
    }
    // Where the upstream speaks first, another upstream's bytes must not continue what the caller already has.
    if (flow->bound() && (flow->streams->delivered || flow->streams->upstreamSpoke)) {
        send(*flow, fenced_body{body.offer, true}, now);
        return;
    }
    note(flow->id, flow_step::fenced);
    send(*flow, fenced_body{body.offer, false}, now);
    if (flow->bound()) {
        m_actions.emplace_back(upstream_close{flow->id, true});
        rememberWithdrawn(flow->offer, now);
        releaseSlot(flow, now);
        erase(flow, now);
    } else {
        withdraw(flow, now);
    }
}

void agent_core::onReset(agent_flow *flow, const reset_body &body, time_point now)
{
    if (flow->bound()) {
        giveUp(flow, body.reason, false, now);
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
    forgetWithdrawn(now);
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
    giveUp(flow, reset_reason::operator_ended, true, now);
    runAdmission(now);
    return true;
}

// An offer may be bound by a frame that is on its way, and the last acknowledgement of a flow may have been lost: an
// agent that is gone by then turns a refusal or a complete response into an unknown outcome.
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

agent_core::agent_flow *agent_core::findFor(const frame &value, hop_id from)
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

void agent_core::rememberWithdrawn(offer_id offer, time_point now)
{
    m_withdrawn.insert(offer);
    m_withdrawnOrder.emplace_back(now, offer);
    forgetWithdrawn(now);
}

void agent_core::forgetWithdrawn(time_point now)
{
    while (!m_withdrawnOrder.empty()
           && (m_withdrawnOrder.size() > m_settings.withdrawnLimit
               || now - m_withdrawnOrder.front().first > m_settings.withdrawnMemory)) {
        m_withdrawn.erase(m_withdrawnOrder.front().second);
        m_withdrawnOrder.pop_front();
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
    note(value.flow, flow_step::refused, reason.reason);
    answer(value, hop, refused_body{reason.reason, reason.retryAfter}, now);
}

void agent_core::note(const flow_id &flow, flow_step step,
                      std::variant<std::monostate, refusal_reason, reset_reason> reason)
{
    m_actions.emplace_back(flow_note{flow, step, reason});
}

std::vector<agent_action> agent_core::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace citroncrank
