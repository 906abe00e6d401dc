#include "citroncrank/packet_balancer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

// Balancers that send an agent changes of the evacuations. A change then costs an agent of a large fleet only a few
// datagrams. Lost ones are repeated, and the periodic hellos of all balancers follow.
constexpr std::size_t kUpdatersPerAgent = 8;
constexpr std::uint64_t kUpdaterSalt = 0x65766163;
// Longest time that a balancer which has just started waits to learn what is evacuated.
constexpr duration kMaxEvacuationsWait = std::chrono::seconds(1);

} // namespace

balancer_hello packet_balancer::helloWithoutLists() const
{
    balancer_hello result = hello();
    result.balancers.clear();
    return result;
}

void packet_balancer::sendToOwnDomain(const balancer_hello &message, packet_actions *out) const
{
    for (const auto &[address, balancer] : m_balancers) {
        if (balancer.domain == m_settings.domain)
            out->emplace_back(send_to_node{address, message});
    }
}

// The applied set may be later than the listed one, if another balancer has listed it since. The answer of the store
// confirms it as long as it is of the same era.
void packet_balancer::storeListedEvacuations(const evacuation_set &listed, time_point listedAt, time_point now,
                                             packet_actions *out)
{
    if (!m_evacuations.isEnabled())
        return;
    applyEvacuations(listed, "store", now, out);
    const auto &applied = m_evacuations.state().current();
    if (!watchesEvacuations(now) || listed.version.era != applied->version.era || listed.domains != applied->domains)
        return;
    balancer_hello confirmation = helloWithoutLists();
    confirmation.areEvacuationsConfirmed = true;
    confirmation.evacuationsAgeMilliseconds = std::uint32_t(wholeMilliseconds(now - listedAt));
    sendToOwnDomain(confirmation, out);
}

void packet_balancer::onEvacuationsHeard(const host_address &from, const balancer_hello &hello, time_point now,
                                         packet_actions *out)
{
    if (!m_evacuations.isEnabled() || !hello.evacuations)
        return;
    applyEvacuations(*hello.evacuations, toString(from), now, out);
    if (hello.areEvacuationsConfirmed && hello.domain == m_settings.domain)
        m_evacuations.recordConfirmation(from, *hello.evacuations,
                                         now - std::chrono::milliseconds(hello.evacuationsAgeMilliseconds), now);
}

void packet_balancer::applyEvacuations(const evacuation_set &heard, const std::string &source, time_point now,
                                       packet_actions *out)
{
    if (m_evacuations.apply(heard, now) != evacuation_change::domains)
        return;
    const evacuation_set &applied = *m_evacuations.state().current();
    log(log_class::belief, absl::StrCat("evacuations in force, ", toString(applied), " from=", source), out);
    m_agents.setEvacuatedDomains(applied.domains);
    for (const host_address &agent : m_agents.agentsOfService(""))
        updateAgentEvacuations(agent, now, out);
    confirmStore(now, out);
    replayHeld(now, out);
}

// Called before an opening packet is sent to the agent as well, so that the hello arrives first unless the network
// reorders them.
void packet_balancer::updateAgentEvacuations(const host_address &agent, time_point now, packet_actions *out)
{
    const agent_record *const record = m_agents.find(agent);
    if (record == nullptr || record->report.evacuations >= m_evacuations.state().version() || !isUpdaterOf(agent))
        return;
    if (m_evacuations.takeDueUpdate(agent, record->report.evacuations, now))
        out->emplace_back(send_to_node{agent, helloWithoutLists()});
}

// A fixed random order of the balancers for each agent, the same at all balancers that know the same ones.
bool packet_balancer::isUpdaterOf(const host_address &agent) const
{
    if (m_balancers.size() < kUpdatersPerAgent)
        return true;
    const auto rank = [&](const host_address &balancer) {
        return hashPair(packAddress(balancer), packAddress(agent), kUpdaterSalt);
    };
    const std::uint64_t ownRank = rank(m_settings.self);
    const auto before = std::count_if(m_balancers.begin(), m_balancers.end(),
                                      [&](const auto &entry) { return rank(entry.first) < ownRank; });
    return std::size_t(before) < kUpdatersPerAgent;
}

bool packet_balancer::areEvacuationsAwaited(duration waited) const
{
    return m_evacuations.isEnabled() && !m_evacuations.state().current() && waited < kMaxEvacuationsWait;
}

forwarded_packet packet_balancer::makeForwardedPacket(forward_purpose purpose, const std::string &service,
                                                      const flow_key &key, std::string packetBytes,
                                                      std::vector<host_address> alternates) const
{
    request_limits limits;
    if (const packet_route *const route = m_routes->find(key.service)) {
        limits = {.priority = route->priority,
                  .latencyTargetMs = std::uint32_t(wholeMilliseconds(route->latencyTarget)),
                  .timeoutMs = std::uint32_t(wholeMilliseconds(route->timeout))};
    }
    limits.coldRateMilli = m_routes->coldRateMilli(service);
    return {.purpose = purpose,
            .service = service,
            .origin = m_settings.self,
            .alternates = std::move(alternates),
            .limits = limits,
            .packetBytes = std::move(packetBytes),
            .routesVersion = routesVersion()};
}

void packet_balancer::forward(const host_address &agent, forward_purpose purpose, const std::string &service,
                              const flow_key &key, std::string packetBytes, std::vector<host_address> alternates,
                              packet_actions *out) const
{
    out->emplace_back(
        send_to_node{agent, makeForwardedPacket(purpose, service, key, std::move(packetBytes), std::move(alternates))});
}

} // namespace citroncrank
