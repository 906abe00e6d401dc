#include "citroncrank/opening_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace citroncrank {

namespace {

// As long as a typical burst takes to show, and long enough to average over dozens of requests at a small upstream.
constexpr double kDecaySeconds = 1.0;
// Quantiles of the normal distribution. An opening is refused for its timeout only if less than one in a hundred such
// requests would be answered; it counts as in time for its target if five of six would.
constexpr double kTimeoutQuantile = 2.33;
constexpr double kTargetQuantile = 0.97;
constexpr double kMillisecondsPerSecond = 1000;

double retainedShare(time_point from, time_point to)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(to - from).count()) / kDecaySeconds);
}

double orUnlimited(double ms)
{
    return ms > 0 ? ms : std::numeric_limits<double>::infinity();
}

} // namespace

void offered_load::record(double processingMs, time_point now)
{
    m_workMs = m_workMs * retainedShare(m_updatedAt, now) + processingMs;
    m_updatedAt = now;
}

double offered_load::slotsNeeded(time_point now) const
{
    return m_workMs * retainedShare(m_updatedAt, now) / (kDecaySeconds * kMillisecondsPerSecond);
}

// Requests within their target go first. While arriving requests leave turns over, a new request waits for those within
// their target only, or for the turns left over if it cannot meet its target itself. While they leave none, each request
// that waits beyond its target keeps its place until its caller gives up, so a new one is admitted only if all waiting
// requests can be answered within the target.
admission_estimate estimateAdmission(const upstream_backlog &backlog, const request_need &need)
{
    const double slots = std::max(1.0, backlog.slots);
    const processing_estimate &others = backlog.processing;
    const auto answerBy = [&](double ahead, double quantile) {
        const double waitDeviationMs = std::sqrt(ahead) * others.deviationMs / slots;
        return ahead * others.meanMs / slots + need.processing.meanMs
               + quantile * std::hypot(waitDeviationMs, need.processing.deviationMs);
    };
    const double ahead = std::max(0.0, backlog.competing + 1 - slots);
    const double waitMs = ahead * others.meanMs / slots;
    const double timeoutMs = orUnlimited(need.timeoutMs);
    if (answerBy(ahead, -kTimeoutQuantile) > timeoutMs)
        return {false, waitMs};
    // A free slot would be idle otherwise.
    if (ahead == 0 || need.targetMs <= 0 || need.timeoutMs <= 0)
        return {true, waitMs};
    const double spareSlots = slots - backlog.slotsNeeded;
    if (spareSlots <= 0)
        return {answerBy(ahead + backlog.pastTarget, kTargetQuantile) <= need.targetMs, waitMs};
    const double lateAnswerMs =
        waitMs + (backlog.pastTarget + 1) * others.meanMs / spareSlots + need.processing.meanMs;
    return {answerBy(ahead, kTargetQuantile) <= need.targetMs || lateAnswerMs <= timeoutMs, waitMs};
}

bool isBeyondTimeout(const reported_wait &agent, double timeoutMs)
{
    // The agent reports the mean, so twice the processing time is left as a margin for the spread.
    const double waitMs = agent.waitMs - agent.ageMs - 2 * agent.processingMs;
    return timeoutMs > 0 && agent.waitMs > 0 && agent.processingMs > 0 && waitMs > timeoutMs;
}

} // namespace citroncrank
