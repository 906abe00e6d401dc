#include "citroncrank/request_queue.h"

#include <chrono>
#include <gtest/gtest.h>
#include <queue>
#include <random>

using namespace citroncrank;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An upstream of a booking service, and its callers.
constexpr std::size_t kSlots = 4;
constexpr double kMeanProcessingMs = 60;
constexpr double kTargetMs = 300;
constexpr double kTimeoutMs = 3000;
constexpr double kAgeOnArrivalMs = 25;        // Three one-way delays between caller and upstream.
constexpr double kProcessingTimeMargin = 1.3; // As in the agent.
constexpr duration kStep = milliseconds(1);

/// Request rate over time, as a fraction of the upstream's capacity.
struct load_pattern
{
    double usual = 0.75;
    double peak = 0.75;
    duration peakFrom{0};
    duration peakUntil{0};
    std::size_t backlog = 0; ///< Requests that arrive together at peakFrom, past their target already.
};

struct load_result
{
    std::size_t arrived = 0;
    std::size_t withinTarget = 0;
    std::size_t pastTarget = 0;
    std::size_t expired = 0;
};

/// Simulates a load on one upstream. The queue decides which request gets a slot that becomes free.
class load_simulation
{
public:
    explicit load_simulation(const load_pattern &pattern)
        : m_pattern(pattern)
    {}

    load_result run(duration length)
    {
        for (time_point now{}; now < time_point{} + length; now += kStep) {
            arrive(now);
            finish(now);
            m_result.expired += m_queue.takeExpired(now + milliseconds(int(kMeanProcessingMs))).size();
            while (m_inProgress.size() < kSlots && startNext(now)) {
            }
        }
        return m_result;
    }

private:
    struct request
    {
        time_point target;
        duration processingTime;
    };

    void arrive(time_point now)
    {
        const duration at = now - time_point{};
        const bool isPeak = at >= m_pattern.peakFrom && at < m_pattern.peakUntil;
        const double perMs = (isPeak ? m_pattern.peak : m_pattern.usual) * kSlots / kMeanProcessingMs;
        std::poisson_distribution<int> count(perMs);
        for (int i = count(m_random); i > 0; --i)
            add(now, kAgeOnArrivalMs);
        if (at == m_pattern.peakFrom) {
            std::uniform_real_distribution<double> age(400, 1600);
            for (std::size_t i = 0; i < m_pattern.backlog; ++i)
                add(now, age(m_random));
        }
    }

    void add(time_point now, double ageMs)
    {
        std::gamma_distribution<double> processingTime(4, kMeanProcessingMs / 4);
        const flow_key flow{{1, ++m_port}, {2, 443}};
        const auto after = [&](double ms) { return now + duration(std::int64_t(ms * 1000)); };
        const request arrived{after(kTargetMs - ageMs), duration(std::int64_t(processingTime(m_random) * 1000))};
        m_requests[flow] = arrived;
        m_queue.add({.flow = flow,
                     .priority = 1,
                     .arrival = now,
                     .startDeadline = after(kTargetMs - ageMs - kProcessingTimeMargin * kMeanProcessingMs),
                     .deadline = after(kTimeoutMs - ageMs)});
        ++m_result.arrived;
    }

    bool startNext(time_point now)
    {
        const auto flow =
            m_queue.takeNext(std::size_t(kSlots * (kTargetMs - kAgeOnArrivalMs) / kMeanProcessingMs), now);
        if (!flow)
            return false;
        const request started = m_requests.at(*flow);
        m_inProgress.push({now + started.processingTime, started.target});
        return true;
    }

    void finish(time_point now)
    {
        while (!m_inProgress.empty() && m_inProgress.top().first <= now) {
            ++(m_inProgress.top().first <= m_inProgress.top().second ? m_result.withinTarget : m_result.pastTarget);
            m_inProgress.pop();
        }
    }

    using completion = std::pair<time_point, time_point>;

    load_pattern m_pattern;
    load_result m_result;
    request_queue m_queue;
    absl::btree_map<flow_key, request> m_requests;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> m_inProgress;
    std::mt19937_64 m_random{1};
    std::uint16_t m_port = 0;
};

// Requests beyond the capacity cannot all meet their target. The queue does not know future arrivals, so twice as many
// may miss it.
double minShareWithinTarget(double excess, double pastTargetOnArrival = 0)
{
    return 1 - pastTargetOnArrival - 2 * excess;
}

double shareWithinTarget(const load_result &result)
{
    return double(result.withinTarget) / double(result.arrived);
}

} // namespace

// Guards against an order in which requests miss their target although there are enough slots for all.
TEST(RequestQueueLoad, AtUsualLoadNearlyAllMeetTheirTarget)
{
    EXPECT_GT(shareWithinTarget(load_simulation({}).run(seconds(20))), 0.98);
}

// Guards against bursts in which requests past their target take the slots of those that could meet it (burst of 1.7
// times the usual load for three seconds, as seen on ofnbokun).
TEST(RequestQueueLoad, InABurstOnlyTheExcessMissesItsTarget)
{
    const load_pattern burst{.peak = 1.22, .peakFrom = seconds(2), .peakUntil = seconds(5)};
    const load_result result = load_simulation(burst).run(seconds(10));
    const double excess = 0.22 * 3 / (7 * burst.usual + 3 * burst.peak);
    EXPECT_GT(shareWithinTarget(result), minShareWithinTarget(excess));
    EXPECT_LT(double(result.expired) / double(result.arrived), excess)
        << "requests past their target get a slot shortly before their deadline";
}

// Guards against a recovery in which the backlog of an outage makes later requests miss their target (fleetbench run
// ofnbokun-grown trouble-1, power loss of 1.6 s at 34 s; the upstreams are slow for two seconds after it).
TEST(RequestQueueLoad, ABacklogDelaysOnlyItsOwnRequests)
{
    const load_pattern outage{.peak = 1.2, .peakFrom = seconds(2), .peakUntil = seconds(4), .backlog = 80};
    const load_result result = load_simulation(outage).run(seconds(10));
    const double perSecond = 1000 * double(kSlots) / kMeanProcessingMs;
    const double all = perSecond * (8 * outage.usual + 2 * outage.peak) + double(outage.backlog);
    EXPECT_GT(shareWithinTarget(result), minShareWithinTarget(perSecond * 0.2 * 2 / all, double(outage.backlog) / all));
}

// Guards against a sustained overload in which most requests miss their target. One round in eight serves a request
// past its target, and some requests that are started just before their start deadline miss theirs.
TEST(RequestQueueLoad, ASustainedOverloadMeetsTargetsUpToTheCapacity)
{
    const load_result result = load_simulation({.usual = 1.25}).run(seconds(20));
    EXPECT_GT(shareWithinTarget(result), 0.9 * (7.0 / 8) / 1.25);
}
