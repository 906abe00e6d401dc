#include "scenario.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <deque>
#include <numeric>

namespace citroncrank::bench {

namespace {

using std::chrono::seconds;

constexpr duration kSettleTime = seconds(5);
// Load continues after the last measured phase, so that the last measured flows compete for slots as the others do.
constexpr duration kTrailingLoadTime = seconds(3);
// Longer than every deadline at service factor 1, so that measured flows end before the run does.
constexpr duration kCompletionTime = seconds(12);
constexpr double kFloodFactor = 10;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.rfind(prefix, 0) == 0;
}

/// One run: generates the flows of each class and collects the measurements.
class scenario_run
{
public:
    explicit scenario_run(const run_request &request)
        : m_request(request)
        , m_isFlood(startsWith(request.scenario, "flood"))
        , m_service(serviceFor(request))
        , m_model(planFor(request), m_service, settingsFor(request), request.seed)
        , m_arrivalRandom(request.seed + 1'000'000)
        , m_classes(m_isFlood ? m_service.mixed : m_service.steady)
    {}

    measured_row run()
    {
        const auto measuredFrom = time_point(kSettleTime);
        m_model.phaseStarts = {measuredFrom};
        for (int phase = 0; phase < (m_isFlood ? 2 : 1); ++phase)
            m_model.phaseStarts.push_back(m_model.phaseStarts.back() + m_request.phaseLength);
        m_model.phases.resize(m_model.phaseStarts.size() + 1);
        m_arrivalsEnd = m_model.phaseStarts.back() + kTrailingLoadTime;

        m_flowPolicy = makePolicy();
        prepareChanges();
        for (std::size_t index = 0; index < m_classes.size(); ++index)
            scheduleArrival(index);
        m_model.startSampling([this] { return m_flowPolicy->heldSlots(); });
        m_model.events.runUntil(m_arrivalsEnd + kCompletionTime);
        return row();
    }

private:
    // With 730 balancers, the target size, each forwards too few frames of one service to have fresh load hints.
    static deployment planFor(const run_request &request)
    {
        auto plan = request.plan;
        if (request.scenario == "steady_730_balancers")
            plan.balancers = 730;
        return plan;
    }

    // Policies named "..._near" use balancers of the edge's failure domain only.
    static policy_settings settingsFor(const run_request &request)
    {
        auto settings = request.policy;
        settings.nearBalancers = request.policyName.find("_near") != std::string::npos;
        return settings;
    }

    // Mean service times and deadlines of the model are scaled together.
    static service_plan serviceFor(const run_request &request)
    {
        auto service = request.scenario == "flood_bulk_service" ? request.plan.bulkService : request.plan.mainService;
        for (auto *classes : {&service.steady, &service.mixed}) {
            for (auto &work : *classes) {
                work.meanService *= request.serviceFactor;
                work.deadline *= request.serviceFactor;
            }
        }
        return service;
    }

    std::unique_ptr<flow_policy> makePolicy()
    {
        const auto &name = m_request.policyName;
        if (startsWith(name, "central"))
            return makeCentralQueue(&m_model, startsWith(name, "central_with_offers"));
        if (name == "random")
            return makeDirectChoice(&m_model, direct_rule::random);
        if (name == "round_robin")
            return makeDirectChoice(&m_model, direct_rule::round_robin);
        if (name == "hashing")
            return makeDirectChoice(&m_model, direct_rule::hashing);
        return makeLateBinding(&m_model);
    }

    double factor(std::size_t classIndex) const
    {
        if (!m_isFlood || m_model.events.now() < m_model.phaseStarts[1])
            return 1;
        const auto flooded = m_request.scenario == "flood_urgent" ? flow_class::urgent : flow_class::bulk;
        return m_classes[classIndex].flowClass == flooded ? kFloodFactor : 1;
    }

    void scheduleArrival(std::size_t classIndex)
    {
        const auto &work = m_classes[classIndex];
        const double slots = double(m_service.upstreams * m_service.slots);
        const double gap = double(work.meanService.count()) / (slots * work.load * factor(classIndex));
        const auto next = m_arrivalRandom.exponential(duration(std::int64_t(gap * 1000))).count();
        // Intervals are drawn in nanoseconds and the remainder is carried over, since they can be shorter than 1 us.
        m_carriedNanoseconds += next;
        const auto wait = duration(m_carriedNanoseconds / 1000);
        m_carriedNanoseconds %= 1000;
        if (m_model.events.now() + wait >= m_arrivalsEnd)
            return;
        m_model.events.after(wait, [this, classIndex] {
            offer(classIndex);
            scheduleArrival(classIndex);
        });
    }

    void offer(std::size_t classIndex)
    {
        const auto &work = m_classes[classIndex];
        auto &random = m_arrivalRandom;
        const auto domain = random.below(m_request.plan.domains.size());
        m_flows.push_back({.id = makeFlowId(random.next(), domain, m_flows.size() + 1),
                           .classIndex = classIndex,
                           .flowClass = work.flowClass,
                           .edgeDomain = domain,
                           .arrival = m_model.events.now(),
                           .deadline = m_model.events.now() + work.deadline,
                           .work = random.exponential(work.meanService)});
        m_model.recordArrival(m_flows.back());
        m_flowPolicy->arrive(&m_flows.back());
    }

    void prepareChanges()
    {
        if (m_request.scenario == "misleading_frozen")
            m_model.upstreams.front().fault = report_fault::frozen_idle;
        if (m_request.scenario == "misleading_inverted") {
            for (std::size_t index = 0; index < m_model.upstreams.size(); index += 3)
                m_model.upstreams[index].fault = report_fault::inverted;
        }
        if (m_request.scenario != "cold_start")
            return;
        // One upstream in seven drains, restarts and is cold when it becomes ready again.
        for (std::size_t index = 0; index < m_model.upstreams.size(); index += 7) {
            changeAt(index, kSettleTime, serving_state::draining);
            changeAt(index, kSettleTime + seconds(4), serving_state::starting);
            changeAt(index, kSettleTime + seconds(5), serving_state::ready);
        }
    }

    void changeAt(std::size_t upstream, duration when, serving_state serving)
    {
        m_model.events.at(time_point(when), [this, upstream, serving] {
            if (serving == serving_state::ready)
                m_model.upstreams[upstream].coldSince = m_model.events.now();
            m_model.announce(upstream, serving);
            m_flowPolicy->servingChanged(upstream, serving);
        });
    }

    static double quantileMs(std::vector<std::int64_t> values, double quantile)
    {
        if (values.empty())
            return 0;
        const auto index = std::min(values.size() - 1, std::size_t(double(values.size()) * quantile));
        std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(index), values.end());
        return double(values[index]) / 1000;
    }

    static double mean(const std::vector<double> &values)
    {
        return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / double(values.size());
    }

    measured_row row() const
    {
        measured_row result{m_request.plan.name,  m_request.scenario, m_request.size,
                            m_request.policyName, m_request.seed,     {}};
        const auto &before = m_model.phases[1];
        if (!m_isFlood) {
            addWaits(before, &result.values);
            result.values["in_time"] = withinDeadlineShare(before, m_classes.front().flowClass);
            return result;
        }
        const auto &during = m_model.phases[2];
        for (const auto &work : m_classes) {
            const std::string name = toString(work.flowClass);
            const auto index = std::size_t(work.flowClass);
            result.values[name + "_before"] = withinDeadlineShare(before, work.flowClass);
            result.values[name + "_during"] = withinDeadlineShare(during, work.flowClass);
            // The number of offered flows varies randomly between phases, so classes without a flood compare shares.
            const bool flooded = during.classes[index].offered > 4 * before.classes[index].offered;
            result.values[name + "_kept"] =
                flooded ? double(during.classes[index].withinDeadline)
                              / std::max<double>(1, double(before.classes[index].withinDeadline))
                        : withinDeadlineShare(during, work.flowClass)
                              / std::max(1e-9, withinDeadlineShare(before, work.flowClass));
        }
        return result;
    }

    static void addWaits(const phase_result &phase, std::map<std::string, double> *values)
    {
        (*values)["queue_p50"] = quantileMs(phase.queueWaits, 0.5);
        (*values)["queue_p99"] = quantileMs(phase.queueWaits, 0.99);
        (*values)["start_p50"] = quantileMs(phase.startDelays, 0.5);
        (*values)["start_p99"] = quantileMs(phase.startDelays, 0.99);
        (*values)["imbalance"] = mean(phase.imbalances);
        (*values)["busy"] = mean(phase.busyShares);
        (*values)["held"] = mean(phase.heldShares);
    }

    static double withinDeadlineShare(const phase_result &phase, flow_class flowClass)
    {
        const auto &counts = phase.classes[std::size_t(flowClass)];
        return double(counts.withinDeadline) / std::max<double>(1, double(counts.offered));
    }

    run_request m_request;
    bool m_isFlood;
    service_plan m_service;
    queueing_model m_model;
    random_source m_arrivalRandom; ///< Separate from the model's, so that every policy gets the same flows.
    std::vector<request_class> m_classes;
    std::unique_ptr<flow_policy> m_flowPolicy;
    std::deque<request_flow> m_flows;
    time_point m_arrivalsEnd;
    std::int64_t m_carriedNanoseconds = 0;
};

} // namespace

const std::vector<std::string> &scenarioNames()
{
    static const std::vector<std::string> kNames{
        "steady",     "steady_730_balancers", "cold_start",         "misleading_frozen", "misleading_inverted",
        "flood_bulk", "flood_urgent",         "flood_bulk_service", "session_changes"};
    return kNames;
}

std::vector<std::string> policyNames(const std::string &scenario)
{
    if (scenario == "session_changes")
        return {"late_binding", "hashing", "hashing_and_flow_table"};
    std::vector<std::string> names{"late_binding", "central",     "central_with_offers",
                                   "random",       "round_robin", "hashing"};
    if (startsWith(scenario, "steady"))
        names.insert(names.end(), {"late_binding_near", "central_near", "central_with_offers_near"});
    return names;
}

measured_row runScenario(const run_request &request)
{
    if (request.scenario == "session_changes")
        return runSessionChanges(request);
    return scenario_run(request).run();
}

} // namespace citroncrank::bench
