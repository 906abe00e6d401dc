#include "citroncrank/upstream_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Time constant with which outcomes lose weight; longer than a burst of errors, shorter than a typical fault.
constexpr double kMemorySeconds = 2.0;
// With fewer recent failures a single caller's bad request could take an upstream out.
constexpr double kLeastFailures = 2.5;
// A caller with two retries fails once in 125 times at upstreams that fail this share.
constexpr double kFailingShare = 0.2;
// An upstream that answers most requests fails so many in a row once in thousands of times.
constexpr std::uint32_t kFailuresInRow = 4;
// Failures that lie further apart are no row.
constexpr duration kRowTime = milliseconds(1000);
// An upstream that fails half of its requests passes this many trials once in 32 times.
constexpr std::uint32_t kTrialsToReturn = 5;
// One that answers many requests a second passes them by chance. A request that hangs is known as such after 0.7 s.
constexpr duration kCleanTime = milliseconds(1000);
constexpr duration kFirstTrialPeriod = milliseconds(200);
// Each failed trial costs a caller a request. An upstream that has recovered is found so within this time.
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

void upstream_health::age(time_point now)
{
    if (m_agedAt) {
        const double kept = std::exp(-std::chrono::duration<double>(now - *m_agedAt).count() / kMemorySeconds);
        m_failures *= kept;
        m_outcomes *= kept;
    }
    m_agedAt = now;
}

void upstream_health::note(upstream_outcome outcome, bool hasRoom, time_point now)
{
    if (outcome == upstream_outcome::rejected && !hasRoom)
        return; // It is full.
    age(now);
    if (m_lastEvidence && now - *m_lastEvidence > kRowTime)
        m_failedInRow = 0;
    m_lastEvidence = now;
    m_outcomes += 1;
    if (outcome != upstream_outcome::answered) {
        noteFailure(now);
        return;
    }
    ++m_answeredInRow;
    m_failedInRow = 0;
    m_trialPeriod = kFirstTrialPeriod;
    const bool isClean = now - m_lastFailure >= kCleanTime || m_failures < kFailingShare * m_outcomes;
    if (m_isFailing && m_answeredInRow >= kTrialsToReturn && isClean)
        reset();
}

void upstream_health::noteFailure(time_point now)
{
    m_failures += 1;
    m_lastFailure = now;
    m_answeredInRow = 0;
    ++m_failedInRow;
    if (!m_isFailing) {
        const bool isShareHigh = m_failures >= kLeastFailures && m_failures >= kFailingShare * m_outcomes;
        m_isFailing = isShareHigh || m_failedInRow >= kFailuresInRow;
        m_failingSince = now;
        m_trialPeriod = kFirstTrialPeriod;
        return;
    }
    // Requests that were at work already when it turned failing are no trials.
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
    return m_isFailing && (!m_lastEvidence || now - *m_lastEvidence >= m_trialPeriod);
}

} // namespace citroncrank
