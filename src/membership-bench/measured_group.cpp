#include "measured_group.h"

#include <ctime>
#include <utility>

namespace citroncrank {

namespace {

constexpr std::uint32_t kFirstAddress = 0x0A000000U;
constexpr duration kOneWayDelay = std::chrono::milliseconds(4);

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) / 1e9;
}

} // namespace

measured_group::measured_group(std::size_t size, double loss, std::uint64_t seed)
    : m_random(seed)
    , m_loss(loss)
    , m_codec({{1, "0123456789abcdef"}, std::nullopt})
    , m_nodes(size)
    , m_stopped(size, false)
    , m_incarnations(size, 1796000000000000)
    , m_nextTickAt(size, time_point::max())
{
    for (std::size_t index = 0; index < size; ++index)
        start(index);
    fillMemberTables();
}

/// Names and services have realistic lengths, since they determine the record size.
member_record measured_group::makeRecord(std::size_t index) const
{
    const bool balancer = index % 6 == 0;
    const std::string domain = "domain-" + std::to_string(index % 6);
    return {.name = (balancer ? "balancer-" : "agent-") + std::to_string(10000 + index) + "." + domain,
            .role = balancer ? node_role::balancer : node_role::agent,
            .incarnation = m_incarnations[index],
            .address = {kFirstAddress + std::uint32_t(index), 7000},
            .region = "region-" + std::to_string(index % 6 / 3),
            .domain = domain,
            .service = balancer ? "" : "service-" + std::to_string(index % 460),
            .serving = serving_state::ready,
            .slots = std::uint16_t(balancer ? 0 : 7),
            .connections = balancer ? 0U : 2000U,
            .configRevision = 4711};
}

void measured_group::start(std::size_t index)
{
    m_stopped[index] = false;
    m_nodes[index] = std::make_unique<membership>(makeRecord(index), membership_settings{}, m_random(), m_now);
    m_nextTickAt[index] = time_point::max();
    performActions(index);
}

/// Gives each instance the complete member table, as one synchronisation would, since a simultaneous join of all
/// members is not to be measured.
void measured_group::fillMemberTables()
{
    const gossip_message empty{
        .kind = gossip_kind::sync_records, .sender = "table", .senderAddress = {1, 1}, .digests = {0}};
    auto message = empty;
    std::vector<gossip_message> parts;
    for (std::size_t index = 0; index < size(); ++index) {
        message.records.push_back(makeRecord(index));
        if (message.records.size() == 400 || index + 1 == size())
            parts.push_back(std::exchange(message, empty));
    }
    for (auto &node : m_nodes) {
        for (const auto &part : parts)
            node->onMessage(part, part.senderAddress, m_now);
        node->takeActions();
    }
}

void measured_group::restart(std::size_t index)
{
    ++m_incarnations[index];
    start(index);
    std::vector<host_address> seeds;
    for (std::uint32_t seed = 0; seed < 16 && seed < size(); ++seed)
        seeds.push_back({kFirstAddress + seed, 7000});
    m_nodes[index]->addSeeds(seeds);
}

void measured_group::drain(std::size_t index)
{
    m_nodes[index]->setLocal({.serving = serving_state::draining}, m_now);
    performActions(index);
}

bool measured_group::knownToAll(std::size_t index, const std::function<bool(const member_record &)> &predicate) const
{
    const auto name = makeRecord(index).name;
    for (std::size_t observer = 0; observer < size(); ++observer) {
        if (observer == index || m_stopped[observer])
            continue;
        const auto view = m_nodes[observer]->find(name);
        if (!view || !predicate(view->record))
            return false;
    }
    return true;
}

void measured_group::run(duration length)
{
    const auto end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto item = m_events.top();
        m_events.pop();
        m_now = item.at;
        if (!m_stopped[item.node])
            step(item);
    }
    m_now = end;
}

void measured_group::step(const event &item)
{
    auto &node = *m_nodes[item.node];
    const double before = processorSeconds();
    if (item.message != nullptr) {
        node.onMessage(*item.message, item.message->senderAddress, m_now);
    } else {
        m_nextTickAt[item.node] = time_point::max();
        if (m_now >= node.nextDeadline())
            node.onTick(m_now);
    }
    cost.processorSeconds += processorSeconds() - before;
    performActions(item.node);
}

void measured_group::performActions(std::size_t index)
{
    for (const auto &action : m_nodes[index]->takeActions())
        if (const auto *sent = std::get_if<send_gossip>(&action))
            transmit(*sent);
    const auto tickAt = std::max(m_nodes[index]->nextDeadline(), m_now + std::chrono::milliseconds(1));
    if (tickAt >= m_nextTickAt[index])
        return;
    m_nextTickAt[index] = tickAt;
    m_events.push({tickAt, ++m_lastSequence, index, nullptr});
}

void measured_group::transmit(const send_gossip &sent)
{
    const double before = processorSeconds();
    std::string bytes;
    m_codec.encode({.body = sent.message}, &bytes);
    cost.encodeSeconds += processorSeconds() - before;
    (sent.reliable ? cost.syncBytes : cost.datagramBytes) += bytes.size();
    ++cost.messages;
    const std::size_t receiver = sent.to.ip - kFirstAddress;
    if (receiver >= size() || (!sent.reliable && double(m_random() >> 11U) / 9007199254740992.0 < m_loss))
        return;
    m_events.push(
        {m_now + kOneWayDelay, ++m_lastSequence, receiver, std::make_shared<const gossip_message>(sent.message)});
}

} // namespace citroncrank
