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

/// Learns the processing time of each kind of request, and of all kinds together. The mean over a longer time applies
/// until recent answers differ from it by more than chance explains; then it follows these. Requests that are not
/// answered yet count as well: an upstream that hangs turns slow in the estimate. An idle upstream keeps its means,
/// only the number of answers falls. Not thread safe.
class processing_model
{
public:
    /// `defaultMs`: mean processing time until answers show another one.
    explicit processing_model(double defaultMs);

    /// Forgets everything but the number of occupied slots. Call when the upstream has started again.
    void reset(time_point now);
    /// Records the number of requests that occupy slots from now on.
    void recordOccupied(std::size_t slotsInUse, time_point now);
    /// Records an answer.
    void recordAnswer(request_kind kind, duration processing, time_point now);

    /// Of one kind. A kind without answers has the estimate of all kinds. Includes a slowdown that unanswered requests
    /// show.
    processing_estimate estimate(request_kind kind, time_point now) const;
    /// Of all kinds, weighted by how often each occurs. Includes a slowdown that unanswered requests show.
    processing_estimate overall(time_point now) const;
    /// Mean of the answered requests of all kinds.
    double answeredMs() const { return m_all.meanMs(); }

private:
    /// Weighted answers. Their total weight never falls below one answer, so the mean outlasts idle times.
    struct moments
    {
        double count = 0;
        double sumMs = 0;
        double squareSumMs2 = 0;
        time_point updatedAt;

        double meanMs() const { return sumMs / count; }
        double deviationMs() const;
        void scale(double factor);
        void decay(time_point now);
        void add(double ms);
    };
    /// Use of slots over the last second or so.
    struct recent_use
    {
        double occupiedMs = 0;  ///< Time for which slots were in use.
        double explainedMs = 0; ///< Part of it that answers explain according to the means.
        time_point updatedAt;
    };
    /// Consecutive answers that differ from the means in one direction.
    struct change_run
    {
        double score = 0;
        double answers = 0;
        double ratioSum = 0; ///< Of processing time to mean.
        void add(double ratio, double evidence);
    };

    moments seeded(double meanMs, time_point now) const;
    recent_use recentUse(time_point now) const;
    double spread() const;
    double slowdown(const recent_use &recent) const;
    double answersHeld(time_point now) const;
    void adoptChange(change_run run, time_point now);

    double m_defaultMs;
    absl::flat_hash_map<request_kind, moments> m_kinds;
    moments m_all;
    recent_use m_recent;
    change_run m_slower;
    change_run m_faster;
    std::size_t m_slotsInUse = 0;
    double m_answers = 0; ///< Answers that the means rest on.
    time_point m_answersUpdatedAt;
    double m_spreadSquare = 1; ///< Mean square of the relative difference of a processing time from its kind's mean.
};

} // namespace citroncrank
