#include "citroncrank/config_dissemination.h"

#include "seeded_random_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank {

namespace {

/// Reports of this node that are kept to be repeated to a new recorder.
constexpr std::size_t kMaxOwnReports = 16;
constexpr std::size_t kMaxSources = 4;
/// Bounds the traffic of repeated fetches of a revision that this node cannot parse.
constexpr duration kMaxRejectionBackoff = std::chrono::seconds(30);

} // namespace

const char *toString(body_rejection reason)
{
    static constexpr std::array<const char *, kBodyRejectionCount> kNames{"too_large", "unparsable", "not_accepted",
                                                                          "number_mismatch"};
    return kNames[std::size_t(reason)];
}

config_dissemination::config_dissemination(config_dissemination_settings settings, std::uint64_t seed,
                                           dissemination_time start)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_when(start)
    , m_domainMembers{{m_settings.name, 0}}
    , m_nextPeerQuery(start.now)
    , m_recorder(m_settings)
{
    // Without jitter, all nodes would read the platform at the same moment after a restart of the whole fleet.
    m_readinessDeadline =
        start.now + m_settings.readinessTimeout / 2 + seeded_random(random()).jitter(m_settings.readinessTimeout);
}

config_dissemination_actions config_dissemination::handle(const config_dissemination_event &event,
                                                          dissemination_time when)
{
    m_when = when;
    std::visit([this](const auto &value) { on(value); }, event);
    updateReadiness();
    return std::exchange(m_actions, {});
}

std::uint64_t config_dissemination::random()
{
    seeded_random generator(m_random);
    m_random = generator.next();
    return m_random;
}

node_id config_dissemination::randomPeer()
{
    return m_peers[std::size_t(random() % m_peers.size())];
}

void config_dissemination::on(const members_changed &event)
{
    std::set<node_id> changed;
    for (const auto &member : event.members) {
        if (member.name == m_settings.name)
            continue;
        changed.insert(nodeIdFromName(member.name));
        if (member.domain != m_settings.domain)
            continue;
        if (member.alive)
            m_domainMembers[member.name] = member.incarnation;
        else
            m_domainMembers.erase(member.name);
    }
    std::erase_if(m_peers, [&](node_id peer) { return changed.count(peer) != 0; });
    for (const auto &member : event.members) {
        if (member.alive && member.name != m_settings.name)
            m_peers.push_back(nodeIdFromName(member.name));
    }
    std::sort(m_peers.begin(), m_peers.end());
    m_peers.erase(std::unique(m_peers.begin(), m_peers.end()), m_peers.end());
    updateRoles();
    queryPeers();
}

void config_dissemination::on(const revision_advertised &event)
{
    recordPeerRevision(event.peer, event.number);
}

void config_dissemination::recordPeerRevision(node_id peer, std::uint64_t number)
{
    // A peer without a revision does not count towards readiness. Otherwise, after a restart of all hosts during an
    // outage of the platform, nodes without a configuration would make each other ready.
    if (number > 0 && !m_ready)
        m_peersWithRevision.insert(peer);
    if (number > m_highestKnown) {
        m_highestKnown = number;
        m_sources.clear();
    }
    if (number == m_highestKnown && number > currentNumber() && m_sources.size() < kMaxSources)
        m_sources.push_back(peer);
    fetchIfLagging();
}

void config_dissemination::fetchIfLagging()
{
    if (m_highestKnown <= currentNumber() || !m_rejectionBackoff.isDue(m_when.now)
        || (m_fetchDeadline && m_when.now < *m_fetchDeadline))
        return;
    if (m_sources.empty() && m_peers.empty())
        return;
    const node_id peer = m_sources.empty() ? randomPeer() : m_sources.front();
    if (!m_sources.empty())
        m_sources.pop_front();
    m_fetchDeadline = m_when.now + m_settings.fetchTimeout;
    addAction(fetch_from_peer{peer, currentNumber()});
}

void config_dissemination::on(const fetch_requested &event)
{
    if (event.above < currentNumber())
        addAction(send_body{event.peer, currentNumber(), m_document});
    else
        addAction(advertise_to_peer{event.peer, currentNumber()});
}

void config_dissemination::on(const body_received &event)
{
    m_fetchDeadline.reset();
    if (applyBody(event.number, event.document))
        recordPeerRevision(event.peer, event.number);
    else
        m_rejectionBackoff.failed(m_settings.fetchTimeout, kMaxRejectionBackoff, m_when.now, random());
}

bool config_dissemination::applyBody(std::uint64_t number, const shared_text &document)
{
    if (number <= currentNumber())
        return true;
    auto revision = std::make_shared<config_revision>();
    const auto rejection =
        document ? parseBody(number, *document, revision.get()) : std::optional(body_rejection::unparsable);
    if (rejection) {
        ++m_rejectedBodies[std::size_t(*rejection)];
        return false;
    }
    m_current = std::move(revision);
    m_document = document;
    m_highestKnown = std::max(m_highestKnown, number);
    m_rejectionBackoff = {};
    addAction(apply_revision{m_current});
    m_lostRevisions.recordApplied(number, document, m_when.now);
    advertiseToPeers();
    m_reports.push_back({{m_settings.name, number, m_when.wall}, false, m_when.now});
    if (m_reports.size() > kMaxOwnReports)
        m_reports.pop_front();
    sendReports();
    return true;
}

std::optional<body_rejection> config_dissemination::parseBody(std::uint64_t number, const std::string &document,
                                                              config_revision *out) const
{
    if (document.size() > kMaxDocumentBytes)
        return body_rejection::too_large;
    auto parsed = parseConfigDocument(document, "");
    if (!parsed.revision)
        return body_rejection::unparsable;
    if (parsed.revision->number != number)
        return body_rejection::number_mismatch;
    if (!validateAcceptedHeader(*parsed.revision).empty())
        return body_rejection::not_accepted;
    *out = std::move(*parsed.revision);
    return std::nullopt;
}

void config_dissemination::advertiseToPeers()
{
    std::set<node_id> chosen;
    const std::size_t count = std::min(kPushFanOut, m_peers.size());
    while (chosen.size() < count)
        chosen.insert(randomPeer());
    for (const auto peer : chosen)
        addAction(advertise_to_peer{peer, currentNumber()});
}

void config_dissemination::queryPeers()
{
    if (m_ready || m_peers.empty() || m_when.now < m_nextPeerQuery)
        return;
    m_nextPeerQuery = m_when.now + m_settings.fetchTimeout;
    for (std::size_t i = 0; i < kPeersForReadiness; ++i)
        addAction(fetch_from_peer{randomPeer(), kNumberOnly});
}

void config_dissemination::updateReadiness()
{
    const auto needed = std::min(kPeersForReadiness, m_peers.size());
    const bool informed = m_platformRead || (needed > 0 && m_peersWithRevision.size() >= needed);
    if (m_ready || !informed || currentNumber() < m_highestKnown)
        return;
    m_ready = true;
    m_peersWithRevision.clear();
}

void config_dissemination::on(const dissemination_tick &)
{
    if (m_recorderName.empty())
        updateRoles();
    queryPeers();
    watchIfDue();
    readPlatformIfDue();
    fetchIfLagging();
    sendReports();
    requestReports();
    writeRecords();
    writeLostRevisions();
}

} // namespace citroncrank
