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
    double answers = 0; ///< Answers that the mean rests on.
};

/// Processing time that the upstreams of a service are compared with: the median of the measured ones. 0 if fewer than
/// two are measured. Reorders `measured`.
double referenceProcessingMs(std::span<measured_processing> measured);

/// Processing time of an upstream as a multiple of the reference. 1 unless the difference exceeds what chance explains.
double relativeProcessing(const measured_processing &measured, double referenceMs);

/// Expected completion of a new request, relative to an upstream without requests and of the reference's speed, in
/// processing times. Equals the fraction of the slots in use if `relative` is 1.
double completionCost(double competingRequests, double slots, double relative);

} // namespace citroncrank
