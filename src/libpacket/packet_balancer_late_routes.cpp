#include "citroncrank/packet_balancer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

using std::chrono::seconds;

// Routes usually spread within half a second.
constexpr duration kLateRoutesLogged = seconds(1);
// Added to two cycles of hellos, after which a balancer that is running has been heard.
constexpr duration kHolderMargin = seconds(2);
// A balancer answers a hand-over at once, but over the full link of a small host a round trip takes about half a second.
constexpr duration kHandOverTimeout = seconds(1);
// A balancer that has not answered is tried again after this time.
constexpr duration kSilentHolderPause = seconds(3);

} // namespace

void packet_balancer::logReplacedRoutes(time_point now, packet_actions *out)
{
    const auto replaced = routesReplacedFor(now);
    if (routesVersion() == m_lateVersionLogged || !replaced || *replaced < kLateRoutesLogged)
        return;
    m_lateVersionLogged = routesVersion();
    const auto age = routesConfirmationAge(now);
    const auto source = newerRoutes();
    log(log_class::belief,
        absl::StrCat("routes are replaced, in_force=", routesVersion(), " newest=", m_routesHistory.newest(),
                     " replaced_ms=", wholeMilliseconds(*replaced),
                     " confirmed_ms=", age ? wholeMilliseconds(*age) : -1, " watch=", toString(routesWatchReason(now)),
                     " source=", source ? toString(source->http) : std::string("none")),
        out);
}

bool packet_balancer::areRoutesLate(time_point now) const
{
    if (!m_routes)
        return false;
    const auto replaced = routesReplacedFor(now);
    return m_routes->version <= m_lateVersion || (replaced && *replaced > m_settings.replacedRoutesTimeout);
}

// A holder that answers no hand-over is cut off, perhaps in one direction only, or has ended.
bool packet_balancer::isReachableHolder(const known_balancer &balancer, time_point now) const
{
    if (!balancer.takesOpenings || now - balancer.lastHeardAt > 2 * helloCycle() + kHolderMargin)
        return false;
    const bool isSilent = balancer.unansweredSince && now - *balancer.unansweredSince > kHandOverTimeout;
    return !isSilent || now - balancer.handedOverAt > kSilentHolderPause;
}

// The routes of a holder must not be late themselves. The first packet stays in the failure domain if possible. A copy goes
// to any holder, since that of the first packet may have ended.
std::optional<host_address> packet_balancer::newerRoutesHolder(const packet_header &opening, time_point now)
{
    std::vector<host_address> near;
    std::vector<host_address> all;
    for (const auto &[address, balancer] : m_balancers) {
        const bool isNewer = balancer.routesVersion > routesVersion();
        const auto replaced = m_routesHistory.replacedFor(balancer.routesVersion, now);
        const bool isLate = replaced && *replaced > m_settings.replacedRoutesTimeout;
        if (!isNewer || isLate || !isReachableHolder(balancer, now))
            continue;
        all.push_back(address);
        if (balancer.domain == m_settings.domain)
            near.push_back(address);
    }
    const auto &candidates = near.empty() || opening.acknowledged > 0 ? all : near;
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random() % candidates.size()];
}

// A copy of an opening packet that was placed here goes to the agent of the first one. Returns false if the opening is to
// be placed here.
bool packet_balancer::handOverOpening(const packet &arrived, time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(arrived.header);
    forgetEarlierFlow(key, arrived.header);
    if (m_flows.contains(key) && m_routes->find(key.service) != nullptr)
        return false;
    const auto holder = newerRoutesHolder(arrived.header, now);
    if (!holder)
        return false;
    known_balancer &receiver = m_balancers.at(*holder);
    const bool isRetry = receiver.unansweredSince && now - receiver.handedOverAt > kSilentHolderPause;
    if (!receiver.unansweredSince || isRetry)
        receiver.unansweredSince = now;
    receiver.handedOverAt = now;
    ++m_openingsHandedOver;
    const auto replaced = routesReplacedFor(now);
    log(log_class::placement,
        absl::StrCat("handed over opening, flow=", toString(key), " copy=", arrived.header.acknowledged,
                     " balancer=", toString(*holder), " routes=", routesVersion(), " newest=", m_routesHistory.newest(),
                     " replaced_ms=", replaced ? wholeMilliseconds(*replaced) : 0),
        out);
    out->emplace_back(send_to_node{*holder, forwarded_packet{.purpose = forward_purpose::open,
                                                             .service = {},
                                                             .origin = m_settings.self,
                                                             .alternates = {},
                                                             .limits = {},
                                                             .packetBytes = arrived.bytes,
                                                             .routesVersion = routesVersion()}});
    return true;
}

bool packet_balancer::isOwnerKnown(const flow_key &flow) const
{
    const auto known = m_flows.find(flow);
    return known != m_flows.end() && known->second.isOwnerKnown;
}

// An opening is handed over only to newer routes, so it cannot pass between balancers without end.
void packet_balancer::onHandedOverOpening(const host_address &from, const forwarded_packet &message, time_point now,
                                          packet_actions *out)
{
    const auto header = m_decoder(message.packetBytes);
    const bool isOpening = message.purpose == forward_purpose::open && header && header->open;
    if (!isOpening || !m_isStoreConfirmed || routesVersion() <= message.routesVersion) {
        log(log_class::refusal,
            absl::StrCat("dropped forwarded packet, from=", toString(from), " open=", isOpening,
                         " sender_routes=", message.routesVersion, " routes=", routesVersion()),
            out);
        return;
    }
    out->emplace_back(send_to_node{from, flow_owner_list{}}); // Shows the sender that its openings arrive.
    packet arrived{*header, message.packetBytes};
    const packet_route *const route = m_routes->find(header->destination);
    if (route == nullptr) {
        onUnroutedPacket(arrived, out);
        return;
    }
    openFlow(std::move(arrived), *route, now, out);
    if (const auto placed = m_flows.find(flowFromCaller(*header)); placed != m_flows.end())
        placed->second.handedOverBy = from;
}

// The further packets of the flow arrive at the balancer that has handed it over, which would have to search for its owner.
void packet_balancer::passOwnerOn(const host_address &owner, const flow_key &flow, packet_actions *out)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || !found->second.handedOverBy)
        return;
    out->emplace_back(send_to_node{*std::exchange(found->second.handedOverBy, std::nullopt),
                                   flow_owner_list{.entries = {{flow, owner}}}});
}

// Agents hear of versions also from balancers that this one does not hear.
void packet_balancer::onReplacedRoutes(const host_address &agent, const rejection_notice &notice, packet returned,
                                       time_point now, packet_actions *out)
{
    const flow_key key = flowFromCaller(returned.header);
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || !found->second.isOpening)
        return; // Another agent has opened the flow.
    m_routesHistory.record(notice.newestRoutes, now);
    if (routesVersion() < notice.newestRoutes)
        m_lateVersion = routesVersion();
    addBalancer(notice.newestHolder, now);
    if (const auto holder = m_balancers.find(notice.newestHolder); holder != m_balancers.end()) {
        holder->second.lastHeardAt = now;
        holder->second.routesVersion = std::max(holder->second.routesVersion, notice.newestRoutes);
        holder->second.takesOpenings = true;
    }
    log(log_class::belief,
        absl::StrCat("routes are replaced, as an agent knows, flow=", toString(key), " agent=", toString(agent),
                     " in_force=", routesVersion(), " newest=", notice.newestRoutes,
                     " holder=", toString(notice.newestHolder)),
        out);
    m_flows.erase(found);
    callerPacket(std::move(returned), now, out);
}

} // namespace citroncrank
