#include "citroncrank/agent_directory.h"

#include "agent_directory_pvt.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace citroncrank {

namespace {

// Agents of the own failure domain, and as many of the others, that a flow may be placed at.
constexpr std::size_t kCandidatesPerDomain = 6;
// Further agents that may own a flow, since agents leave and become usable between its opening and a search.
constexpr std::size_t kOwnerRankMargin = 2;

} // namespace

// All balancers of a failure domain choose a flow's agents from the same part of the agents, so that each of them finds
// the owner of an open flow without asking all agents. The part is large enough that one of it has a free slot.
std::vector<const agent_record *> agent_directory::partOf(const std::vector<const agent_record *> &agents,
                                                          const flow_placement &placed, std::size_t perDomain)
{
    struct ranked
    {
        std::uint64_t rank = 0;
        const agent_record *agent = nullptr;
        auto operator<=>(const ranked &) const = default;
    };
    std::vector<ranked> own;
    std::vector<ranked> others;
    const std::uint64_t key = hashPair(packAddress(placed.flow.caller), packAddress(placed.flow.service));
    for (const agent_record *const agent : agents) {
        std::vector<ranked> &ranking = agent->report.domain == placed.ownDomain ? own : others;
        ranking.push_back({hashPair(key, packAddress(agent->address)), agent});
    }
    std::vector<const agent_record *> part;
    for (std::vector<ranked> *const ranking : {&own, &others}) {
        const std::size_t taken = std::min(perDomain, ranking->size());
        std::partial_sort(ranking->begin(), ranking->begin() + std::ptrdiff_t(taken), ranking->end());
        for (std::size_t i = 0; i < taken; ++i)
            part.push_back((*ranking)[i].agent);
    }
    return part;
}

// Many balancers choose at the same moment by reports of about the same age. Each draws the loads of its own, so that
// they do not all choose the agent that was the least loaded one when it reported. Agents whose drawn loads are equal
// come in random order for the same reason.
std::vector<host_address> agent_directory::candidates(const flow_placement &placed,
                                                      std::span<const host_address> excluded, std::size_t count,
                                                      time_point now, std::mt19937_64 *random) const
{
    std::vector<const agent_record *> usable;
    agent_availability best = agent_availability::excluded;
    for (const auto &[address, agent] : m_agents) {
        const agent_availability rank = availability(agent, now);
        if (agent.report.service != placed.service || rank == agent_availability::excluded || rank > best
            || std::find(excluded.begin(), excluded.end(), address) != excluded.end())
            continue;
        if (rank < best)
            usable.clear();
        best = rank;
        usable.push_back(&agent);
    }
    struct ranked
    {
        double load = 0;
        std::uint64_t tieBreak = 0;
        host_address address;
        bool isOtherDomain = false;
        auto operator<=>(const ranked &) const = default;
    };
    std::vector<ranked> order;
    const service_reference compared = reference(placed.service, now);
    const double otherDomain = otherDomainPenalty(
        std::chrono::duration<double, std::milli>(placed.latencyTarget).count(), compared.processingMs);
    for (const agent_record *const agent : partOf(usable, placed, kCandidatesPerDomain)) {
        const double penalty = agent->report.domain == placed.ownDomain ? 0 : otherDomain;
        order.push_back({drawLoad(estimateLoad(*agent, compared, now), random) + penalty, (*random)(), agent->address,
                         penalty > 0});
    }
    std::sort(order.begin(), order.end());
    if (placed.latencyTarget > duration(0) && count > 1 && order.size() > count
        && std::none_of(order.begin(), order.begin() + std::ptrdiff_t(count), std::mem_fn(&ranked::isOtherDomain))) {
        const auto other = std::find_if(order.begin(), order.end(), std::mem_fn(&ranked::isOtherDomain));
        if (other != order.end())
            std::swap(order[count - 1], *other);
    }
    std::vector<host_address> result;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        result.push_back(order[i].address);
    return result;
}

bool agent_directory::areAllReady(std::string_view service, agent_test test, time_point now) const
{
    bool isAnyReady = false;
    for (const auto &[address, agent] : m_agents) {
        if (agent.report.service != service)
            continue;
        const agent_availability rank = availability(agent, now);
        if (rank == agent_availability::unconfirmed)
            return false;
        if (rank != agent_availability::ready)
            continue;
        isAnyReady = true;
        if (!test(agent))
            return false;
    }
    return isAnyReady;
}

service_reference agent_directory::reference(std::string_view service, time_point now) const
{
    if (m_compared.service == service && m_compared.at == now && m_compared.reports == m_reports)
        return m_compared.reference;
    std::vector<measured_processing> measured;
    for (const auto &[address, agent] : m_agents) {
        if (agent.report.service == service && isFresh(agent, now))
            measured.push_back(measuredProcessing(agent));
    }
    m_compared = {std::string(service), now, m_reports, compareUpstreams(measured)};
    return m_compared.reference;
}

load_estimate agent_directory::load(const agent_record &agent, time_point now) const
{
    return estimateLoad(agent, reference(agent.report.service, now), now);
}

// Some agents were not usable when the flow was placed, so its owner may rank a little lower now.
std::vector<host_address> agent_directory::likelyOwners(const flow_placement &placed) const
{
    std::vector<const agent_record *> possible;
    for (const auto &[address, agent] : m_agents) {
        if (canOwnFlows(agent) && agent.report.service == placed.service)
            possible.push_back(&agent);
    }
    std::vector<host_address> result;
    for (const agent_record *const agent : partOf(possible, placed, kCandidatesPerDomain + kOwnerRankMargin))
        result.push_back(agent->address);
    return result;
}

std::optional<host_address> agent_directory::trialCandidate(std::string_view service, time_point now) const
{
    for (const auto &[address, agent] : m_agents) {
        if (agent.report.isTrialDue && agent.sentSinceReport == 0 && agent.report.service == service
            && availability(agent, now) == agent_availability::failing)
            return address;
    }
    return std::nullopt;
}

} // namespace citroncrank
