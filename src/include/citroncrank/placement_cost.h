#pragma once

/// @file
/// Cost of placing a new request at one of several upstreams of a service. Performs no I/O.

#include <cstdint>
#include <span>

namespace citroncrank {

/// Processing time of the requests at one upstream, as its agent reports it.
struct measured_processing
{
    double meanMs = 0;  ///< 0: not measured.
    double answers = 0; ///< Recent answers that the mean rests on.
    double load = 0;    ///< Mean number of requests at the upstream, as a fraction of its slots.
};

/// What the upstreams of a service are compared with: medians.
struct service_reference
{
    double processingMs = 0; ///< Of the upstreams with enough answers. 0: fewer than two have them.
    double answers = 0;      ///< Of the measured upstreams.
    double load = 0;         ///< Of the upstreams with enough answers.
};
/// Reorders `measured`.
service_reference compareUpstreams(std::span<measured_processing> measured);

/// Processing time of an upstream as a multiple of the reference. 1 unless the difference exceeds what chance explains.
double relativeProcessing(const measured_processing &measured, double referenceMs);

/// Added to the cost of an upstream in another failure domain, so that a request goes there only if the wait in its own
/// one is longer by this. In processing times; grows with the time that the latency target leaves. `latencyTargetMs`: 0
/// if there is none.
double otherDomainPenalty(double latencyTargetMs, double processingMs);

/// Expected completion of a new request, relative to an upstream without requests and of the reference's speed, in
/// processing times. Equals the fraction of the slots in use if `relative` is 1.
double completionCost(double competingRequests, double slots, double relative);

} // namespace citroncrank
