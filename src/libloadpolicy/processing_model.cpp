#include "citroncrank/processing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citroncrank {

namespace {

// Time constant of the exponential decay of slot use. An upstream that hangs uses its slots without answers.
constexpr double kRecentSeconds = 1;
// Time constant of the means. Over it, their noise is so small that upstreams of equal speed look equal.
constexpr double kLearnedSeconds = 20;
// Time constant at which the number of answers falls while no request is in progress. An upstream that gets no requests
// because it was slow must soon be tried again.
constexpr double kIdleSeconds = 1.5;
// A change of speed shows as a run of answers that differ from the mean in one direction (CUSUM test). Each adds its
// difference from the mean, as a multiple of the mean and less an allowance for chance, to the score of the run. With
// these limits a fifth of the speed shows after 4 answers, half of it after 30, and steady work seems to change about
// once in some hundred answers, by a change that rests on few answers and soon corrects itself.
constexpr double kSlowerAllowance = 0.5;
constexpr double kSlowerLimit = 10;
constexpr double kFasterAllowance = 0.3;
constexpr double kFasterLimit = 5;
constexpr double kMinRunAnswers = 4;
// Multiple of the mean from which an answer counts no more. The answers after a hang take as long as the hang did.
constexpr double kMaxRatio = 8;
// Weight of the default, or of the mean of all kinds for a new kind, in answers.
constexpr double kSeedWeight = 1;
// A kind's mean can be compared with recent answers once it rests on this many.
constexpr double kMinKnownAnswers = 8;
// Standard deviations by which the use of slots must exceed what answers explain. Chance does once in 700 cases.
constexpr double kSignificance = 3;
// Weight of one answer in the spread.
constexpr double kSpreadWeight = 0.02;
// An answer adds at most this to the mean square of the differences, since a change of speed is no spread.
constexpr double kMaxSpreadSquare = 4;
// Bounds of the relative spread of processing times of one kind. Regular work may turn irregular at any time.
constexpr double kMinSpread = 0.5;
constexpr double kMaxSpread = 1.5;
constexpr double kMinMeanMs = 1e-3;
// Bounds memory. Kinds follow from the routes, of which a service has few.
constexpr std::size_t kMaxKinds = 64;

double retainedShare(time_point from, time_point to, double timeConstantSeconds)
{
    const double elapsed = std::chrono::duration<double>(to - from).count();
    return std::exp(-std::max(0.0, elapsed) / timeConstantSeconds);
}

double toMilliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

double processing_model::moments::deviationMs() const
{
    const double mean = meanMs();
    return std::sqrt(std::max(0.0, squareSumMs2 / count - mean * mean));
}

void processing_model::moments::scale(double factor)
{
    count *= factor;
    sumMs *= factor;
    squareSumMs2 *= factor;
}

void processing_model::moments::decay(time_point now)
{
    scale(std::max(retainedShare(updatedAt, now, kLearnedSeconds), std::min(1.0, kSeedWeight / count)));
    updatedAt = now;
}

void processing_model::moments::add(double ms)
{
    count += 1;
    sumMs += ms;
    squareSumMs2 += ms * ms;
}

// Answers before the run began, or that make it improbable, no longer count.
void processing_model::change_run::add(double ratio, double evidence)
{
    score += evidence;
    answers += 1;
    ratioSum += ratio;
    if (score <= 0)
        *this = {};
}

processing_model::processing_model(double defaultMs)
    : m_defaultMs(defaultMs)
    , m_all(seeded(defaultMs, time_point{}))
{}

// The deviation of a processing time that nothing is known of is taken as large as its mean.
processing_model::moments processing_model::seeded(double meanMs, time_point now) const
{
    return {.count = kSeedWeight,
            .sumMs = kSeedWeight * meanMs,
            .squareSumMs2 = kSeedWeight * 2 * meanMs * meanMs,
            .updatedAt = now};
}

void processing_model::reset(time_point now)
{
    m_kinds.clear();
    m_all = seeded(m_defaultMs, now);
    m_recent = {.updatedAt = now};
    m_answers = 0;
    m_answersUpdatedAt = now;
    m_spreadSquare = 1;
    m_slower = {};
    m_faster = {};
}

// While k slots are in use, the decayed time follows dB/dt = k - B / decay, which has the solution used here.
processing_model::recent_use processing_model::recentUse(time_point now) const
{
    recent_use recent = m_recent;
    const double retained = retainedShare(recent.updatedAt, now, kRecentSeconds);
    recent.explainedMs *= retained;
    recent.occupiedMs = recent.occupiedMs * retained + double(m_slotsInUse) * kRecentSeconds * 1000 * (1 - retained);
    recent.updatedAt = now;
    return recent;
}

void processing_model::recordOccupied(std::size_t slotsInUse, time_point now)
{
    m_recent = recentUse(now);
    m_answers = answersHeld(now);
    m_answersUpdatedAt = now;
    m_slotsInUse = slotsInUse;
}

void processing_model::recordAnswer(request_kind kind, duration processing, time_point now)
{
    double ms = toMilliseconds(processing);
    m_recent = recentUse(now);
    m_all.decay(now);
    m_answers = answersHeld(now) + 1;
    m_answersUpdatedAt = now;
    const auto found = m_kinds.find(kind);
    const bool isKnown = found != m_kinds.end() && found->second.count >= kMinKnownAnswers;
    if (isKnown) {
        const double mean = found->second.meanMs();
        ms = std::min(ms, kMaxRatio * mean);
        const double ratio = ms / std::max(mean, kMinMeanMs);
        m_slower.add(ratio, ratio - 1 - kSlowerAllowance);
        m_faster.add(ratio, 1 - ratio - kFasterAllowance);
        m_spreadSquare += kSpreadWeight * (std::min(kMaxSpreadSquare, (ratio - 1) * (ratio - 1)) - m_spreadSquare);
        m_recent.explainedMs += mean;
    } else {
        m_recent.explainedMs += ms;
    }
    m_all.add(ms);
    if (found != m_kinds.end() || m_kinds.size() < kMaxKinds) {
        moments &known = m_kinds.try_emplace(kind, seeded(m_all.meanMs(), now)).first->second;
        known.decay(now);
        known.add(ms);
    }
    if (m_slower.answers >= kMinRunAnswers && m_slower.score > kSlowerLimit)
        adoptChange(m_slower, now);
    else if (m_faster.answers >= kMinRunAnswers && m_faster.score > kFasterLimit)
        adoptChange(m_faster, now);
}

double processing_model::spread() const
{
    return std::clamp(std::sqrt(m_spreadSquare), kMinSpread, kMaxSpread);
}

// All kinds change by the same factor when the upstream's speed changes. Afterwards the means rest on the answers of
// the run only, so that further ones move them quickly.
void processing_model::adoptChange(change_run run, time_point now)
{
    const double factor = run.ratioSum / run.answers;
    const auto rescale = [&](moments *target) {
        target->decay(now);
        target->scale(std::min(1.0, run.answers / target->count));
        target->sumMs *= factor;
        target->squareSumMs2 *= factor * factor;
    };
    rescale(&m_all);
    for (auto &[kind, known] : m_kinds)
        rescale(&known);
    m_answers = std::min(m_answers, run.answers);
    m_recent.explainedMs *= factor;
    m_slower = {};
    m_faster = {};
}

// Factor by which requests take longer than the means, as far as slots were in use for longer than the answers explain.
// A request that has been unanswered for less than the mean shows nothing yet.
double processing_model::slowdown(const recent_use &recent) const
{
    const double mean = m_all.meanMs();
    const double explained = recent.explainedMs + double(m_slotsInUse) * mean;
    const double excess = recent.occupiedMs - explained;
    const double chance = kSignificance * spread() * std::sqrt(recent.occupiedMs * mean);
    return excess > chance && explained > 0 ? recent.occupiedMs / explained : 1;
}

double processing_model::answersHeld(time_point now) const
{
    return m_answers * retainedShare(m_answersUpdatedAt, now, m_slotsInUse > 0 ? kLearnedSeconds : kIdleSeconds);
}

processing_estimate processing_model::estimate(request_kind kind, time_point now) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return overall(now);
    moments known = found->second;
    known.decay(now);
    const double factor = slowdown(recentUse(now));
    return {.meanMs = known.meanMs() * factor, .deviationMs = known.deviationMs() * factor, .answers = known.count};
}

// Unanswered requests show as much as the answers that were expected while they occupied slots. Irregular work needs
// more answers for the same certainty.
processing_estimate processing_model::overall(time_point now) const
{
    const recent_use recent = recentUse(now);
    const double factor = slowdown(recent);
    const double mean = m_all.meanMs();
    const double held = factor > 1 ? std::max(answersHeld(now), recent.occupiedMs / mean) : answersHeld(now);
    return {.meanMs = mean * factor,
            .deviationMs = m_all.deviationMs() * factor,
            .answers = held / std::max(1.0, spread() * spread())};
}

} // namespace citroncrank
