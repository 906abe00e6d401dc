#pragma once

/// @file
/// Passive health check of an upstream: uses the outcomes of callers' requests, since an upstream that fails requests
/// may still announce itself as ready and answer probes.

#include "citroncrank/time.h"

#include <cstdint>
#include <optional>

namespace citroncrank {

/// Outcome of a request, or of the opening packet of a flow.
enum class upstream_outcome : std::uint8_t {
    answered,
    rejected,   ///< The upstream has no capacity for it.
    failed,     ///< Error status or reset.
    unanswered, ///< No answer before the timeout.
};
const char *toString(upstream_outcome outcome);

/// Not thread safe.
class upstream_health
{
public:
    /// `hasFreeSlot`: fewer requests than slots are in progress, so a rejection counts as a failure.
    void recordOutcome(upstream_outcome outcome, bool hasFreeSlot, time_point now);
    /// Discards all state, because the upstream has recovered or restarted.
    void reset();

    /// New flows should go to other upstreams if there are any.
    bool isFailing() const { return m_isFailing; }
    /// Whether a failing upstream may get one flow to test whether it has recovered. Recent outcomes of requests on
    /// open flows make a trial unnecessary.
    bool isTrialDue(time_point now) const;
    void recordTrial(time_point now) { m_lastOutcomeOrTrialAt = now; }

    /// Exponentially decayed counts.
    double failures() const { return m_failures; }
    double outcomes() const { return m_outcomes; }

private:
    void decay(time_point now);
    void recordFailure(time_point now);

    bool m_isFailing = false;
    double m_failures = 0;
    double m_outcomes = 0;
    std::uint32_t m_consecutiveAnswers = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::optional<time_point> m_decayedAt;
    std::optional<time_point> m_lastOutcomeOrTrialAt;
    time_point m_lastFailureAt;
    time_point m_failingSince; ///< Restarts when the trial period grows.
    duration m_trialPeriod{0}; ///< Grows while trials fail.
};

} // namespace citroncrank
