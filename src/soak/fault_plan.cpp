#include "fault_plan.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>
#include <random>

namespace citroncrank::soak {

namespace {

using std::chrono::milliseconds;

constexpr duration kFirstFault = milliseconds(1500);
constexpr int kMaxGapMs = 1800;
constexpr int kMaxSeriesGapMs = 150;
constexpr double kSeriesProbability = 0.25; ///< Share of faults that follow the previous one within kMaxSeriesGapMs.
constexpr int kMaxDowntimeMs = 1500;
constexpr int kMaxPauseMs = 3000;
constexpr int kMaxStoreFaultMs = 5000;
constexpr int kMaxLossMs = 2500;
constexpr int kMaxCopyAgeMs = 9000;
constexpr int kMaxEvacuationMs = 6000; ///< After the time within which it must be in force.

/// Draws random faults and the gaps between them.
class fault_source
{
public:
    fault_source(const fault_plan_settings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {}

    fault next()
    {
        constexpr std::uint32_t kRestartUntil = 40;
        constexpr std::uint32_t kPauseUntil = 52;
        constexpr std::uint32_t kReloadUntil = 58;
        constexpr std::uint32_t kReplaceUntil = 72;
        constexpr std::uint32_t kStoreUntil = 86;
        constexpr std::uint32_t kRouteUntil = 94;
        const std::uint32_t drawn = number(100);
        if (drawn < kRestartUntil)
            return restart_node{node(), number(3) == 0, time(kMaxDowntimeMs)};
        if (drawn < kPauseUntil)
            return pause_node{node(), time(kMaxPauseMs)};
        if (drawn < kReloadUntil)
            return reload_node{node()};
        if (drawn < kReplaceUntil)
            return replace_upstream{number(m_settings.agents), number(3) == 0};
        if (drawn < kStoreUntil)
            return disturb_store{proxy_mode(1 + number(kProxyModeCount - 1)), time(kMaxStoreFaultMs)};
        if (drawn < kRouteUntil)
            return change_route{number(m_settings.services)};
        return lose_packets{0.01 * (1 + number(10)), time(kMaxLossMs)};
    }

    duration gap()
    {
        const bool isSeries = std::uniform_real_distribution<double>(0, 1)(m_random) < kSeriesProbability;
        return time(isSeries ? kMaxSeriesGapMs : kMaxGapMs);
    }

private:
    std::uint32_t number(std::size_t below)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, std::uint32_t(below - 1))(m_random);
    }
    duration time(int maxMs) { return milliseconds(1 + int(number(std::size_t(maxMs)))); }
    node_name node()
    {
        const std::size_t index = number(m_settings.balancers + m_settings.agents);
        if (index < m_settings.balancers)
            return {node_kind::balancer, index};
        return {node_kind::agent, index - m_settings.balancers};
    }

    fault_plan_settings m_settings;
    std::mt19937_64 m_random;
};

// Drawn apart from the other faults, so that a seed has the same plan with and without restores.
void addRestores(const fault_plan_settings &settings, std::uint64_t seed, std::vector<planned_fault> *plan)
{
    constexpr std::uint64_t kSalt = 0x72657374;
    std::mt19937_64 random(seed ^ kSalt);
    const auto below = [&](int limitMs) {
        return milliseconds(std::uniform_int_distribution<int>(1, std::max(limitMs - 1, 1))(random));
    };
    const int lastMs = int(wholeMilliseconds(settings.length - kFirstFault));
    for (std::size_t i = 0; i < settings.storeRestores; ++i)
        plan->push_back({kFirstFault + below(lastMs), restore_store{below(kMaxCopyAgeMs)}});
}

// Drawn apart from the other faults, so that a seed has the same plan with and without evacuations.
void addEvacuations(const fault_plan_settings &settings, std::uint64_t seed, std::vector<planned_fault> *plan)
{
    constexpr std::uint64_t kSalt = 0x65766163;
    std::mt19937_64 random(seed ^ kSalt);
    const auto below = [&](int limit) { return std::uniform_int_distribution<int>(0, std::max(limit - 1, 0))(random); };
    const int lastMs = int(wholeMilliseconds(settings.length - kFirstFault));
    for (std::size_t i = 0; i < settings.evacuations; ++i) {
        const duration at = kFirstFault + milliseconds(below(lastMs));
        const auto domain = std::size_t(below(int(kDomains)));
        plan->push_back({at, evacuate_domain{domain, kEvacuationTime + milliseconds(1 + below(kMaxEvacuationMs))}});
    }
}

void sortPlan(std::vector<planned_fault> *plan)
{
    std::stable_sort(plan->begin(), plan->end(),
                     [](const planned_fault &left, const planned_fault &right) { return left.at < right.at; });
}

std::string inMilliseconds(duration length)
{
    return absl::StrCat(" ms=", wholeMilliseconds(length));
}

} // namespace

std::string toString(const node_name &name)
{
    return absl::StrCat(name.kind == node_kind::balancer ? "balancer" : "agent", name.index + 1);
}

std::string domainName(std::size_t index)
{
    return index == 0 ? "rvk-a" : "rvk-b";
}

std::string toString(const fault &what)
{
    struct visitor
    {
        std::string operator()(const restart_node &f) const
        {
            return absl::StrCat(f.isKilled ? "kill " : "stop ", toString(f.node), inMilliseconds(f.downtime));
        }
        std::string operator()(const pause_node &f) const
        {
            return absl::StrCat("pause ", toString(f.node), inMilliseconds(f.length));
        }
        std::string operator()(const reload_node &f) const { return "reload " + toString(f.node); }
        std::string operator()(const replace_upstream &f) const
        {
            return absl::StrCat(f.isKilled ? "kill" : "drain", " upstream of agent", f.index + 1);
        }
        std::string operator()(const disturb_store &f) const
        {
            return absl::StrCat("store ", toString(f.mode), inMilliseconds(f.length));
        }
        std::string operator()(const restore_store &f) const
        {
            return absl::StrCat("restore store,", inMilliseconds(f.age));
        }
        std::string operator()(const evacuate_domain &f) const
        {
            return absl::StrCat("evacuate ", domainName(f.domain), inMilliseconds(f.length));
        }
        std::string operator()(const change_route &f) const { return absl::StrCat("route to service ", f.service); }
        std::string operator()(const lose_packets &f) const
        {
            return absl::StrCat("lose packets, share=", f.share, inMilliseconds(f.length));
        }
    };
    return std::visit(visitor{}, what);
}

std::vector<planned_fault> planFaults(const fault_plan_settings &settings, std::uint64_t seed)
{
    fault_source source(settings, seed);
    std::vector<planned_fault> plan;
    for (duration at = kFirstFault; at < settings.length; at += source.gap())
        plan.push_back({at, source.next()});
    addRestores(settings, seed, &plan);
    addEvacuations(settings, seed, &plan);
    sortPlan(&plan);
    return plan;
}

} // namespace citroncrank::soak
