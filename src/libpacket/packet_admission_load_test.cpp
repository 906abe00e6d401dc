// Replays loads through the decisions on admission and order, beside an ideal central queue that knows the processing
// time of each request and of which every slot is free to serve any request.

#include "citroncrank/opening_admission.h"
#include "citroncrank/request_queue.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep = milliseconds(1);
constexpr std::size_t kPriorities = 3;
constexpr double kProcessingTimeMargin = 1.3; // As in the agent.

/// Upstreams and callers.
struct fleet
{
    std::size_t upstreams = 12;
    std::size_t slots = 3;
    double processingMs = 50;
    double targetMs = 300;
    double timeoutMs = 3000;
    std::array<double, kPriorities> usual{0.3, 0.3, 0.15}; ///< Load by priority, as fractions of the capacity.
};

/// What changes between `from` and `until`.
struct disturbance
{
    duration from = seconds(30);
    duration until = seconds(35);
    std::array<double, kPriorities> factor{1, 1, 1}; ///< Of the usual load.
    double slowShare = 0;                            ///< Share of the upstreams that become slower.
    double slowdown = 1;
    std::size_t returning = 0; ///< Callers that open flows at the same time, at `from`.
    bool isDown = false;       ///< The service does not run, and no caller sends. Measured are the two seconds after.

    bool isMeasured(time_point arrival) const
    {
        const duration at = arrival - time_point{};
        return isDown ? at >= until && at < until + seconds(2) : at >= from && at < until;
    }
};

/// Mechanisms of the decision code. The tests show that the bounds fail without them.
struct mechanisms
{
    bool refusesEarly = true;
    bool keepsShares = true;
};

struct request
{
    time_point arrival;
    time_point target;
    time_point timeout;
    std::uint32_t priority = 0;
    double work = 0; ///< Processing time at a usual upstream, in milliseconds.
};

struct replay_result
{
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t dropped = 0; ///< Admitted, and held until the caller gave up.
    std::array<std::size_t, kPriorities> arrivedDuring{};
    std::array<std::size_t, kPriorities> inTimeDuring{}; ///< Of those that arrived during the disturbance.
    std::vector<double> waitsAfterMs;  ///< Of requests that arrived over a second after the disturbance.
    std::vector<double> waitsBeforeMs; ///< Of requests that were begun before it.
    std::vector<double> refusalAgesMs; ///< Zero for a refused opening, the whole wait for an admitted request.
    std::size_t mostUnanswered = 0;    ///< Most requests that were admitted and not answered yet.
    std::size_t inTime = 0;
    std::size_t refusedBefore = 0; ///< Before the disturbance.

    std::size_t inTimeMeasured() const { return inTimeDuring[0] + inTimeDuring[1] + inTimeDuring[2]; }
    std::size_t arrivedMeasured() const { return arrivedDuring[0] + arrivedDuring[1] + arrivedDuring[2]; }
    double refusalAgePercentile(double share) const { return percentile(refusalAgesMs, share); }
    double shareInTime(std::size_t priority) const
    {
        return double(inTimeDuring[priority]) / double(arrivedDuring[priority]);
    }
    double waitBeforePercentile(double share) const { return percentile(waitsBeforeMs, share); }
    double waitAfterPercentile(double share) const { return percentile(waitsAfterMs, share); }

    static double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[std::size_t(share * double(values.size() - 1))];
    }
};

/// Arrivals of one replay, the same for the decision code and for the ideal.
std::vector<request> makeArrivals(const fleet &described, const disturbance &change, duration length,
                                  std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::gamma_distribution<double> work(4, described.processingMs / 4);
    std::vector<request> arrivals;
    const double perMs = double(described.upstreams * described.slots) / described.processingMs;
    const auto add = [&](time_point now, std::uint32_t priority) {
        const auto after = [&](double ms) { return now + duration(std::int64_t(ms * 1000)); };
        arrivals.push_back({now, after(described.targetMs), after(described.timeoutMs), priority, work(random)});
    };
    for (time_point now{}; now < time_point{} + length; now += kStep) {
        const duration at = now - time_point{};
        const bool isDisturbed = at >= change.from && at < change.until;
        for (std::uint32_t priority = 0; priority < kPriorities && !(isDisturbed && change.isDown); ++priority) {
            const double factor = isDisturbed ? change.factor[priority] : 1;
            std::poisson_distribution<int> count(perMs * described.usual[priority] * factor);
            for (int i = count(random); i > 0; --i)
                add(now, priority);
        }
        if (at == (change.isDown ? change.until : change.from)) {
            for (std::size_t i = 0; i < change.returning; ++i)
                add(now, std::uint32_t(i % kPriorities));
        }
    }
    return arrivals;
}

/// The decision code of one agent, with an upstream that works without overhead.
class replayed_agent
{
public:
    explicit replayed_agent(const fleet &described)
        : m_fleet(&described)
        , m_model(described.processingMs)
    {}

    double expectedDelayMs(time_point now) const
    {
        return double(m_working.size() + m_queue.countWithinTarget(now) + 1) * m_model.overall(now).meanMs;
    }

    /// Returns whether the request is admitted.
    bool arrive(const flow_key &flow, const request &arrived, const mechanisms &used, time_point now)
    {
        const processing_estimate processing = m_model.overall(now);
        m_offered.record(arrived.priority, processing.meanMs, now);
        if (used.keepsShares)
            m_queue.recordArrival(arrived.priority, m_offered.slotsNeeded(now) > double(m_fleet->slots), now);
        const std::size_t within = m_queue.countWithinTarget(now);
        const admission_estimate estimate = estimateAdmission(
            {.slots = double(m_fleet->slots),
             .competing = double(m_working.size() + within),
             .pastTarget = double(m_queue.size() - within),
             .slotsNeeded = m_offered.slotsNeeded(now),
             .processing = processing},
            {.targetMs = m_fleet->targetMs,
             .timeoutMs = m_fleet->timeoutMs,
             .processing = processing,
             .ownSlots = used.keepsShares ? double(m_fleet->slots) * m_queue.share(arrived.priority) : 0,
             .ownSlotsNeeded = m_offered.slotsNeeded(arrived.priority, now),
             .ownWaiting = double(m_queue.countOfPriority(arrived.priority))});
        // Without the mechanism only a queue beyond the timeout is refused, as before.
        const double waitMs = double(m_queue.size() + 1) * processing.meanMs / double(m_fleet->slots);
        if (used.refusesEarly ? !estimate.isAdmitted : waitMs > m_fleet->timeoutMs)
            return false;
        const auto before = [](time_point at, double ms) { return at - duration(std::int64_t(ms * 1000)); };
        m_queue.add({.flow = flow,
                     .priority = arrived.priority,
                     .arrival = now,
                     .startDeadline = before(arrived.target, kProcessingTimeMargin * processing.meanMs),
                     .deadline = arrived.timeout});
        m_requests[flow] = arrived;
        return true;
    }

    void work(double speed, bool isDown, time_point now, const std::function<void(const request &, time_point)> &begun,
              const std::function<void(const request &, time_point)> &answered,
              const std::function<void(const request &)> &dropped)
    {
        while (!m_working.empty() && m_working.top().finish <= now) {
            const working done = m_working.top();
            m_working.pop();
            m_model.recordOccupied(m_working.size(), now);
            m_model.recordAnswer(0, now - done.begin, now);
            answered(done.content, now);
        }
        const duration processing(std::int64_t(m_model.overall(now).meanMs * 1000));
        for (const flow_key &flow : m_queue.takeExpired(now + processing))
            dropped(take(flow));
        while (!isDown && m_working.size() < m_fleet->slots && m_queue.size() > 0) {
            const double slackMs = m_fleet->targetMs - kProcessingTimeMargin * m_model.overall(now).meanMs;
            const auto maxWithinTarget =
                std::size_t(std::max(0.0, double(m_fleet->slots) * slackMs / m_model.overall(now).meanMs));
            const request next = take(*m_queue.takeNext(maxWithinTarget, now));
            begun(next, now);
            m_working.push({now + duration(std::int64_t(next.work / speed * 1000)), now, next});
            m_model.recordOccupied(m_working.size(), now);
        }
    }

private:
    struct working
    {
        time_point finish;
        time_point begin;
        request content;
        bool operator>(const working &other) const { return finish > other.finish; }
    };

    request take(const flow_key &flow)
    {
        const request taken = m_requests.at(flow);
        m_requests.erase(flow);
        return taken;
    }

    const fleet *m_fleet;
    processing_model m_model;
    request_queue m_queue;
    offered_load m_offered;
    absl::flat_hash_map<flow_key, request> m_requests;
    std::priority_queue<working, std::vector<working>, std::greater<>> m_working;
};

/// Each request is offered to the better of two agents chosen at random, and to a further one if no slot is free.
replay_result replay(const fleet &described, const disturbance &change, const mechanisms &used, std::uint64_t seed)
{
    const duration length = change.until + seconds(4);
    const std::vector<request> arrivals = makeArrivals(described, change, length, seed);
    std::mt19937_64 random(seed + 1);
    std::vector<replayed_agent> agents(described.upstreams, replayed_agent(described));
    replay_result result;
    const auto isDuring = [&](const request &one) { return change.isMeasured(one.arrival); };
    std::size_t next = 0;
    std::size_t unanswered = 0;
    std::uint32_t flowNumber = 0;
    for (time_point now{}; now < time_point{} + length; now += kStep) {
        const bool isDisturbed = now - time_point{} >= change.from && now - time_point{} < change.until;
        for (; next < arrivals.size() && arrivals[next].arrival <= now; ++next) {
            const request &arrived = arrivals[next];
            if (isDuring(arrived))
                ++result.arrivedDuring[arrived.priority];
            replayed_agent *best = &agents[random() % agents.size()];
            for (int i = 0; i < 2; ++i) {
                replayed_agent *const other = &agents[random() % agents.size()];
                if (other->expectedDelayMs(now) < best->expectedDelayMs(now))
                    best = other;
            }
            if (best->arrive({{++flowNumber, 1}, {2, 443}}, arrived, used, now)) {
                ++unanswered;
            } else {
                ++result.refused;
                result.refusedBefore += now - time_point{} < change.from ? 1 : 0;
                result.refusalAgesMs.push_back(0);
            }
        }
        for (std::size_t i = 0; i < agents.size(); ++i) {
            const bool isSlow = isDisturbed && double(i) < change.slowShare * double(agents.size());
            agents[i].work(
                isSlow ? 1 / change.slowdown : 1, change.isDown && isDisturbed, now,
                [&](const request &begun, time_point at) {
                    const double waitMs = double((at - begun.arrival).count()) / 1000;
                    if (begun.arrival - time_point{} >= change.until + seconds(1))
                        result.waitsAfterMs.push_back(waitMs);
                    if (at - time_point{} < change.from)
                        result.waitsBeforeMs.push_back(waitMs);
                },
                [&](const request &answered, time_point at) {
                    --unanswered;
                    const bool isInTime = at <= answered.target;
                    ++(isInTime ? result.inTime : result.late);
                    if (isInTime && isDuring(answered))
                        ++result.inTimeDuring[answered.priority];
                },
                [&](const request &given) {
                    --unanswered;
                    ++result.dropped;
                    result.refusalAgesMs.push_back(double((given.timeout - given.arrival).count()) / 1000);
                });
        }
        result.mostUnanswered = std::max(result.mostUnanswered, unanswered);
    }
    return result;
}

/// Requests in time of those that arrive during the disturbance, if one queue serves all slots. It knows which request
/// cannot meet its target any more, but not how long a single request takes: choosing the short ones is no answer to an
/// overload.
std::size_t centralInTime(const fleet &described, const disturbance &change, bool isNewestFirst, std::uint64_t seed)
{
    const duration length = change.until + seconds(4);
    const std::vector<request> arrivals = makeArrivals(described, change, length, seed);
    const duration processing(std::int64_t(described.processingMs * 1000));
    std::deque<request> waiting;
    std::vector<time_point> freeAt(described.upstreams * described.slots);
    std::size_t inTime = 0;
    std::size_t next = 0;
    for (time_point now{}; now < time_point{} + length; now += kStep) {
        const bool isDisturbed = now - time_point{} >= change.from && now - time_point{} < change.until;
        for (; next < arrivals.size() && arrivals[next].arrival <= now; ++next)
            waiting.push_back(arrivals[next]);
        while (!waiting.empty() && waiting.front().target < now + processing)
            waiting.pop_front();
        for (std::size_t i = 0; i < freeAt.size() && !(change.isDown && isDisturbed); ++i) {
            if (freeAt[i] > now || waiting.empty())
                continue;
            const request begun = isNewestFirst ? waiting.back() : waiting.front();
            if (isNewestFirst)
                waiting.pop_back();
            else
                waiting.pop_front();
            const std::size_t upstream = i / described.slots;
            const bool isSlow = isDisturbed && double(upstream) < change.slowShare * double(described.upstreams);
            freeAt[i] = now + duration(std::int64_t(begun.work * (isSlow ? change.slowdown : 1) * 1000));
            inTime += freeAt[i] <= begun.target && change.isMeasured(begun.arrival) ? 1 : 0;
        }
    }
    return inTime;
}

std::size_t idealInTime(const fleet &described, const disturbance &change, std::uint64_t seed)
{
    return std::max(centralInTime(described, change, false, seed), centralInTime(described, change, true, seed));
}

void print(const char *load, const replay_result &result, std::size_t ideal)
{
    std::printf("%s: arrived %zu, in time %zu of ideal %zu (%.3f), late %zu, refused %zu, admitted and dropped %zu, "
                "refusal age p95 "
                "%.0f ms, wait p99 before %.0f ms, after %.0f ms, most unanswered %zu, in time by priority %.2f %.2f "
                "%.2f\n",
                load, result.arrivedMeasured(), result.inTimeMeasured(), ideal,
                double(result.inTimeMeasured()) / double(ideal), result.late, result.refused, result.dropped,
                result.refusalAgePercentile(0.95), result.waitBeforePercentile(0.99), result.waitAfterPercentile(0.99),
                result.mostUnanswered, result.shareInTime(0), result.shareInTime(1), result.shareInTime(2));
}

constexpr std::array<std::uint64_t, 3> kSeeds{1, 2, 3};

} // namespace

// Guards against a burst in which requests that cannot be answered are admitted and held until their callers give up,
// and against one whose backlog delays the requests after it.
TEST(PacketAdmissionLoad, ABurstOf2Point4TimesTheCapacity)
{
    const disturbance burst{.factor = {3.2, 3.2, 3.2}};
    for (const std::uint64_t seed : kSeeds) {
        const std::size_t ideal = idealInTime({}, burst, seed);
        const replay_result result = replay({}, burst, {}, seed);
        print("burst", result, ideal);
        EXPECT_GE(double(result.inTimeMeasured()), 0.95 * double(ideal));
        EXPECT_LE(result.refusalAgePercentile(0.95), 50);
        EXPECT_LT(double(result.dropped), 0.01 * double(result.arrivedMeasured())) << "admitted, but not answered";
        EXPECT_LT(result.waitAfterPercentile(0.99), 2 * result.waitBeforePercentile(0.99));
        EXPECT_EQ(result.refusedBefore, 0U);
        const replay_result without = replay({}, burst, {.refusesEarly = false}, seed);
        print("burst, without", without, ideal);
        EXPECT_LT(double(without.inTimeMeasured()), 0.95 * double(ideal));
        EXPECT_GT(without.refusalAgePercentile(0.95), 50);
    }
}

// Guards against a flood of one priority that takes the slots of the others, whichever it is.
TEST(PacketAdmissionLoad, AFloodOfOnePriorityLeavesTheOthersTheirShare)
{
    constexpr double kLeastShareInTime = 0.85;
    const std::array<std::array<double, kPriorities>, kPriorities> floods{{{8, 1, 1}, {1, 8, 1}, {1, 1, 14}}};
    for (std::size_t flooded = 0; flooded < kPriorities; ++flooded) {
        const disturbance flood{.factor = floods[flooded]};
        for (const std::uint64_t seed : kSeeds) {
            const std::size_t ideal = idealInTime({}, flood, seed);
            const replay_result result = replay({}, flood, {}, seed);
            const replay_result without = replay({}, flood, {.keepsShares = false}, seed);
            print("flood", result, ideal);
            print("flood, without", without, ideal);
            EXPECT_GE(double(result.inTimeMeasured()), 0.9 * double(ideal));
            EXPECT_LE(result.refusalAgePercentile(0.95), 50);
            EXPECT_LT(double(result.dropped), 0.01 * double(result.arrivedMeasured()));
            for (std::size_t other = 0; other < kPriorities; ++other) {
                if (other == flooded)
                    continue;
                EXPECT_GE(result.shareInTime(other), kLeastShareInTime) << flooded << " floods " << other;
                EXPECT_LT(without.shareInTime(other), kLeastShareInTime);
            }
        }
    }
}

// Guards against requests that are held at upstreams which have turned slow.
TEST(PacketAdmissionLoad, HalfOfTheUpstreamsTurnSlow)
{
    const disturbance slow{.slowShare = 0.5, .slowdown = 5};
    for (const std::uint64_t seed : kSeeds) {
        const std::size_t ideal = idealInTime({}, slow, seed);
        const replay_result result = replay({}, slow, {}, seed);
        const replay_result without = replay({}, slow, {.refusesEarly = false}, seed);
        print("half slow", result, ideal);
        print("half slow, without", without, ideal);
        EXPECT_GE(double(result.inTimeMeasured()), 0.85 * double(ideal));
        EXPECT_LE(result.refusalAgePercentile(0.95), 50);
        EXPECT_LT(double(result.dropped), 0.01 * double(result.arrivedMeasured()));
        EXPECT_GT(without.refusalAgePercentile(0.95), 50);
    }
}

// Guards against a recovery in which all returning callers are admitted at once and most of them time out: openings are
// admitted at the rate of answers once the upstreams have work for about a second.
TEST(PacketAdmissionLoad, AllCallersReturnAfterALossOfPower)
{
    const fleet usual;
    const disturbance outage{.from = seconds(30), .until = seconds(32), .returning = 1500, .isDown = true};
    const double answersPerSecond = 1000 * double(usual.upstreams * usual.slots) / usual.processingMs;
    for (const std::uint64_t seed : kSeeds) {
        const std::size_t ideal = idealInTime(usual, outage, seed);
        const replay_result result = replay(usual, outage, {}, seed);
        const replay_result without = replay(usual, outage, {.refusesEarly = false}, seed);
        print("power", result, ideal);
        print("power, without", without, ideal);
        EXPECT_GE(double(result.inTimeMeasured()), 0.85 * double(ideal));
        EXPECT_LE(result.refusalAgePercentile(0.95), 50);
        EXPECT_LT(double(result.dropped), 0.01 * double(result.arrivedMeasured()));
        EXPECT_LT(double(result.mostUnanswered), answersPerSecond);
        EXPECT_GT(double(without.mostUnanswered), answersPerSecond);
        EXPECT_GT(without.refusalAgePercentile(0.95), 50);
    }
}

// Guards against a lasting lack of capacity in which each request waits until shortly before its caller's timeout.
TEST(PacketAdmissionLoad, TheCapacityIsCutByAThird)
{
    const fleet reduced{.usual = {0.45, 0.45, 0.225}};
    const disturbance always{.from = seconds(1), .until = seconds(15)};
    for (const std::uint64_t seed : kSeeds) {
        const std::size_t ideal = idealInTime(reduced, always, seed);
        const replay_result result = replay(reduced, always, {}, seed);
        const replay_result without = replay(reduced, always, {.refusesEarly = false}, seed);
        print("third cut", result, ideal);
        print("third cut, without", without, ideal);
        EXPECT_GE(double(result.inTimeMeasured()), 0.9 * double(ideal));
        EXPECT_LE(result.refusalAgePercentile(0.95), 50);
        EXPECT_LT(double(result.dropped), 0.01 * double(result.arrivedMeasured()));
        EXPECT_LT(double(without.inTimeMeasured()), 0.9 * double(ideal));
        EXPECT_GT(without.refusalAgePercentile(0.95), 50);
    }
}

// Guards against refusals, and against another order, where nothing is overloaded.
TEST(PacketAdmissionLoad, NothingChangesAtUsualLoad)
{
    for (const std::size_t slots : {2U, 3U, 5U}) {
        const fleet usual{.slots = slots};
        for (const std::uint64_t seed : kSeeds) {
            const replay_result result = replay(usual, {}, {}, seed);
            const replay_result without = replay(usual, {}, {.refusesEarly = false, .keepsShares = false}, seed);
            EXPECT_EQ(result.refused, 0U);
            EXPECT_EQ(result.dropped, 0U);
            EXPECT_EQ(result.inTimeMeasured(), without.inTimeMeasured());
            EXPECT_EQ(result.waitsBeforeMs, without.waitsBeforeMs);
        }
    }
}
