#pragma once

/// @file
/// Replays a load through the balancers' and agents' decisions, without network.

#include "citroncrank/agent_directory.h"
#include "citroncrank/processing_model.h"

#include "packet_fixture_test.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace citroncrank::packet_fixture {

/// Load and upstreams of a replay. Times are in milliseconds.
struct replay_settings
{
    std::size_t balancers = 2;
    std::size_t upstreams = 16;
    std::uint16_t slots = 2;
    std::size_t domains = 1; ///< Balancers and upstreams are spread over them in turn.
    double domainDelayMs = 4.4;
    double localDelayMs = 0.5;
    double workMs = 30;         ///< Mean, exponentially distributed.
    double requestsPerFlow = 1; ///< Mean. The later ones go to the upstream of the first.
    double pauseMs = 300;       ///< Mean time between an answer and the next request of the flow.
    double latencyTargetMs = 250;
    double utilization = 0.7; ///< Of the slots at speed 1.
    double endMs = 20'000;
    double measuredFromMs = 5'000;
    bool areTimesReported = true;
    bool isTargetKnown = true;   ///< Balancers know the latency target.
    std::uint32_t coldForMs = 0; ///< Reported as the warm-up time, beginning at the start of an upstream.
    /// Speed of an upstream at a time. 0: it answers nothing.
    std::function<double(std::size_t upstream, double ms)> speed = [](std::size_t, double) { return 1.0; };
    /// Factor of the arrival rate at the balancers of a domain.
    std::function<double(std::size_t domain, double ms)> surge = [](std::size_t, double) { return 1.0; };
    /// Time at which an upstream is started; 0: it runs from the beginning.
    std::function<double(std::size_t upstream)> startMs = [](std::size_t) { return 0.0; };
    /// Factor of the time that a request begun now takes, beside the speed.
    std::function<double(std::size_t upstream, double msSinceStart)> coldFactor = [](std::size_t, double) {
        return 1.0;
    };
    std::uint64_t seed = 1;
};

struct replay_result
{
    std::vector<double> workMs;    ///< Work of the requests placed at each upstream in the measured time.
    std::vector<double> bySecond;  ///< Requests placed at upstream 0 in each second.
    std::vector<std::size_t> most; ///< Most requests that were at each upstream at a time.
    double answered = 0;
    double late = 0;
    double lateWhileIdle = 0; ///< Late, and a slot of another upstream was free for as long as it waited.
    double crossedDomains = 0;
    double meanMs = 0;
    double p99Ms = 0;

    /// Mean work of the upstreams for which `isOfGroup` holds.
    double meanWork(const std::function<bool(std::size_t)> &isOfGroup) const
    {
        double sum = 0;
        double count = 0;
        for (std::size_t i = 0; i < workMs.size(); ++i) {
            sum += isOfGroup(i) ? workMs[i] : 0;
            count += isOfGroup(i) ? 1 : 0;
        }
        return sum / count;
    }
};

/// One run of a replay.
class placement_replay
{
public:
    explicit placement_replay(replay_settings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_flowRandom(m_settings.seed)
        , m_upstreams(m_settings.upstreams)
    {
        m_result.workMs.resize(m_settings.upstreams);
        m_result.most.resize(m_settings.upstreams);
        m_result.bySecond.resize(std::size_t(m_settings.endMs / 1000) + 1);
        for (std::size_t i = 0; i < m_settings.balancers; ++i) {
            m_balancers.push_back(std::make_unique<balancer>());
            m_balancers.back()->random.seed(m_settings.seed * 1000 + i);
        }
    }

    /// Balancers and agents decide.
    replay_result run()
    {
        for (std::size_t i = 0; i < m_settings.upstreams; ++i) {
            const double start = std::max(m_settings.startMs(i), 200.0 * double(i) / double(m_settings.upstreams));
            at(start, [this, i] { report(i); });
        }
        at(250, [this] { arrive(); });
        work();
        return finish();
    }

    /// A central queue that knows which slots are free, and uses the fastest ones first.
    replay_result runIdeal()
    {
        m_isCentral = true;
        at(250, [this] { arrive(); });
        work();
        return finish();
    }

private:
    struct request
    {
        double arrivedMs = 0;
        double work = 0;
        double idleBefore = 0; ///< Idle time of slots at arrival, to detect slots that idled while it waited.
        std::size_t origin = 0;
        std::vector<host_address> alternates;
        std::vector<agent_load_sample> visited;
        bool isSettled = false;
    };
    struct upstream
    {
        processing_model processing{50};
        std::deque<request> waiting;
        std::size_t inProgress = 0;
        double meanBusy = 0;
        double meanUpdatedMs = 0;
        std::uint64_t reports = 0;
    };
    struct balancer
    {
        agent_directory agents;
        std::mt19937_64 random;
    };
    struct event
    {
        double ms = 0;
        std::uint64_t number = 0;
        std::function<void()> act;
        bool operator>(const event &other) const { return std::tie(ms, number) > std::tie(other.ms, other.number); }
    };

    void at(double ms, std::function<void()> act) { m_events.push({ms, m_number++, std::move(act)}); }
    time_point now() const { return time_point{} + duration(std::int64_t(m_nowMs * 1000)); }
    static host_address address(std::size_t upstream) { return {std::uint32_t(0x0A020000 + upstream), 7480}; }
    static std::size_t index(const host_address &agent) { return agent.ip - 0x0A020000; }
    std::string domain(std::size_t member) const { return "d" + std::to_string(member % m_settings.domains); }
    double delay(std::size_t balancer, std::size_t upstream) const
    {
        return balancer % m_settings.domains == upstream % m_settings.domains ? m_settings.localDelayMs
                                                                              : m_settings.domainDelayMs;
    }
    static double draw(double mean, std::mt19937_64 *random)
    {
        return std::exponential_distribution<double>(1 / mean)(*random);
    }
    bool isMeasured(double ms) const { return ms >= m_settings.measuredFromMs; }
    std::size_t competing(const upstream &one) const { return one.inProgress + one.waiting.size(); }

    void work()
    {
        while (!m_events.empty() && m_events.top().ms < m_settings.endMs) {
            const event next = m_events.top();
            m_events.pop();
            advanceIdle(next.ms);
            m_nowMs = next.ms;
            next.act();
        }
    }

    // Counts the time for which at least one running upstream had a free slot and nothing waiting.
    void advanceIdle(double ms)
    {
        const bool isAnyIdle = std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const upstream &one) {
            const std::size_t i = std::size_t(&one - m_upstreams.data());
            return one.inProgress < m_settings.slots && m_nowMs >= m_settings.startMs(i)
                   && m_settings.speed(i, m_nowMs) >= 0.5;
        });
        m_idleMs += isAnyIdle ? ms - m_nowMs : 0;
    }

    void arrive()
    {
        const std::size_t origin = m_random() % m_settings.balancers;
        const double surge = m_settings.surge(origin % m_settings.domains, m_nowMs);
        constexpr double kMostSurge = 4;
        const double slots = double(m_settings.upstreams) * m_settings.slots;
        const double rate = slots * m_settings.utilization / m_settings.workMs / m_settings.requestsPerFlow;
        if (std::uniform_real_distribution<double>(0, kMostSurge)(m_random) < surge)
            place(origin, draw(m_settings.workMs, &m_random));
        at(m_nowMs + draw(1 / (rate * kMostSurge), &m_random), [this] { arrive(); });
    }

    void place(std::size_t origin, double work)
    {
        request arrived{.arrivedMs = m_nowMs, .work = work, .idleBefore = m_idleMs, .origin = origin};
        if (m_isCentral) {
            m_central.push_back(std::move(arrived));
            startCentral();
            return;
        }
        balancer &self = *m_balancers[origin];
        const flow_key flow{{std::uint32_t(m_number), std::uint16_t(m_number >> 32U)}, kServiceAddress};
        const std::string own = domain(origin);
        const duration target{std::int64_t(m_settings.isTargetKnown ? m_settings.latencyTargetMs * 1000 : 0)};
        std::vector<host_address> order =
            self.agents.candidates({kService, own, flow, target}, {}, 3, now(), &self.random);
        if (order.empty())
            return;
        self.agents.recordFlowSent(order.front());
        const std::size_t chosen = index(order.front());
        order.erase(order.begin());
        arrived.alternates = std::move(order);
        at(m_nowMs + delay(origin, chosen), [this, chosen, arrived] { offer(chosen, arrived); });
    }

    agent_load_sample sample(std::size_t i) const
    {
        const upstream &one = m_upstreams[i];
        return {.agent = address(i),
                .busy = std::uint16_t(competing(one)),
                .slots = m_settings.slots,
                .processingMilliseconds = std::uint16_t(std::max(1.0, one.processing.overall(now()).meanMs))};
    }

    // As packet_agent::handleOpening().
    void offer(std::size_t i, request offered)
    {
        upstream &one = m_upstreams[i];
        const auto cost = [](const agent_load_sample &load) {
            return (load.busy + 1.0) * load.processingMilliseconds / load.slots;
        };
        if (competing(one) >= m_settings.slots) {
            const bool isLast = offered.alternates.empty() && !offered.isSettled;
            const agent_load_sample own = sample(i);
            for (const agent_load_sample &load : offered.visited) {
                if (isLast && cost(load) < cost(own)
                    && (offered.alternates.empty() || cost(load) < cost(sample(index(offered.alternates.front())))))
                    offered.alternates = {load.agent};
            }
            offered.isSettled = offered.isSettled || isLast;
            if (!offered.alternates.empty()) {
                offered.visited.push_back(own);
                const std::size_t next = index(offered.alternates.front());
                offered.alternates.erase(offered.alternates.begin());
                at(m_nowMs + delay(i, next), [this, next, offered] { offer(next, offered); });
                return;
            }
        }
        accept(i, std::move(offered));
    }

    void accept(std::size_t i, request accepted)
    {
        upstream &one = m_upstreams[i];
        updateMean(&one);
        if (isMeasured(m_nowMs))
            m_result.workMs[i] += accepted.work;
        if (i == 0)
            ++m_result.bySecond[std::size_t(m_nowMs / 1000)];
        if (isMeasured(m_nowMs) && i % m_settings.domains != accepted.origin % m_settings.domains)
            ++m_result.crossedDomains;
        auto samples = accepted.visited;
        const std::size_t origin = accepted.origin;
        one.waiting.push_back(std::move(accepted));
        m_result.most[i] = std::max(m_result.most[i], competing(one));
        samples.push_back(sample(i));
        at(m_nowMs + delay(origin, i), [this, origin, samples] {
            for (const agent_load_sample &load : samples)
                m_balancers[origin]->agents.applyLoad(load, now());
        });
        startWaiting(i);
    }

    void startWaiting(std::size_t i)
    {
        upstream &one = m_upstreams[i];
        while (!one.waiting.empty() && one.inProgress < m_settings.slots) {
            const request next = std::move(one.waiting.front());
            one.waiting.pop_front();
            start(i, next);
        }
    }

    void startCentral()
    {
        while (!m_central.empty()) {
            std::size_t best = m_settings.upstreams;
            for (std::size_t i = 0; i < m_settings.upstreams; ++i) {
                const bool isFree = m_upstreams[i].inProgress < m_settings.slots && m_nowMs >= m_settings.startMs(i);
                if (isFree && m_settings.speed(i, m_nowMs) > 0
                    && (best == m_settings.upstreams || m_settings.speed(i, m_nowMs) > m_settings.speed(best, m_nowMs)))
                    best = i;
            }
            if (best == m_settings.upstreams)
                return;
            const request next = m_central.front();
            m_central.pop_front();
            if (isMeasured(m_nowMs))
                m_result.workMs[best] += next.work;
            start(best, next);
        }
    }

    void start(std::size_t i, const request &next)
    {
        upstream &one = m_upstreams[i];
        updateMean(&one);
        ++one.inProgress;
        one.processing.recordOccupied(one.inProgress, now());
        const double startedMs = m_nowMs;
        progress(i, next, startedMs, next.work * m_settings.coldFactor(i, m_nowMs - m_settings.startMs(i)));
    }

    // The speed may change while a request is in progress.
    void progress(std::size_t i, const request &next, double startedMs, double leftMs)
    {
        constexpr double kStepMs = 10;
        const double speed = m_settings.speed(i, m_nowMs);
        if (speed * kStepMs >= leftMs) {
            at(m_nowMs + leftMs / speed, [this, i, next, startedMs] { end(i, next, startedMs); });
            return;
        }
        const double left = leftMs - speed * kStepMs;
        at(m_nowMs + kStepMs, [this, i, next, startedMs, left] { progress(i, next, startedMs, left); });
    }

    void end(std::size_t i, const request &ended, double startedMs)
    {
        upstream &one = m_upstreams[i];
        updateMean(&one);
        one.processing.recordAnswer(1, duration(std::int64_t((m_nowMs - startedMs) * 1000)), now());
        --one.inProgress;
        one.processing.recordOccupied(one.inProgress, now());
        const double latency = m_nowMs - ended.arrivedMs + (m_isCentral ? 0 : delay(ended.origin, i));
        if (isMeasured(ended.arrivedMs)) {
            m_latencies.push_back(latency);
            const bool isLate = latency > m_settings.latencyTargetMs;
            m_result.late += isLate ? 1 : 0;
            const double waited = startedMs - ended.arrivedMs;
            const double serviceMs = m_nowMs - startedMs;
            const bool couldBeInTime = serviceMs < m_settings.latencyTargetMs;
            m_result.lateWhileIdle +=
                isLate && couldBeInTime && waited > 0 && m_idleMs - ended.idleBefore > 0.9 * (m_nowMs - ended.arrivedMs)
                    ? 1
                    : 0;
        }
        if (m_isCentral)
            startCentral();
        else
            startWaiting(i);
        if (std::uniform_real_distribution<double>(0, 1)(m_flowRandom) < 1 - 1 / m_settings.requestsPerFlow)
            at(m_nowMs + draw(m_settings.pauseMs, &m_flowRandom), [this, i, ended] { continueFlow(i, ended.origin); });
    }

    void continueFlow(std::size_t i, std::size_t origin)
    {
        request next{.arrivedMs = m_nowMs,
                     .work = draw(m_settings.workMs, &m_flowRandom),
                     .idleBefore = m_idleMs,
                     .origin = origin};
        if (!m_isCentral) {
            accept(i, std::move(next));
            return;
        }
        m_central.push_back(std::move(next));
        startCentral();
    }

    void updateMean(upstream *one) const
    {
        const double retained = std::exp(-(m_nowMs - one->meanUpdatedMs) / 1000);
        one->meanBusy = one->meanBusy * retained + double(competing(*one)) * (1 - retained);
        one->meanUpdatedMs = m_nowMs;
    }

    void report(std::size_t i)
    {
        upstream &one = m_upstreams[i];
        updateMean(&one);
        const processing_estimate estimate = one.processing.overall(now());
        const double periodMs = std::max(200.0, double(m_settings.balancers) * 25);
        agent_report current{.service = kService,
                             .domain = domain(i),
                             .incarnation = 1,
                             .number = ++one.reports,
                             .state = agent_state::ready,
                             .slots = m_settings.slots,
                             .busy = std::uint16_t(competing(one)),
                             .meanBusyMilli = std::uint32_t(one.meanBusy * 1000),
                             .periodMilliseconds = std::uint32_t(periodMs),
                             .processingMilliseconds = std::uint32_t(std::lround(std::max(1.0, estimate.meanMs)))};
        const double coldMs = m_settings.startMs(i) > 0 ? m_settings.startMs(i) + m_settings.coldForMs - m_nowMs : 0;
        current.coldMilliseconds = std::uint32_t(std::max(0.0, coldMs));
        if (m_settings.areTimesReported) {
            current.processingMicroseconds = std::uint32_t(estimate.meanMs * 1000);
            current.answers = std::uint32_t(estimate.answers);
        }
        for (std::size_t b = 0; b < m_settings.balancers; ++b)
            at(m_nowMs + delay(b, i),
               [this, b, i, current] { m_balancers[b]->agents.applyReport(address(i), current, now()); });
        at(m_nowMs + periodMs, [this, i] { report(i); });
    }

    replay_result finish()
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        m_result.answered = double(m_latencies.size());
        for (const double latency : m_latencies)
            m_result.meanMs += latency / m_result.answered;
        m_result.p99Ms = m_latencies.empty() ? 0 : m_latencies[m_latencies.size() * 99 / 100];
        return m_result;
    }

    replay_settings m_settings;
    std::mt19937_64 m_random; ///< For arrivals, which are the same whatever is decided.
    std::mt19937_64 m_flowRandom;
    std::vector<upstream> m_upstreams;
    std::vector<std::unique_ptr<balancer>> m_balancers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::deque<request> m_central;
    std::vector<double> m_latencies;
    replay_result m_result;
    double m_nowMs = 0;
    double m_idleMs = 0;
    std::uint64_t m_number = 0;
    bool m_isCentral = false;
};

} // namespace citroncrank::packet_fixture
