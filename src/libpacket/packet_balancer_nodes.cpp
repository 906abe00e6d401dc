#include "citroncrank/packet_balancer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::seconds;

// Number of hellos to other balancers per second, so that an update reaches n balancers in about log3(n) seconds.
constexpr std::size_t kHelloFanOut = 3;
// Interval of the hellos to all agents, in rounds. It must stay below the time after which agents drop a silent
// balancer.
constexpr std::uint64_t kAgentHelloRounds = 10;
constexpr std::size_t kMaxListedBalancers = 64;
constexpr std::size_t kMaxUnlistedAgents = 64;
// A hello takes a round trip between failure domains, about 9 ms, and is repeated after a second.
constexpr duration kNeighbourWait = std::chrono::milliseconds(250);
// Longest time that a balancer which has just started waits for newer routes of another balancer.
constexpr duration kMaxRoutesWait = seconds(1);
// Longest time without a neighbour before the agents of the store's list count as all agents. A hello is sent twice
// within it.
constexpr duration kMaxOwnersWait = std::chrono::milliseconds(1500);
// A node that is silent for longer counts as replaced. A node that is alive writes its entry again.
constexpr duration kStaleEntryTimeout = seconds(8);
constexpr duration kStaleEntryStagger = seconds(2);
// Shortest time after which a silent balancer is forgotten.
constexpr duration kBalancerExpiry = seconds(60);
// The chance that no hello of a live balancer arrives in this many cycles is below one in 10,000.
constexpr int kSilentHelloCycles = 10;
} // namespace

void packet_balancer::onAgentReport(const host_address &agent, const agent_report &report, time_point now,
                                    packet_actions *out)
{
    const agent_record *const before = m_agents.find(agent);
    const bool isChange = before == nullptr || !before->lastHeardAt || before->report.state != report.state
                          || before->report.incarnation != report.incarnation || !m_agents.isFresh(*before, now);
    const bool wasRestarting = isInPlannedRestart(agent);
    const bool isApplied = m_agents.applyReport(agent, report, now);
    updateAgentEvacuations(agent, now, out);
    if (!isApplied || !isChange)
        return;
    if (wasRestarting && !isInPlannedRestart(agent))
        releaseHeldForRestart(agent, now, out);
    log(log_class::belief,
        absl::StrCat("agent reported, agent=", toString(agent), " service=", report.service,
                     " state=", toString(report.state), " incarnation=", report.incarnation, " number=", report.number),
        out);
    if (before == nullptr)
        out->emplace_back(send_to_node{agent, hello()});
    replayHeld(now, out);
}

void packet_balancer::addBalancer(const host_address &address, time_point now)
{
    if (address != m_settings.self)
        m_balancers.try_emplace(address, known_balancer{.lastHeardAt = now, .domain = {}});
}

void packet_balancer::onBalancerHello(const host_address &from, const balancer_hello &hello, time_point now,
                                      packet_actions *out)
{
    const auto known = m_balancers.find(from);
    const bool isNew = known == m_balancers.end() || known->second.domain.empty();
    known_balancer &sender = m_balancers[from];
    sender.lastHeardAt = now;
    sender.domain = hello.domain;
    sender.routesVersion = hello.routesVersion;
    sender.takesOpenings = hello.takesOpenings;
    for (const host_address &other : hello.balancers)
        addBalancer(other, now);
    for (const host_address &agent : hello.unlistedAgents) {
        if (m_agents.markNamed(agent, now))
            out->emplace_back(send_to_node{agent, this->hello()});
    }
    m_routesHistory.record(hello.routesVersion, now);
    if (hello.routesVersion > routesVersion())
        m_routesSources.recordAnnouncement({hello.http, hello.routesVersion});
    m_isNeighbourHeard = m_isNeighbourHeard || hello.routesVersion > 0;
    if (hello.areRoutesConfirmed && hello.domain == m_settings.domain)
        m_watchRole.recordConfirmation(from, hello.routesVersion,
                                       now - std::chrono::milliseconds(hello.confirmationAgeMilliseconds), now);
    onEvacuationsHeard(from, hello, now, out);
    confirmStore(now, out);
    if (!isNew)
        return;
    log(log_class::belief,
        absl::StrCat("balancer said hello, balancer=", toString(from), " routes=", hello.routesVersion), out);
    introduceSelf(from, now, out);
    if (hello.domain == m_settings.domain)
        sendOwnerList(from, out);
}

// A confirmation of the routes in force is outdated once newer ones are known to exist.
watch_reason packet_balancer::routesWatchReason(time_point now) const
{
    if (m_routesSources.hasFailed(routesVersion()))
        return watch_reason::fetch_failed;
    if (areRoutesLate(now))
        return watch_reason::replaced;
    return m_watchRole.watchReason(routesVersion(), now);
}

void packet_balancer::applyListing(const std::vector<listed_node> &nodes, time_point now, packet_actions *out)
{
    absl::flat_hash_set<host_address> listedAgents;
    absl::btree_map<host_address, time_point> listedBalancers;
    for (const listed_node &node : nodes) {
        if (!node.isAgent) {
            const auto known = m_listedBalancers.find(node.address);
            if (node.address != m_settings.self)
                listedBalancers.emplace(node.address, known == m_listedBalancers.end() ? now : known->second);
            addBalancer(node.address, now);
            continue;
        }
        listedAgents.insert(node.address);
        const bool isNew = m_agents.find(node.address) == nullptr;
        m_agents.markListed(node.address, node.service, node.domain, now);
        if (isNew)
            out->emplace_back(send_to_node{node.address, hello()});
    }
    for (const host_address &address : m_agents.agentsOfService("")) {
        if (!listedAgents.contains(address))
            m_agents.markUnlisted(address);
    }
    m_listedBalancers = std::move(listedBalancers);
    if (!m_isListingKnown) {
        m_isListingKnown = true;
        m_nextHello = now;
    }
    log(log_class::belief,
        absl::StrCat("nodes listed, agents=", listedAgents.size(), " balancers=", nodes.size() - listedAgents.size()),
        out);
    confirmStore(now, out);
    replayHeld(now, out);
}

// The store has lost its latest writes, and agents do not watch it. The next round of hellos goes to all of them, so that
// they write again what is missing.
void packet_balancer::applyStoreEra(std::uint64_t era, time_point now)
{
    if (era <= m_storeEra)
        return;
    if (std::exchange(m_storeEra, era) == 0)
        return;
    m_helloRound = 0;
    m_nextHello = now;
}

// The store may have come back from an older copy, without the latest routes and without the entries of agents that own
// flows. Another balancer knows both. A balancer that has just started therefore waits a moment for a hello.
void packet_balancer::confirmStore(time_point now, packet_actions *out)
{
    if (m_isStoreConfirmed || !m_routesKnownAt)
        return;
    const duration waited = now - *m_routesKnownAt;
    if (m_isNeighbourHeard)
        m_isStoreConfirmed = !newerRoutes() || waited >= kMaxRoutesWait;
    else
        m_isStoreConfirmed = isAlone() || waited >= kNeighbourWait;
    m_isStoreConfirmed = m_isStoreConfirmed && !areEvacuationsAwaited(waited);
    if (!m_isStoreConfirmed)
        return;
    log(log_class::belief,
        absl::StrCat("routes confirmed, by=", m_isNeighbourHeard ? "balancer" : "time-out",
                     " version=", routesVersion(), " waited_ms=", wholeMilliseconds(waited)),
        out);
    if (m_evacuations.isEnabled() && !m_evacuations.state().current())
        log(log_class::belief, "evacuations are not known, serving as if there were none", out);
    replayHeld(now, out);
}

// Whether the store and the settings name no other balancer.
bool packet_balancer::isAlone() const
{
    return m_balancers.empty() && (m_isListingKnown || m_settings.seeds.empty());
}

// The store may have lost the entries of agents that own flows. Opening packets need not wait for them, but a reset of an
// open flow does.
bool packet_balancer::areUnlistedAgentsKnown(time_point now) const
{
    return m_isNeighbourHeard || isAlone() || (m_routesKnownAt && now - *m_routesKnownAt >= kMaxOwnersWait);
}

balancer_hello packet_balancer::hello() const
{
    balancer_hello result{.incarnation = m_settings.incarnation,
                          .domain = m_settings.domain,
                          .routesVersion = routesVersion(),
                          .http = m_settings.http,
                          .balancers = {},
                          .agents = std::uint32_t(m_agents.size()),
                          .isEntryMissing = false,
                          .storeEra = m_storeEra,
                          .unlistedAgents = {},
                          .evacuations = m_evacuations.state().current(),
                          .takesOpenings = true};
    for (const auto &[address, heard] : m_balancers) {
        if (result.balancers.size() == kMaxListedBalancers)
            break;
        result.balancers.push_back(address);
    }
    return result;
}

// The other balancers of the failure domain learn of newer routes so, and that there are none otherwise. An answer whose
// routes are not in force here, since they were lost on the way to this thread, would vouch for older ones.
void packet_balancer::storeConfirmedRoutes(const routes_confirmation &answer, time_point now, packet_actions *out)
{
    if (answer.version > routesVersion()) {
        log(log_class::belief,
            absl::StrCat("routes not confirmed, stored=", answer.version, " in_force=", routesVersion()), out);
        return;
    }
    m_ownConfirmation = {answer.at, routesVersion()};
    if (!watchesRoutes(now))
        return;
    balancer_hello confirmation = helloWithoutLists();
    confirmation.areRoutesConfirmed = true;
    confirmation.confirmationAgeMilliseconds = std::uint32_t(wholeMilliseconds(now - answer.at));
    sendToOwnDomain(confirmation, out);
}

std::optional<duration> packet_balancer::routesConfirmationAge(time_point now) const
{
    auto latest = m_watchRole.confirmedAt(routesVersion());
    if (m_ownConfirmation.version == routesVersion() && (!latest || m_ownConfirmation.at > *latest))
        latest = m_ownConfirmation.at;
    return routesVersion() > 0 && latest ? std::optional(now - *latest) : std::nullopt;
}

// Hellos to another balancer, which name all agents without an entry. One datagram holds a part of them.
std::vector<balancer_hello> packet_balancer::hellosToBalancer(time_point now) const
{
    const auto unlisted = m_isListingKnown ? m_agents.unlistedAgents(now) : std::vector<host_address>();
    std::vector<balancer_hello> hellos{hello()};
    for (const host_address &agent : unlisted) {
        if (hellos.back().unlistedAgents.size() == kMaxUnlistedAgents)
            hellos.push_back(hello());
        hellos.back().unlistedAgents.push_back(agent);
    }
    return hellos;
}

void packet_balancer::introduceSelf(const host_address &balancer, time_point now, packet_actions *out) const
{
    for (balancer_hello &message : hellosToBalancer(now))
        out->emplace_back(send_to_node{balancer, std::move(message)});
}

void packet_balancer::sendHellos(time_point now, packet_actions *out)
{
    std::vector<host_address> targets;
    for (const auto &[address, heard] : m_balancers)
        targets.push_back(address);
    std::shuffle(targets.begin(), targets.end(), m_random);
    if (targets.size() > kHelloFanOut && m_helloRound > 0)
        targets.resize(kHelloFanOut);
    if (m_balancers.empty() || m_helloRound == 0)
        targets.insert(targets.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    // A round names a part of the agents without an entry, the next round the next part.
    const auto hellos = hellosToBalancer(now);
    for (const host_address &target : targets)
        out->emplace_back(send_to_node{target, hellos[m_helloRound % hellos.size()]});
    if (m_helloRound % kAgentHelloRounds == 0) {
        for (const host_address &agent : m_agents.agentsOfService(""))
            out->emplace_back(send_to_node{agent, hello()});
    }
    if (m_isListingKnown && m_helloRound % kAgentHelloRounds == 0)
        requestMissingEntries(now, out);
    ++m_helloRound;
}

// The entry of an agent that was silent for too long is removed. Once it reports again it must write a new entry, since
// a starting balancer takes the agents that may own flows from the object store.
void packet_balancer::requestMissingEntries(time_point now, packet_actions *out)
{
    for (const host_address &agent : m_agents.takeMissingEntries(now)) {
        balancer_hello request = hello();
        request.isEntryMissing = true;
        log(log_class::belief, absl::StrCat("agent has no entry, agent=", toString(agent)), out);
        out->emplace_back(send_to_node{agent, std::move(request)});
    }
}

// With n other balancers, a hello of each of them arrives about once in n / kHelloFanOut rounds.
duration packet_balancer::helloCycle() const
{
    return kHelloPeriod * std::int64_t(1 + m_balancers.size() / kHelloFanOut);
}

void packet_balancer::removeSilentBalancers(time_point now)
{
    const duration expiry = std::max(kBalancerExpiry, kSilentHelloCycles * helloCycle());
    absl::erase_if(m_balancers, [&](const auto &entry) { return now - entry.second.lastHeardAt > expiry; });
}

// Balancers with higher addresses wait longer, so that usually one balancer removes an entry and the others find it
// removed.
std::vector<host_address> packet_balancer::staleNodes(time_point now) const
{
    const auto lowerAddresses = std::count_if(m_balancers.begin(), m_balancers.end(),
                                              [this](const auto &entry) { return entry.first < m_settings.self; });
    const duration timeout = kStaleEntryTimeout + lowerAddresses * kStaleEntryStagger;
    auto stale = m_agents.staleEntries(timeout, now);
    for (const auto &[address, since] : m_listedBalancers) {
        const auto heard = m_balancers.find(address);
        const time_point last = heard == m_balancers.end() ? since : std::max(since, heard->second.lastHeardAt);
        if (now - last > timeout + kSilentHelloCycles * helloCycle())
            stale.push_back(address);
    }
    return stale;
}

void packet_balancer::sendOwnerList(const host_address &balancer, packet_actions *out) const
{
    flow_owner_list list;
    const auto send = [&] {
        if (!list.entries.empty())
            out->emplace_back(send_to_node{balancer, std::exchange(list, {})});
    };
    for (const auto &[key, flow] : m_flows) {
        if (!flow.isOwnerKnown || flow.finished)
            continue;
        list.entries.push_back({key, flow.owner});
        if (list.entries.size() == kMaxOwnersPerMessage)
            send();
    }
    send();
}

void packet_balancer::handOffFlows(packet_actions *out) const
{
    std::size_t count = 0;
    for (const auto &[address, balancer] : m_balancers) {
        if (balancer.domain != m_settings.domain)
            continue;
        sendOwnerList(address, out);
        ++count;
    }
    log(log_class::owner, absl::StrCat("handed off flows, flows=", m_flows.size(), " balancers=", count), out);
}

// Existing entries are kept, since what this balancer learned from an agent is newer than another balancer's cached
// state.
void packet_balancer::onOwnerList(const host_address &from, const flow_owner_list &owners, time_point now)
{
    if (const auto sender = m_balancers.find(from); sender != m_balancers.end())
        sender->second.unansweredSince = std::nullopt;
    for (const flow_owner_entry &entry : owners.entries) {
        if (m_flows.size() >= kMaxFlows)
            return;
        const auto [found, isNew] = m_flows.try_emplace(entry.flow);
        if (!isNew)
            continue;
        balancer_flow &flow = found->second;
        flow.owner = entry.owner;
        flow.isOwnerKnown = true;
        flow.firstSeen = now;
        flow.lastSeen = now;
        if (const agent_record *const agent = m_agents.find(entry.owner))
            flow.service = agent->report.service;
    }
}

} // namespace citroncrank
