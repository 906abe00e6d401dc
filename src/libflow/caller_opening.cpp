// Caller flow before the bind: opens, reservations and refusals.

#include "citroncrank/caller_flow.h"

#include <algorithm>

namespace citroncrank {

namespace {

// Refusals for reasons other than load. An open at another agent then cannot amplify an overload, so it does not count
// against the retry budget.
bool isUnrelatedToLoad(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::draining:
    case refusal_reason::not_ready:
    case refusal_reason::wrong_service:
    case refusal_reason::wrong_incarnation:
    case refusal_reason::offer_withdrawn:
        return true;
    default:
        return false;
    }
}

} // namespace

void caller_flow::sendOpen(time_point now, bool alternatePath)
{
    const duration remaining = m_openedAt + m_settings.deadline - now;
    const auto attempt = std::uint8_t(std::min(m_attempts, 255));
    send(open_body{m_settings.kind, std::max(remaining, duration(1)), attempt, triedAgents()}, {}, alternatePath);
    ++m_attempts;
    m_openRetryAt = now + m_settings.openTimeout;
}

bool caller_flow::mayOpen() const
{
    return m_attempts < m_settings.maxAttempts;
}

std::vector<node_id> caller_flow::triedAgents() const
{
    std::vector<node_id> tried;
    for (const auto &item : m_reservations)
        tried.push_back(item.owner.agent);
    return tried;
}

int caller_flow::queuedCount() const
{
    return int(std::count_if(m_reservations.begin(), m_reservations.end(),
                             [](const auto &item) { return item.state == reservation_state::queued; }));
}

void caller_flow::recordReservation(const flow_owner &owner, reservation_state state, time_point now)
{
    const auto found = std::find_if(m_reservations.begin(), m_reservations.end(),
                                    [&owner](const auto &item) { return item.owner.agent == owner.agent; });
    if (found == m_reservations.end())
        m_reservations.push_back({owner, state, now, now});
    else
        *found = {owner, state, now, now};
}

void caller_flow::onOffer(const flow_owner &owner, offer_id offer, time_point now)
{
    if (m_state == state::bound) {
        if (owner != m_owner || offer != m_offer)
            send(cancel_body{offer}, owner);
        return;
    }
    m_state = state::bound;
    m_boundAt = now;
    m_owner = owner;
    m_offer = offer;
    m_ownerResponded = false;
    m_openRetryAt.reset();
    m_waitingSince = now;
    cancelReservations(owner);
    flush(now);
    if (!m_send.hasUnacknowledged())
        probeOwner(now);
}

void caller_flow::cancelReservations(const flow_owner &keptOwner)
{
    for (const auto &item : m_reservations) {
        if (item.state == reservation_state::queued && item.owner.agent != keptOwner.agent)
            send(cancel_body{}, item.owner);
    }
    std::erase_if(m_reservations, [](const auto &item) { return item.state == reservation_state::queued; });
}

void caller_flow::onQueued(const flow_owner &owner, time_point now)
{
    if (m_state == state::bound) {
        if (owner != m_owner)
            send(cancel_body{}, owner);
        return;
    }
    const bool known = std::any_of(m_reservations.begin(), m_reservations.end(),
                                   [&owner](const auto &item) { return item.owner == owner; });
    recordReservation(owner, reservation_state::queued, now);
    m_openRetryAt.reset();
    if (!known && queuedCount() < m_settings.fanOut && mayOpen())
        sendOpen(now, false);
}

void caller_flow::onRefused(const flow_owner &owner, const refused_body &body, time_point now)
{
    if (m_state == state::bound) {
        if (owner == m_owner)
            onRefusedWhileBound(body);
        return;
    }
    m_openRetryAt.reset();
    if (body.reason != refusal_reason::no_upstream) {
        m_lastRefusal = body;
        recordReservation(owner, reservation_state::refused, now);
        tryNextCandidate(body, now);
        return;
    }
    // The balancer that answered may have just started with an empty table, so another one is tried. If the agents
    // tried so far lack capacity, the flow is refused at once instead, which is better for the caller than waiting.
    if (queuedCount() > 0)
        return;
    if ((m_reservations.empty() || isUnrelatedToLoad(m_lastRefusal.reason)) && mayOpen())
        m_openRetryAt = now + m_settings.openTimeout;
    else
        refuse(m_lastRefusal.reason, m_lastRefusal.retryAfter);
}

void caller_flow::tryNextCandidate(const refused_body &body, time_point now)
{
    const bool permitted =
        isUnrelatedToLoad(body.reason) || m_permit == nullptr || m_permit->tryRetry(m_settings.flowClass);
    if (mayOpen() && permitted && queuedCount() < m_settings.fanOut)
        sendOpen(now, false);
    else if (queuedCount() == 0)
        refuse(body.reason, body.retryAfter);
}

void caller_flow::refreshReservations(time_point now)
{
    for (auto &item : m_reservations) {
        if (item.state != reservation_state::queued)
            continue;
        if (now - item.lastHeardAt >= m_settings.reservationTimeout) {
            item.state = reservation_state::refused;
        } else if (now - item.requestedAt >= m_settings.reservationRefresh) {
            item.requestedAt = now;
            const duration remaining = m_openedAt + m_settings.deadline - now;
            send(open_body{m_settings.kind, std::max(remaining, duration(1)), 0, {}}, item.owner, true);
        }
    }
}

void caller_flow::onTickOpening(time_point now)
{
    if (now >= m_openedAt + m_settings.deadline) {
        cancelReservations({});
        refuse(refusal_reason::deadline_exceeded, std::chrono::milliseconds(0));
        return;
    }
    refreshReservations(now);
    const bool overdue = m_openRetryAt && now >= *m_openRetryAt;
    const bool nothingPending = !m_openRetryAt && queuedCount() == 0;
    if (!overdue && !nothingPending)
        return;
    m_openRetryAt.reset();
    if (mayOpen() && queuedCount() < m_settings.fanOut)
        sendOpen(now, true);
    else if (queuedCount() == 0)
        refuse(m_lastRefusal.reason, m_lastRefusal.retryAfter);
}

} // namespace citroncrank
