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
    duration from = seconds(3);
    duration until = seconds(8);
    std::array<double, kPriorities> factor{1, 1, 1}; ///< Of the usual load.
    double slowShare = 0;                            ///< Share of the upstreams that become slower.
    double slowdown = 1;
    std::size_t returning = 0; ///< Callers that open flows at the same time, at `from`.
    bool isDown = false;       ///< No request is answered and none admitted.
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
    std::size_t arrived = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t dropped = 0; ///< Admitted, and held until the caller gave up.
    std::array<std::size_t, kPriorities> arrivedDuring{};
    std::array<std::size_t, kPriorities> inTimeDuring{}; ///< Of those that arrived during the disturbance.
    std::vector<double> waitsAfterMs; ///< Of requests that arrived over a second after the disturbance.
    std::vector<double> refusalAgesMs;
    std::vector<std::size_t> admittedPerSecond;
    std::vector<std::size_t> answeredPerSecond;
    std::size_t inTime = 0;
    std::size_t refusedBefore = 0; ///< Before the disturbance.

    std::size_t inTimeDuringAll() const { return inTimeDuring[0] + inTimeDuring[1] + inTimeDuring[2]; }
    double refusalAgePercentile(double share) const { return percentile(refusalAgesMs, share); }
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
        for (std::uint32_t priority = 0; priority < kPriorities; ++priority) {
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

    double competing(time_point now) const { return double(m_working.size() + m_queue.countWithinTarget(now)); }

    /// Returns whether the request is admitted.
    bool arrive(const flow_key &flow, const request &arrived, const mechanisms &used, time_point now)
    {
        if (used.keepsShares)
            m_queue.recordArrival(arrived.priority, now);
        const processing_estimate processing = m_model.overall(now);
        m_offered.record(processing.meanMs, now);
        const std::size_t within = m_queue.countWithinTarget(now);
        const admission_estimate estimate =
            estimateAdmission({.slots = double(m_fleet->slots),
                               .competing = double(m_working.size() + within),
                               .pastTarget = double(m_queue.size() - within),
                               .slotsNeeded = m_offered.slotsNeeded(now),
                               .processing = processing},
                              {.targetMs = m_fleet->targetMs, .timeoutMs = m_fleet->timeoutMs, .processing = processing});
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
    result.admittedPerSecond.resize(std::size_t(length / seconds(1)) + 1);
    result.answeredPerSecond = result.admittedPerSecond;
    const auto isDuring = [&](const request &one) {
        return one.arrival - time_point{} >= change.from && one.arrival - time_point{} < change.until;
    };
    std::size_t next = 0;
    std::uint32_t flowNumber = 0;
    for (time_point now{}; now < time_point{} + length; now += kStep) {
        const auto second = std::size_t((now - time_point{}) / seconds(1));
        const bool isDisturbed = now - time_point{} >= change.from && now - time_point{} < change.until;
        for (; next < arrivals.size() && arrivals[next].arrival <= now; ++next) {
            const request &arrived = arrivals[next];
            ++result.arrived;
            if (isDuring(arrived))
                ++result.arrivedDuring[arrived.priority];
            replayed_agent *best = &agents[random() % agents.size()];
            for (int i = 0; i < 2; ++i) {
                replayed_agent *const other = &agents[random() % agents.size()];
                if (other->competing(now) < best->competing(now))
                    best = other;
            }
            const bool isAdmitted = !(change.isDown && isDisturbed)
                                    && best->arrive({{++flowNumber, 1}, {2, 443}}, arrived, used, now);
            if (isAdmitted) {
                ++result.admittedPerSecond[second];
            } else if (!(change.isDown && isDisturbed)) {
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
                    if (begun.arrival - time_point{} >= change.until + seconds(1))
                        result.waitsAfterMs.push_back(double((at - begun.arrival).count()) / 1000);
                },
                [&](const request &answered, time_point at) {
                    ++result.answeredPerSecond[second];
                    const bool isInTime = at <= answered.target;
                    ++(isInTime ? result.inTime : result.late);
                    if (isInTime && isDuring(answered))
                        ++result.inTimeDuring[answered.priority];
                },
                [&](const request &given) {
                    ++result.dropped;
                    result.refusalAgesMs.push_back(double((given.timeout - given.arrival).count()) / 1000);
                });
        }
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
            const bool isSlow =
                isDisturbed && double(i / described.slots) < change.slowShare * double(described.upstreams);
            freeAt[i] = now + duration(std::int64_t(begun.work * (isSlow ? change.slowdown : 1) * 1000));
            const duration at = begun.arrival - time_point{};
            inTime += freeAt[i] <= begun.target && at >= change.from && at < change.until ? 1 : 0;
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
    std::printf("%s: in time %zu of ideal %zu (%.3f), late %zu, refused %zu, dropped %zu, refusal age p95 %.0f ms, most "
                "%.0f ms, wait p99 after %.0f ms, by priority %.2f %.2f %.2f\n",
                load, result.inTimeDuringAll(), ideal, double(result.inTimeDuringAll()) / double(ideal), result.late,
                result.refused, result.dropped, result.refusalAgePercentile(0.95), result.refusalAgePercentile(1),
                result.waitAfterPercentile(0.99), double(result.inTimeDuring[0]) / double(result.arrivedDuring[0]),
                double(result.inTimeDuring[1]) / double(result.arrivedDuring[1]),
                double(result.inTimeDuring[2]) / double(result.arrivedDuring[2]));
}

constexpr std::uint64_t kSeed = 1;

} // namespace

TEST(PacketAdmissionLoad, Explore)
{
    const auto both = [](const char *name, const fleet &f, const disturbance &d) {
        const std::size_t ideal = idealInTime(f, d, kSeed);
        std::printf("== %s\n", name);
        print("with", replay(f, d, {}, kSeed), ideal);
        print("no early refusal", replay(f, d, {.refusesEarly = false}, kSeed), ideal);
        print("no shares", replay(f, d, {.keepsShares = false}, kSeed), ideal);
    };
    both("burst 2.4", {}, {.factor = {3.2, 3.2, 3.2}});
    both("flood 0", {}, {.factor = {8, 1, 1}});
    both("flood 1", {}, {.factor = {1, 8, 1}});
    both("flood 2", {}, {.factor = {1, 1, 14}});
    both("half slow", {}, {.slowShare = 0.5, .slowdown = 5});
    both("power", {}, {.from = seconds(3), .until = seconds(5), .returning = 1500, .isDown = true});
    both("third cut", {.usual = {0.45, 0.45, 0.225}}, {.from = seconds(1), .until = seconds(15)});
    both("calm", {}, {});
    both("calm 2 slots", {.upstreams = 12, .slots = 2, .usual = {0.35, 0.35, 0.17}}, {});
}
