#include "citroncrank/agent_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

// Used until an agent has measured the processing time of its upstream.
constexpr double kDefaultProcessingMs = 50;
// Factor by which requests are taken to last longer during the warm-up of an upstream whose agent is of an earlier
// version, and so does not report measured processing times.
constexpr double kUnmeasuredColdSlowdown = 2;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

// Requests end after their processing time, and others arrive, so the reported number approaches the mean. A backlog of
// more requests than slots takes accordingly longer. The reported requests that remain have a binomial distribution and
// those that arrived since a Poisson distribution; their variances add up.
load_estimate estimateLoad(const agent_record &agent, const service_reference &reference, time_point now)
{
    const agent_report &report = agent.report;
    if (!agent.lastHeardAt || report.slots == 0)
        return {.requests = double(agent.sentSinceLoad)};
    const measured_processing measured = measuredProcessing(agent);
    const bool isUnmeasuredCold = report.coldMilliseconds > 0 && measured.meanMs == 0;
    const start_pace pace =
        isUnmeasuredCold ? start_pace{.share = 1 / kUnmeasuredColdSlowdown} : startPace(measured, reference);
    const double slots = report.slots * pace.share;
    const double processingMs =
        report.processingMilliseconds == 0 ? kDefaultProcessingMs : report.processingMilliseconds;
    const double mean = report.meanBusyMilli / 1000.0;
    const double elapsedMs = milliseconds(now - agent.loadKnownAt.value_or(*agent.lastHeardAt));
    const double remaining = std::exp(-elapsedMs / (processingMs * std::max(1.0, report.busy / slots)));
    const double arrived = mean * (1 - remaining);
    const double requests = report.busy * remaining + arrived + agent.sentSinceLoad;
    const double variance = report.busy * remaining * (1 - remaining) + arrived;
    const double least = pace.assumedLoad * slots;
    return {.requests = std::max(requests, least),
            .deviation = std::sqrt(std::max(variance, least)),
            .slots = slots,
            .pace = pace.share,
            .relative = std::max(pace.relative, relativeProcessing(measured, reference.processingMs))};
}

measured_processing measuredProcessing(const agent_record &agent)
{
    return {.meanMs = agent.report.processingMicroseconds / 1000.0,
            .answers = double(agent.report.answers),
            .load = agent.report.meanBusyMilli / 1000.0 / std::max<double>(1, agent.report.slots)};
}

double expectedLoad(const load_estimate &estimate)
{
    return completionCost(estimate.requests, estimate.slots, estimate.relative);
}

double drawLoad(const load_estimate &estimate, std::mt19937_64 *random)
{
    if (estimate.deviation == 0)
        return expectedLoad(estimate);
    std::normal_distribution<double> requests(estimate.requests, estimate.deviation);
    return completionCost(std::max(0.0, requests(*random)), estimate.slots, estimate.relative);
}

} // namespace citroncrank
