#include "citroncrank/agent_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

// Used until an agent has measured the processing time of its upstream.
constexpr double kDefaultProcessingMs = 50;
// During its warm-up an upstream needs up to twice as long for a request.
constexpr double kColdSlowdown = 2;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

// Requests end after their processing time, and others arrive, so the reported number approaches the mean. A backlog of
// more requests than slots takes accordingly longer. The reported requests that remain have a binomial distribution and
// those that arrived since a Poisson distribution; their variances add up.
load_estimate estimateLoad(const agent_record &agent, double referenceMs, time_point now)
{
    const agent_report &report = agent.report;
    if (!agent.lastHeardAt || report.slots == 0)
        return {.requests = double(agent.sentSinceLoad)};
    const double slots = report.coldMilliseconds > 0 ? report.slots / kColdSlowdown : report.slots;
    const double processingMs =
        report.processingMilliseconds == 0 ? kDefaultProcessingMs : report.processingMilliseconds;
    const double mean = report.meanBusyMilli / 1000.0;
    const double elapsedMs = milliseconds(now - agent.loadKnownAt.value_or(*agent.lastHeardAt));
    const double remaining = std::exp(-elapsedMs / (processingMs * std::max(1.0, report.busy / slots)));
    const double arrived = mean * (1 - remaining);
    return {.requests = report.busy * remaining + arrived + agent.sentSinceLoad,
            .deviation = std::sqrt(report.busy * remaining * (1 - remaining) + arrived),
            .slots = slots,
            .relative = relativeProcessing(measuredProcessing(agent), referenceMs)};
}

measured_processing measuredProcessing(const agent_record &agent)
{
    return {.meanMs = agent.report.processingMicroseconds / 1000.0, .answers = double(agent.report.answers)};
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
