#include "citroncrank/upstream_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Time constant of the exponential decay of outcomes: longer than a burst of errors, shorter than a typical fault.
constexpr double kDecaySeconds = 2.0;
// With fewer failures, bad requests of a single caller could mark an upstream as failing.
constexpr double kMinFailures = 2.5;
// If upstreams fail this share of requests, a caller with two retries fails once in 125 requests.
constexpr double kFailingShare = 0.2;
// An upstream that answers most requests fails this many in a row only once in thousands of requests.
constexpr std::uint32_t kConsecutiveFailuresToFail = 4;
// Failures further apart are not consecutive.
constexpr duration kMaxFailureGap = milliseconds(1000);
// An upstream that fails half of its requests passes this many trials in a row once in 32 attempts.
constexpr std::uint32_t kTrialsToRecover = 5;
// An upstream that answers many requests per second passes the trials by chance, so it must also have had no failure
// for this time or a low share of failures. A hanging request is detected only after 0.7 s.
constexpr duration kFailureFreeTime = milliseconds(1000);
constexpr duration kFirstTrialPeriod = milliseconds(200);
// Each failed trial fails a caller's request. Bounds how long a recovered upstream waits for its next trial.
constexpr duration kMaxTrialPeriod = milliseconds(1600);

} // namespace

const char *toString(upstream_outcome outcome)
{
    switch (outcome) {
    case upstream_outcome::answered:
        return "answered";
    case upstream_outcome::rejected:
        return "rejected";
    case upstream_outcome::failed:
        return "failed";
    case upstream_outcome::unanswered:
        return "unanswered";
    }
    return "unknown";
}

void upstream_health::decay(time_point now)
{
    if (m_decayedAt) {
        const double retained = std::exp(-std::chrono::duration<double>(now - *m_decayedAt).count() / kDecaySeconds);
        m_failures *= retained;
        m_outcomes *= retained;
    }
    m_decayedAt = now;
}

void upstream_health::recordOutcome(upstream_outcome outcome, bool hasFreeSlot, time_point now)
{
    if (outcome == upstream_outcome::rejected && !hasFreeSlot)
        return; // A full upstream may reject requests.
    decay(now);
    if (m_lastOutcomeOrTrialAt && now - *m_lastOutcomeOrTrialAt > kMaxFailureGap)
        m_consecutiveFailures = 0;
    m_lastOutcomeOrTrialAt = now;
    m_outcomes += 1;
    if (outcome != upstream_outcome::answered) {
        recordFailure(now);
        return;
    }
    ++m_consecutiveAnswers;
    m_consecutiveFailures = 0;
    m_trialPeriod = kFirstTrialPeriod;
    const bool isStable = now - m_lastFailureAt >= kFailureFreeTime || m_failures < kFailingShare * m_outcomes;
    if (m_isFailing && m_consecutiveAnswers >= kTrialsToRecover && isStable)
        reset();
}

void upstream_health::recordFailure(time_point now)
{
    m_failures += 1;
    m_lastFailureAt = now;
    m_consecutiveAnswers = 0;
    ++m_consecutiveFailures;
    if (!m_isFailing) {
        const bool isShareHigh = m_failures >= kMinFailures && m_failures >= kFailingShare * m_outcomes;
        m_isFailing = isShareHigh || m_consecutiveFailures >= kConsecutiveFailuresToFail;
        m_failingSince = now;
        m_trialPeriod = kFirstTrialPeriod;
        return;
    }
    // Requests that were in progress when the upstream became failing are not trials.
    if (now - m_failingSince < m_trialPeriod)
        return;
    m_failingSince = now;
    m_trialPeriod = std::min(2 * m_trialPeriod, kMaxTrialPeriod);
}

void upstream_health::reset()
{
    *this = upstream_health{};
}

bool upstream_health::isTrialDue(time_point now) const
{
    return m_isFailing && (!m_lastOutcomeOrTrialAt || now - *m_lastOutcomeOrTrialAt >= m_trialPeriod);
}

} // namespace citroncrank
