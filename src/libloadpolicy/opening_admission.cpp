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
// A priority counts as within its share unless nearly all priorities with that share need less. In an overload by all
// priorities none does.
constexpr double kShareQuantile = 2;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMaxAheadPerSlot = 1;
// Bounds memory. Routes use few priorities.
constexpr std::size_t kMaxPriorities = 64;

double retainedShare(time_point from, time_point to)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(to - from).count()) / kDecaySeconds);
}

double orUnlimited(double ms)
{
    return ms > 0 ? ms : std::numeric_limits<double>::infinity();
}

} // namespace

void offered_load::decayed_work::record(double processingMs, time_point now)
{
    workMs = workMs * retainedShare(updatedAt, now) + processingMs;
    updatedAt = now;
}

double offered_load::decayed_work::slotsNeeded(time_point now) const
{
    return workMs * retainedShare(updatedAt, now) / (kDecaySeconds * kMillisecondsPerSecond);
}

void offered_load::record(std::uint32_t priority, double processingMs, time_point now)
{
    m_all.record(processingMs, now);
    if (m_priorities.size() < kMaxPriorities || m_priorities.contains(priority))
        m_priorities[priority].record(processingMs, now);
}

double offered_load::slotsNeeded(std::uint32_t priority, time_point now) const
{
    const auto found = m_priorities.find(priority);
    return found == m_priorities.end() ? 0 : found->second.slotsNeeded(now);
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
    // A free slot would be idle otherwise, and without answers a processing time that is too long is never corrected.
    if (ahead == 0)
        return {true, waitMs};
    if (answerBy(ahead, -kTimeoutQuantile) > timeoutMs)
        return {false, waitMs};
    if (need.targetMs <= 0 || need.timeoutMs <= 0)
        return {true, waitMs};
    const double spareSlots = slots - backlog.slotsNeeded;
    if (spareSlots <= 0) {
        if (ahead <= kMaxAheadPerSlot * slots || answerBy(ahead + backlog.pastTarget, kTargetQuantile) <= need.targetMs)
            return {true, waitMs};
        const double ownWaitMs = (need.ownWaiting + 1) * others.meanMs / std::max(1e-3, need.ownSlots);
        // Standard deviation of a decayed mean of Poisson arrivals.
        const double noise =
            std::sqrt(need.ownSlotsNeeded * others.meanMs / (2 * kDecaySeconds * kMillisecondsPerSecond));
        const bool isWithinShare = need.ownSlots > 0 && need.ownSlotsNeeded - kShareQuantile * noise <= need.ownSlots
                                   && need.ownSlotsNeeded + noise <= need.ownSlots * backlog.slotsNeeded / slots;
        return {isWithinShare && std::min(waitMs, ownWaitMs) + need.processing.meanMs <= need.targetMs, waitMs};
    }
    // In overload the newest go first, so the waiting requests within their target may miss it as well.
    const double lateAnswerMs = (ahead + backlog.pastTarget + 1) * others.meanMs / spareSlots + need.processing.meanMs;
    return {answerBy(ahead, kTargetQuantile) <= need.targetMs || lateAnswerMs <= timeoutMs, waitMs};
}

bool isBeyondTimeout(const reported_wait &agent, double timeoutMs)
{
    // The agent reports the mean, so twice the processing time is left as a margin for the spread.
    const double waitMs = agent.waitMs - agent.ageMs - 2 * agent.processingMs;
    return timeoutMs > 0 && agent.waitMs > 0 && agent.processingMs > 0 && waitMs > timeoutMs;
}

} // namespace citroncrank
