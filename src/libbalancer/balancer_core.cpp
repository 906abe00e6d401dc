#include "citroncrank/balancer_core.h"

#include <utility>

namespace citroncrank {

namespace {

/// Retry hint sent to an edge if there is no candidate. A starting balancer needs about this long to fill its table.
constexpr std::chrono::milliseconds kNoCandidateRetryAfter{500};

} // namespace

balancer_core::balancer_core(balancer_settings settings)
    : m_settings(std::move(settings))
    , m_hints(load_hint_settings{.maxAge = m_settings.hintAge})
{}

void balancer_core::setSettings(balancer_settings settings)
{
    if (settings.hintAge != m_settings.hintAge)
        m_hints = load_hints(load_hint_settings{.maxAge = settings.hintAge});
    m_settings = std::move(settings);
}

void balancer_core::onFrame(const frame &value, hop_id from, time_point now)
{
    if (std::holds_alternative<hello_body>(value.body)) {
        // Agents send hellos as well, without an edge id.
        if (value.edge != 0)
            m_edges[value.edge] = from;
        return;
    }
    if (value.direction == frame_direction::to_caller) {
        updateHints(value, now);
        forwardToEdge(value, now);
        return;
    }
    // Each frame from an edge updates its hop, because the edge may have replaced a silent one.
    m_edges[value.edge] = from;
    forwardToAgent(value, false, now);
}

void balancer_core::onOwnEdgeFrame(frame value, bool retransmission, time_point now)
{
    forwardToAgent(std::move(value), retransmission, now);
}

void balancer_core::forwardToAgent(frame value, bool replaceUnansweredHop, time_point now)
{
    if (value.owner != flow_owner{}) {
        ++m_counters.boundForwarded;
        const host_address target = value.owner.address;
        m_actions.emplace_back(forward_to_agent{target, std::move(value), replaceUnansweredHop});
        return;
    }
    if (std::holds_alternative<open_body>(value.body))
        placeOpen(std::move(value), now);
    else
        ++m_counters.misdirected;
}

void balancer_core::placeOpen(frame value, time_point now)
{
    const auto &open = std::get<open_body>(value.body);
    // The attempt seeds the rendezvous order, so that an agent that does not answer is not selected repeatedly.
    const candidate_query query{.service = value.service,
                                .flow = value.flow,
                                .kind = open.kind,
                                .flowClass = value.flowClass,
                                .tried = open.tried,
                                .ownDomain = m_settings.ownDomain,
                                .choices = m_settings.choices,
                                .seed = open.attempt};
    no_candidate_reason reason{};
    const auto chosen = chooseCandidate(m_table, m_hints, query, now, &reason);
    if (!chosen) {
        ++m_counters.noCandidate;
        m_actions.emplace_back(candidate_event{value.flow, value.service, open.attempt, reason});
        replyToEdge(value, refused_body{refusal_reason::no_upstream, kNoCandidateRetryAfter});
        return;
    }
    ++m_counters.opensForwarded;
    m_hints.opened(chosen->agent, now);
    m_actions.emplace_back(candidate_event{value.flow, value.service, open.attempt, chosen->agent});
    const bool retry = open.attempt > 0;
    m_actions.emplace_back(forward_to_agent{chosen->address, std::move(value), retry});
}

void balancer_core::replyToEdge(const frame &open, frame_body body)
{
    frame reply = open;
    reply.direction = frame_direction::to_caller;
    reply.body = std::move(body);
    forwardToEdge(reply, time_point());
}

void balancer_core::forwardToEdge(const frame &value, time_point now)
{
    if (m_settings.ownEdge != 0 && value.edge == m_settings.ownEdge) {
        ++m_counters.responsesForwarded;
        m_actions.emplace_back(deliver_to_own_edge{value});
        return;
    }
    const auto found = m_edges.find(value.edge);
    if (found == m_edges.end()) {
        ++m_counters.unknownEdge;
        return;
    }
    ++m_counters.responsesForwarded;
    m_actions.emplace_back(forward_to_hop{found->second, value});
}

void balancer_core::updateHints(const frame &value, time_point now)
{
    if (!value.load || value.owner.agent == 0)
        return;
    m_hints.reported(value.owner.agent, *value.load, now);
    if (const auto *queued = std::get_if<queued_body>(&value.body))
        m_hints.queuedAt(value.owner.agent, queued->position, now);
}

void balancer_core::onHopClosed(hop_id hop)
{
    absl::erase_if(m_edges, [hop](const auto &item) { return item.second == hop; });
}

void balancer_core::onTick(time_point now)
{
    m_hints.removeStale(now);
}

std::vector<balancer_action> balancer_core::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace citroncrank
