#include "citroncrank/start_pace.h"

#include <algorithm>
#include <cmath>

namespace citroncrank {

namespace {

// Answers after which the share depends on their processing time only. The first ones begin when the slots get their
// first requests, so with a few slots these are two to four rounds of requests.
constexpr double kGrowthAnswers = 8;
// Answers after which relativeProcessing() detects an upstream that is half as fast as others.
constexpr double kProofAnswers = 24;
// Upstreams with fewer recent answers do not show what a warm one does.
constexpr double kWarmAnswers = 8;
// Without answers nothing is known. Half leaves room for an upstream that is twice as slow at first.
constexpr double kFirstShare = 0.5;
// Standard deviations of the mean of so few answers.
constexpr double kChanceDeviations = 2;

} // namespace

// Without answers, a new upstream looks idle to all balancers at once. Each takes it for as loaded as the others then,
// less with each answer.
start_pace startPace(const measured_processing &measured, const service_reference &reference)
{
    if (measured.meanMs <= 0 || reference.processingMs <= 0 || reference.answers < kWarmAnswers)
        return {};
    // At a low rate of requests, equal upstreams have few answers each.
    if (measured.answers >= std::min(kProofAnswers, reference.answers / 2))
        return {};
    const double growth = std::min(1.0, measured.answers / kGrowthAnswers);
    // Equal upstreams differ by chance, and one that is avoided for it would have no answers to correct it. So only the
    // part of the difference counts that exceeds chance.
    const double difference = std::log(measured.meanMs / reference.processingMs);
    const double chance = kChanceDeviations / std::sqrt(std::max(1.0, measured.answers));
    return {.share = kFirstShare + (1 - kFirstShare) * growth,
            .relative = std::exp(std::max(0.0, difference - chance)),
            .assumedLoad = reference.load * (1 - growth)};
}

} // namespace citroncrank
