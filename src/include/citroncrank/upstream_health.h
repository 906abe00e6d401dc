#pragma once

/// @file
/// Judges an upstream by how it treats the requests of callers. Announcements and probes may say otherwise.

#include "citroncrank/time.h"

#include <cstdint>
#include <optional>

namespace citroncrank {

/// How the upstream treated a request, or the opening packet of a flow.
enum class upstream_outcome : std::uint8_t {
    answered,
    rejected,   ///< It said that it has no room.
    failed,     ///< Error answer or reset.
    unanswered, ///< Nothing came back in time.
};
const char *toString(upstream_outcome outcome);

/// Not thread safe.
class upstream_health
{
public:
    /// `hasRoom`: the upstream had fewer requests than slots, so that a rejection is a failure.
    void note(upstream_outcome outcome, bool hasRoom, time_point now);
    /// The upstream has restarted; nothing of before holds.
    void reset();

    /// New flows should go to other upstreams while there are any.
    bool isFailing() const { return m_isFailing; }
    /// A failing upstream may get one flow to show whether it has recovered. Not needed while requests of open flows show it.
    bool isTrialDue(time_point now) const;
    void noteTrial(time_point now) { m_lastEvidence = now; }

    /// Recent failures and outcomes; older ones count less.
    double failures() const { return m_failures; }
    double outcomes() const { return m_outcomes; }

private:
    void age(time_point now);
    void noteFailure(time_point now);

    bool m_isFailing = false;
    double m_failures = 0;
    double m_outcomes = 0;
    std::uint32_t m_answeredInRow = 0;
    std::uint32_t m_failedInRow = 0;
    std::optional<time_point> m_agedAt;
    std::optional<time_point> m_lastEvidence; ///< Last outcome or trial.
    time_point m_lastFailure;
    time_point m_failingSince; ///< Or since the trial period grew last.
    duration m_trialPeriod{0}; ///< Grows while trials fail.
};

} // namespace citroncrank
