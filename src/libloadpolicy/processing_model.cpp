#include "citroncrank/processing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

// Time constant of the exponential decay of observations. A change of the processing time dominates the estimate within
// a second, and an upstream with two slots still contributes dozens of answers.
constexpr double kDecaySeconds = 1.0;
// Weight of the default, in answers.
constexpr double kDefaultWeight = 1.0;
// Bounds memory. Kinds follow from the routes, of which a service has few.
constexpr std::size_t kMaxKinds = 64;

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

double retainedShare(time_point from, time_point to)
{
    return std::exp(-std::max(0.0, secondsBetween(from, to)) / kDecaySeconds);
}

double toMilliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void processing_model::moments::decay(time_point now)
{
    const double retained = retainedShare(updatedAt, now);
    count *= retained;
    sumMs *= retained;
    squareSumMs2 *= retained;
    updatedAt = now;
}

processing_model::processing_model(double defaultMs)
    : m_defaultMs(defaultMs)
{}

void processing_model::reset(time_point now)
{
    m_kinds.clear();
    m_all = {};
    m_busyMs = 0;
    m_busyUpdatedAt = now;
}

// While k slots are in use, the decayed busy time follows dB/dt = k - B / decay, which has the solution used here.
void processing_model::recordOccupied(std::size_t slotsInUse, time_point now)
{
    const double retained = retainedShare(m_busyUpdatedAt, now);
    m_busyMs = m_busyMs * retained + double(m_slotsInUse) * kDecaySeconds * 1000 * (1 - retained);
    m_busyUpdatedAt = now;
    m_slotsInUse = slotsInUse;
}

void processing_model::recordAnswer(request_kind kind, duration processing, time_point now)
{
    const double ms = toMilliseconds(processing);
    const auto add = [&](moments *target) {
        target->decay(now);
        target->count += 1;
        target->sumMs += ms;
        target->squareSumMs2 += ms * ms;
    };
    add(&m_all);
    if (m_kinds.size() < kMaxKinds || m_kinds.contains(kind))
        add(&m_kinds[kind]);
}

processing_estimate processing_model::estimate(request_kind kind, time_point now) const
{
    const processing_estimate all = overall(now);
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return all;
    moments known = found->second;
    known.decay(now);
    const double weight = known.count + kDefaultWeight;
    const double mean = (known.sumMs + kDefaultWeight * all.meanMs) / weight;
    const double square = (known.squareSumMs2 + kDefaultWeight * (all.meanMs * all.meanMs)) / weight;
    return {.meanMs = mean, .deviationMs = std::sqrt(std::max(0.0, square - mean * mean)), .answers = known.count};
}

// Busy time per answer is the mean processing time also while requests are unanswered, since they occupy slots
// without adding answers.
processing_estimate processing_model::overall(time_point now) const
{
    moments all = m_all;
    all.decay(now);
    const double retained = retainedShare(m_busyUpdatedAt, now);
    const double busyMs = m_busyMs * retained + double(m_slotsInUse) * kDecaySeconds * 1000 * (1 - retained);
    const double weight = all.count + kDefaultWeight;
    const double mean = (busyMs + kDefaultWeight * m_defaultMs) / weight;
    const double answered = all.count > 0 ? all.sumMs / all.count : m_defaultMs;
    const double variance = all.count > 0 ? all.squareSumMs2 / all.count - answered * answered : 0;
    return {.meanMs = mean, .deviationMs = std::sqrt(std::max(0.0, variance)), .answers = all.count};
}

} // namespace citroncrank
