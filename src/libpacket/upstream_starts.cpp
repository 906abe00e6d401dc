#include "citroncrank/upstream_starts.h"

#include <chrono>

namespace citroncrank {

namespace {

// An upstream abandons an announcement after a second, so one of a living start is at most this old on arrival. Also
// covers the drift of the upstream's timer during its first minutes.
constexpr std::int64_t kMaxLatenessMs = 1000;
// Within one and a half periods a living start announces itself at least once, so a start that was alone for this long
// is the living one. The first announcement of this time is not enough: late ones may arrive in a burst.
constexpr int kProofHalfPeriods = 3;
// After this time without an announcement the current start may have ended.
constexpr int kOverdueHalfPeriods = 3;

} // namespace

const char *toString(announcement_result result)
{
    switch (result) {
    case announcement_result::accepted:
        return "accepted";
    case announcement_result::foreign:
        return "foreign";
    case announcement_result::out_of_order:
        return "out_of_order";
    case announcement_result::earlier_start:
        return "earlier_start";
    case announcement_result::unproven:
        return "unproven";
    }
    return "unknown";
}

bool upstream_starts::isKnownId(const std::string &id) const
{
    return (m_current && m_current->start.id == id) || (m_lastProven && m_lastProven->start.id == id);
}

// A start sends one announcement each period, so the number of one tells the time at which it was sent. If the clock was
// set since the start began, the result is false, and the start has to be proven by its further announcements.
bool upstream_starts::isFresh(const start_observation &observed) const
{
    if (observed.receivedAtMs == 0 || observed.number == 0 || m_period <= duration(0))
        return false;
    const double sentAtMs = double(observed.start.startedAtMs)
                            + double(observed.number - 1) * std::chrono::duration<double, std::milli>(m_period).count();
    const double latenessMs = double(observed.receivedAtMs) - sentAtMs;
    return latenessMs >= -double(kMaxLatenessMs) && latenessMs <= double(kMaxLatenessMs);
}

// An unproven start gives no evidence against another one.
std::optional<announcement_result> upstream_starts::refusal(const start_observation &observed, bool isServing,
                                                            time_point now) const
{
    if (m_current && m_current->start == observed.start)
        return observed.number <= m_current->lastNumber ? std::optional(announcement_result::out_of_order)
                                                        : std::nullopt;
    if (m_lastProven && m_lastProven->start == observed.start && observed.number <= m_lastProven->lastNumber)
        return announcement_result::out_of_order;
    if (!m_isProven || !isServing)
        return std::nullopt;
    if (observed.start.startedAtMs <= m_current->start.startedAtMs)
        return announcement_result::earlier_start;
    // After the clock was set back, an earlier start may seem to be the later one.
    const bool isOverdue = now - m_current->lastAt >= kOverdueHalfPeriods * m_period / 2;
    return isFresh(observed) || isOverdue ? std::nullopt : std::optional(announcement_result::unproven);
}

// Makes the start that sent the announcement the current one.
void upstream_starts::follow(const start_observation &observed, time_point now)
{
    const bool isCurrent = m_current && m_current->start == observed.start;
    if (!isCurrent) {
        const bool isReturn = m_lastProven && m_lastProven->start == observed.start;
        m_current = isReturn ? *m_lastProven
                             : known_start{.start = observed.start, .firstNumber = observed.number, .firstAt = now};
        m_isProven = isReturn;
        m_aloneSince = now;
    }
    m_current->lastNumber = observed.number;
    m_current->lastAt = now;
    ++m_current->announcements;
}

bool upstream_starts::proves(const start_observation &observed, time_point now) const
{
    const bool isAlone = m_current->announcements > 1 && now - m_aloneSince >= kProofHalfPeriods * m_period / 2;
    return isAlone || isFresh(observed);
}

start_decision upstream_starts::observe(const start_observation &observed, bool isServing, time_point now)
{
    if (const auto refused = refusal(observed, isServing, now))
        return {.result = *refused};
    start_decision decision{.isOtherStart = m_current && m_current->start != observed.start};
    follow(observed, now);
    if (!m_isProven && proves(observed, now)) {
        m_isProven = true;
        decision.isNowProven = true;
        decision.ended = m_lastProven;
    }
    if (m_isProven)
        m_lastProven = m_current;
    return decision;
}

} // namespace citroncrank
