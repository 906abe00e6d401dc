#include "citroncrank/placement_cost.h"

#include <algorithm>
#include <cmath>

namespace citroncrank {

namespace {

// A mean that rests on fewer answers says little about an upstream.
constexpr double kMinAnswers = 8;
// Relative difference of the means of equal upstreams, whatever the number of answers: they get somewhat different
// kinds of requests.
constexpr double kKindVariation = 0.05;
// Standard deviations up to which a difference counts as chance, and from which it counts in full. About one of a
// hundred equal upstreams exceeds the lower limit at a time, and then by little.
constexpr double kChanceDeviations = 2.5;
constexpr double kCertainDeviations = 4;
// Fraction of the slots. Used while no target is known, and the least penalty otherwise. A round trip between failure
// domains takes about 9 ms, as much as waiting for a sixth of a typical request.
constexpr double kMinDomainPenalty = 0.15;
// A request that finds its slots and as many places in the queue taken has waited for a whole processing time.
constexpr double kMaxDomainPenalty = 2;
// Multiple of the mean within which nearly all requests are processed.
constexpr double kSlowRequestRatio = 3;
// Part of the time to spare that a request may wait in its own failure domain. The balancer's knowledge of the wait is
// old, and further requests of the flow need time to spare as well.
constexpr double kWaitShare = 0.25;

double medianOf(std::span<measured_processing> measured, double measured_processing::*field)
{
    if (measured.empty())
        return 0;
    const auto middle = measured.begin() + std::ptrdiff_t((measured.size() - 1) / 2);
    std::nth_element(measured.begin(), middle, measured.end(),
                     [field](const measured_processing &left, const measured_processing &right) {
                         return left.*field < right.*field;
                     });
    return (*middle).*field;
}

} // namespace

service_reference compareUpstreams(std::span<measured_processing> measured)
{
    const auto known =
        std::partition(measured.begin(), measured.end(), [](const measured_processing &one) { return one.meanMs > 0; });
    const auto warm = std::partition(measured.begin(), known,
                                     [](const measured_processing &one) { return one.answers >= kMinAnswers; });
    const std::span<measured_processing> warmOnes(measured.begin(), warm);
    return {.processingMs = warmOnes.size() < 2 ? 0 : medianOf(warmOnes, &measured_processing::meanMs),
            .answers = medianOf({measured.begin(), known}, &measured_processing::answers),
            .load = medianOf(warmOnes, &measured_processing::load)};
}

// With exponentially distributed times, 95 % of the requests take at most three times the mean.
double otherDomainPenalty(double latencyTargetMs, double processingMs)
{
    if (latencyTargetMs <= 0 || processingMs <= 0)
        return kMinDomainPenalty;
    const double spareMs = latencyTargetMs - kSlowRequestRatio * processingMs;
    return std::clamp(kWaitShare * spareMs / processingMs, kMinDomainPenalty, kMaxDomainPenalty);
}

// The mean of n answers has the relative standard deviation 1/sqrt(n), as for exponentially distributed times.
double relativeProcessing(const measured_processing &measured, double referenceMs)
{
    if (measured.meanMs <= 0 || measured.answers <= 0 || referenceMs <= 0)
        return 1;
    const double difference = std::log(measured.meanMs / referenceMs);
    const double deviation = std::sqrt(1 / measured.answers + kKindVariation * kKindVariation);
    const double certainty =
        (std::abs(difference) / deviation - kChanceDeviations) / (kCertainDeviations - kChanceDeviations);
    return std::exp(difference * std::clamp(certainty, 0.0, 1.0));
}

double completionCost(double competingRequests, double slots, double relative)
{
    return ((competingRequests + 1) * relative - 1) / slots;
}

} // namespace citroncrank
