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

} // namespace

double referenceProcessingMs(std::span<measured_processing> measured)
{
    const auto end = std::partition(measured.begin(), measured.end(), [](const measured_processing &one) {
        return one.meanMs > 0 && one.answers >= kMinAnswers;
    });
    const auto count = end - measured.begin();
    if (count < 2)
        return 0;
    const auto middle = measured.begin() + (count - 1) / 2;
    std::nth_element(
        measured.begin(), middle, end,
        [](const measured_processing &left, const measured_processing &right) { return left.meanMs < right.meanMs; });
    return middle->meanMs;
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
