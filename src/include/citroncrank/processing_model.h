#pragma once

/// @file
/// Processing time of the requests at one upstream, learned from its answers. Performs no I/O.

#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>

namespace citroncrank {

/// Requests with the same kind have similar processing times. The value has no meaning of its own.
using request_kind = std::uint64_t;

/// Processing time of a request.
struct processing_estimate
{
    double meanMs = 0;
    double deviationMs = 0; ///< Standard deviation of one request.
    double answers = 0;     ///< Recent answers that the estimate rests on; older ones count for less.
};

/// Learns the processing time of each kind of request, and the time for which a request of any kind occupies a slot.
/// Recent observations count more, so that an upstream which turns slow is detected within about a second of answers.
/// Requests that are not answered yet count as well: an upstream that hangs turns slow in the estimate. Not thread safe.
class processing_model
{
public:
    /// `defaultMs`: mean processing time until answers show another one.
    explicit processing_model(double defaultMs);

    /// Forgets everything. Call when the upstream has started again.
    void reset(time_point now);
    /// Records the number of requests that occupy slots from now on.
    void recordOccupied(std::size_t slotsInUse, time_point now);
    /// Records an answer.
    void recordAnswer(request_kind kind, duration processing, time_point now);

    /// Of one kind. A kind without answers has the estimate of all kinds.
    processing_estimate estimate(request_kind kind, time_point now) const;
    /// Of all kinds, weighted by how often each occurs. Includes the time that unanswered requests have taken so far.
    processing_estimate overall(time_point now) const;

private:
    struct moments
    {
        double count = 0;
        double sumMs = 0;
        double squareSumMs2 = 0;
        time_point updatedAt;
        void decay(time_point now);
    };

    double m_defaultMs;
    absl::flat_hash_map<request_kind, moments> m_kinds;
    moments m_all;
    double m_busyMs = 0; ///< Decayed time for which slots were in use.
    std::size_t m_slotsInUse = 0;
    time_point m_busyUpdatedAt;
};

} // namespace citroncrank
