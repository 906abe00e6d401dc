#include "citroncrank/fleet_node.h"

#include "citroncrank/frame_codec.h"
#include "citroncrank/timer_service.h"

#include <algorithm>
#include <utility>

namespace citroncrank {

namespace {

constexpr duration kDisseminationPeriod{100'000};
constexpr duration kRosterReadPeriod{2'000'000};
/// Largest configuration document that fits into one datagram with its frame; larger ones are sent over a hop.
constexpr std::size_t kMaxDatagramDocumentBytes = 1'100;

config_member toConfigMember(const member_record &record, bool reachable)
{
    const bool alive = record.state == member_state::alive || record.state == member_state::suspect;
    return {record.name, record.domain, alive && reachable, record.incarnation};
}

dissemination_time disseminationTime(time_point now)
{
    return {now, wallNow()};
}

} // namespace

fleet_node::fleet_node(fleet_node_settings settings, network &net, time_point now)
    : m_settings(std::move(settings))
    , m_network(net)
    , m_membership(m_settings.local, membership_settings{}, m_settings.seed, now)
    , m_dissemination({.name = m_settings.local.name, .domain = m_settings.local.domain}, m_settings.seed,
                      disseminationTime(now))
{
    m_membership.addSeeds(m_settings.seeds);
    if (!m_settings.platform)
        return;
    m_platform = std::make_unique<platform_worker>(*m_settings.platform);
    m_platform->replies().setNotify([this] { m_network.events().tryPush(wake_up{}); });
    m_platform->request(read_rosters{});
    m_nextRosterRead = now + kRosterReadPeriod;
}

fleet_node::~fleet_node() = default;

bool fleet_node::onEvent(const net_event &event, time_point now)
{
    const frame *value = nullptr;
    host_address from;
    if (const auto *datagram = std::get_if<datagram_received>(&event)) {
        value = &datagram->value;
        from = datagram->from;
    } else if (const auto *received = std::get_if<frame_received>(&event)) {
        value = &received->value;
        from = received->value.owner.address;
    } else {
        return std::holds_alternative<wake_up>(event);
    }
    const bool control = std::holds_alternative<gossip_message>(value->body)
                         || std::holds_alternative<config_fetch_body>(value->body)
                         || std::holds_alternative<config_revision_body>(value->body)
                         || std::holds_alternative<applied_body>(value->body);
    if (control)
        onControlFrame(*value, from, now);
    return control;
}

void fleet_node::onControlFrame(const frame &value, const host_address &from, time_point now)
{
    const node_id peer = value.owner.agent;
    m_addresses.try_emplace(peer, value.owner.address);
    if (const auto *gossip = std::get_if<gossip_message>(&value.body)) {
        m_membership.onMessage(*gossip, from, now);
        runMembershipActions(now);
        if (gossip->configRevision > 0)
            handleConfigEvent(revision_advertised{nodeIdFromName(gossip->sender), gossip->configRevision}, now);
    } else if (const auto *fetch = std::get_if<config_fetch_body>(&value.body)) {
        handleConfigEvent(fetch_requested{peer, fetch->above}, now);
    } else if (const auto *revision = std::get_if<config_revision_body>(&value.body)) {
        if (revision->document.empty())
            handleConfigEvent(revision_advertised{peer, revision->revision}, now);
        else
            handleConfigEvent(
                body_received{peer, revision->revision, std::make_shared<const std::string>(revision->document)}, now);
    } else if (const auto *applied = std::get_if<applied_body>(&value.body)) {
        handleConfigEvent(report_received{peer, {applied->node, applied->revision, applied->appliedAt}}, now);
    }
}

void fleet_node::onTick(time_point now)
{
    m_membership.onTick(now);
    runMembershipActions(now);
    drainReplies(now);
    if (now >= m_nextDisseminationTick) {
        m_nextDisseminationTick = now + kDisseminationPeriod;
        handleConfigEvent(dissemination_tick{}, now);
    }
    readRostersWhileIsolated(now);
}

void fleet_node::setLocal(const local_change &change, time_point now)
{
    m_membership.setLocal(change, now);
    runMembershipActions(now);
}

void fleet_node::leave(time_point now)
{
    m_membership.leave(now);
    runMembershipActions(now);
}

// --- Membership ------------------------------------------------------------------------------------------------

struct fleet_node::membership_handler
{
    fleet_node &node;
    time_point now;
    std::vector<config_member> &changed;

    void operator()(const send_gossip &action) const
    {
        frame value = node.controlFrame(action.message);
        node.sendFrame(action.to, std::move(value), action.reliable);
    }
    void operator()(const member_changed &action) const
    {
        node.m_membersChanged = true;
        const auto &record = action.after ? *action.after : *action.before;
        node.m_addresses[memberNodeId(record)] = record.address;
        changed.push_back(toConfigMember(record, action.after.has_value() && !action.unreachable));
        if (!action.after)
            node.m_addresses.erase(memberNodeId(record));
    }
    void operator()(const roster_change_wanted &action) const
    {
        if (!node.m_platform)
            return;
        // Without a reachable member this node cannot tell whether other entries are stale, so the empty base keeps
        // them all.
        const bool isolated = node.m_membership.reachableCount() == 0;
        node.m_platform->request(
            write_roster{action.domain, isolated ? std::vector<host_address>() : node.m_roster, action.addresses});
        node.m_roster = action.addresses;
    }
    void operator()(const higher_revision_seen &action) const
    {
        node.handleConfigEvent(revision_advertised{nodeIdFromName(action.member), action.revision}, now);
    }
    void operator()(const name_conflict &) const { node.m_hasNameConflict = true; }
};

void fleet_node::runMembershipActions(time_point now)
{
    std::vector<config_member> changed;
    for (const auto &action : m_membership.takeActions())
        std::visit(membership_handler{*this, now, changed}, action);
    if (!changed.empty())
        handleConfigEvent(members_changed{std::move(changed)}, now);
}

std::vector<member_record> fleet_node::reachableMembers() const
{
    std::vector<member_record> reachable{m_membership.local()};
    for (const auto &view : m_membership.members()) {
        if (!view.unreachable)
            reachable.push_back(view.record);
    }
    return reachable;
}

bool fleet_node::takeMembersChanged()
{
    return std::exchange(m_membersChanged, false);
}

// --- Configuration ---------------------------------------------------------------------------------------------

struct fleet_node::dissemination_handler
{
    fleet_node &node;
    time_point now;

    void operator()(const fetch_from_peer &action) const
    {
        node.sendToPeer(action.peer, config_fetch_body{action.above});
    }
    void operator()(const advertise_to_peer &action) const
    {
        node.sendToPeer(action.peer, config_revision_body{action.number, {}});
    }
    void operator()(const send_body &action) const
    {
        node.sendToPeer(action.peer, config_revision_body{action.number, *action.document});
    }
    void operator()(const start_watch &action) const
    {
        if (node.m_platform)
            node.m_platform->startWatch(action.above);
    }
    void operator()(const stop_watch &) const
    {
        if (node.m_platform)
            node.m_platform->stopWatch();
    }
    void operator()(const read_platform &action) const
    {
        if (node.m_platform)
            node.m_platform->request(action);
    }
    void operator()(const apply_revision &action) const
    {
        node.m_applied = action.revision;
        node.m_appliedAt = wallNow();
        node.m_membership.setLocal({.configRevision = action.revision->number}, now);
    }
    void operator()(const send_report &action) const
    {
        node.sendToPeer(action.peer,
                        applied_body{action.report.member, action.report.revision, action.report.appliedAt});
    }
    void operator()(const write_in_force_record &action) const
    {
        if (node.m_platform)
            node.m_platform->request(action);
    }
    void operator()(const write_lost_revisions &action) const
    {
        if (node.m_platform)
            node.m_platform->request(action);
    }
};

void fleet_node::handleConfigEvent(const config_dissemination_event &event, time_point now)
{
    for (const auto &action : m_dissemination.handle(event, disseminationTime(now)))
        std::visit(dissemination_handler{*this, now}, action);
}

shared_revision fleet_node::takeAppliedRevision()
{
    return std::exchange(m_applied, nullptr);
}

// --- Platform --------------------------------------------------------------------------------------------------

struct fleet_node::reply_handler
{
    fleet_node &node;
    time_point now;

    void operator()(const config_dissemination_event &event) const
    {
        const bool failed = std::holds_alternative<platform_read_failed>(event)
                            || std::holds_alternative<watch_failed>(event)
                            || std::holds_alternative<record_write_failed>(event)
                            || std::holds_alternative<lost_revisions_write_failed>(event);
        node.m_platformReachable = !failed;
        // The seed objects may be lost or older too; membership compares them with the members.
        if (std::holds_alternative<platform_restored>(event))
            node.m_platform->request(read_rosters{});
        node.handleConfigEvent(event, now);
    }
    void operator()(const rosters_read &rosters) const
    {
        node.m_platformReachable = true;
        const auto &own = node.m_settings.local;
        for (const auto &[domain, addresses] : rosters.addresses) {
            node.m_membership.addSeeds(addresses);
            if (domain == own.domain) {
                node.m_roster = addresses;
                node.m_membership.setRoster(addresses);
            }
        }
        if (!rosters.addresses.contains(own.domain))
            node.m_membership.setRoster({});
        node.runMembershipActions(now);
    }
    void operator()(const rosters_failed &) const { node.m_platformReachable = false; }
};

void fleet_node::drainReplies(time_point now)
{
    if (!m_platform)
        return;
    std::vector<platform_reply> replies;
    m_platform->replies().drain(&replies, time_point());
    for (const auto &item : replies)
        std::visit(reply_handler{*this, now}, item);
}

// While no member is reachable, the seed objects are read again, since other nodes may have started after the last
// read.
void fleet_node::readRostersWhileIsolated(time_point now)
{
    if (!m_platform || now < m_nextRosterRead || m_membership.reachableCount() > 0)
        return;
    m_nextRosterRead = now + kRosterReadPeriod;
    m_platform->request(read_rosters{});
}

// --- Sending ---------------------------------------------------------------------------------------------------

frame fleet_node::controlFrame(frame_body body) const
{
    frame value;
    value.flowClass = flow_class::urgent;
    value.owner = {memberNodeId(m_settings.local), m_settings.local.incarnation, m_settings.local.address};
    value.body = std::move(body);
    return value;
}

void fleet_node::sendToPeer(node_id peer, frame_body body)
{
    const auto found = m_addresses.find(peer);
    if (found == m_addresses.end())
        return;
    const auto *revision = std::get_if<config_revision_body>(&body);
    const bool large = revision != nullptr && revision->document.size() > kMaxDatagramDocumentBytes;
    sendFrame(found->second, controlFrame(std::move(body)), large);
}

void fleet_node::sendFrame(const host_address &target, frame value, bool reliable)
{
    if (reliable)
        m_network.post(send_to_address{target, std::move(value), false});
    else
        m_network.post(send_datagram{target, std::move(value)});
}

time_point fleet_node::nextDeadline() const
{
    return std::min(m_membership.nextDeadline(), m_nextDisseminationTick);
}

} // namespace citroncrank
