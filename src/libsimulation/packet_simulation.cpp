#include "packet_simulation_pvt.h"

#include "packet_codec.h"
#include "request_fields.h"

#include <algorithm>
#include <utility>

namespace citroncrank::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxSeeds = 3;
constexpr std::uint16_t kNodeMessagePort = 7200;
constexpr std::uint16_t kAppPort = 8688;
constexpr std::uint32_t kSlots = 2;
constexpr duration kStepTime = milliseconds(1);
constexpr duration kAnnouncePeriod = milliseconds(300);
constexpr duration kChangePeriod = milliseconds(700);
constexpr duration kPowerLossTime = milliseconds(1100);
// Requests that begin after this time since power was restored must not be affected by the power loss.
constexpr duration kRecoveryTime = seconds(1);
constexpr duration kMinSnapshotInterval = milliseconds(200);
constexpr std::uint32_t kStoreWrites = 400;
constexpr duration kMaxSnapshotReadDelay = milliseconds(900);
// Time without new requests and changes, long enough for every caller to finish its last request.
constexpr duration kFinalTime = seconds(6);
constexpr duration kStabilizationTime = seconds(4);
const std::string kMainService = "bokunarkerfi";
const std::string kOtherService = "skjalaveita";
constexpr host_address kServiceAddress{0xC6120001, 443};

host_address balancerAddress(std::size_t index)
{
    return {std::uint32_t(0x0A010000 + index), kNodeMessagePort};
}

host_address agentAddress(std::size_t index)
{
    return {std::uint32_t(0x0A020000 + index), kNodeMessagePort};
}

struct upstream_host
{
    std::unique_ptr<standin_packet_upstream> upstream;
    std::string service;
    std::uint64_t startedAtMs = 0;
    std::uint64_t announcements = 0;
    bool isDraining = false;
    std::optional<time_point> drainConfirmedAt;
    std::set<flow_key> opened; ///< Flows whose opening packet it received.
};

/// State of one schedule.
class packet_simulation
{
public:
    explicit packet_simulation(const packet_schedule &schedule)
        : m_schedule(schedule)
        , m_random(schedule.seed)
    {
        for (std::size_t i = 0; i < m_schedule.agents; ++i) {
            m_hosts[i].service = i + 1 == m_schedule.agents ? kOtherService : kMainService;
            startUpstream(i);
            startAgent(i);
        }
        for (std::size_t i = 0; i < m_schedule.balancers; ++i)
            startBalancer(i);
        for (std::size_t i = 0; i < m_schedule.callers; ++i) {
            m_callers.push_back(std::make_unique<standin_packet_caller>(
                standin_caller_settings{.address = {std::uint32_t(0x64400000 + i), 0},
                                        .service = kServiceAddress,
                                        .requestsPerFlow = schedule.requestsPerFlow},
                m_random()));
        }
    }

    packet_outcome run(duration length)
    {
        const time_point end = m_now + length;
        const time_point last = end + kFinalTime;
        m_firstRequestAt = m_now + m_schedule.firstRequestAfter;
        if (m_schedule.powerLossAfter > duration(0)) {
            m_powerLostAt = m_now + m_schedule.powerLossAfter;
            m_powerRestoredAt = *m_powerLostAt + kPowerLossTime;
        }
        for (; m_now < last; m_now += kStepTime) {
            deliverDue();
            if (m_powerLostAt && m_now == m_powerRestoredAt)
                restartAll();
            step(m_now < end);
        }
        for (const auto &caller : m_callers) {
            m_outcome.answered += caller->counts().answered;
            m_outcome.wrongAnswers += caller->counts().wrong;
            m_outcome.timedOut += caller->counts().timedOut;
        }
        for (const auto &[index, host] : m_hosts)
            m_outcome.maxExcessRequests = std::max(m_outcome.maxExcessRequests, excessRequests(host));
        return m_outcome;
    }

private:
    static std::uint64_t excessRequests(const upstream_host &host)
    {
        const auto most = host.upstream->maxPendingRequests();
        return most > kSlots ? most - kSlots : 0;
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    /// Runs `arrive` after the delay of a datagram: once, twice if it is duplicated, or never if it is lost.
    void sendDatagram(const std::function<void()> &arrive)
    {
        const int copies = chance(m_schedule.loss) ? 0 : chance(m_schedule.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            schedule(m_now + kStepTime
                         + duration(std::int64_t(m_random() % std::uint64_t(m_schedule.maxDelay.count() + 1))),
                     arrive);
    }

    void schedule(time_point time, std::function<void()> run) { m_events.emplace(time, std::move(run)); }

    void deliverDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto run = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            run();
        }
    }

    std::vector<host_address> seeds() const
    {
        std::vector<host_address> result;
        for (std::size_t i = 0; i < std::min(kMaxSeeds, m_schedule.balancers); ++i)
            result.push_back(balancerAddress(i));
        return result;
    }

    bool hasPower() const { return !m_powerLostAt || m_now < *m_powerLostAt || m_now >= m_powerRestoredAt; }

    void restartAll()
    {
        for (std::size_t i = 0; i < m_schedule.agents; ++i) {
            startUpstream(i);
            startAgent(i);
        }
        for (std::size_t i = 0; i < m_schedule.balancers; ++i)
            startBalancer(i);
    }

    /// Time of day of all hosts.
    std::uint64_t unixMs() const { return std::uint64_t(wholeMilliseconds(m_now.time_since_epoch())); }

    void startUpstream(std::size_t index)
    {
        upstream_host &host = m_hosts[index];
        host.upstream = std::make_unique<standin_packet_upstream>(
            standin_upstream_settings{.id = "i-" + std::to_string(++m_startCount),
                                      .slots = kSlots,
                                      .processingTime = m_schedule.processingTime,
                                      .seed = m_random()});
        host.startedAtMs = unixMs();
        host.announcements = 0;
        host.isDraining = false;
        host.drainConfirmedAt = std::nullopt;
        host.opened.clear();
    }

    void startAgent(std::size_t index)
    {
        m_agentStartedAt[index] = m_now;
        m_agents[index] =
            std::make_unique<packet_agent>(packet_agent_settings{.self = agentAddress(index),
                                                                 .service = m_hosts[index].service,
                                                                 .domain = "a",
                                                                 .incarnation = ++m_startCount,
                                                                 .upstream = {agentAddress(index).ip, kAppPort},
                                                                 .seeds = seeds(),
                                                                 .announcementPeriod = kAnnouncePeriod,
                                                                 .flowLifetime = seconds(60),
                                                                 .minSnapshotInterval = kMinSnapshotInterval,
                                                                 .storeWritesPerSecond = kStoreWrites},
                                           platform::decodePacketHeader, platform::readRequestHead, m_now);
        readSnapshot(index);
    }

    void readSnapshot(std::size_t index)
    {
        const auto stored = m_snapshots.find(index);
        if (stored == m_snapshots.end() || chance(m_schedule.storeLoss))
            return;
        flow_snapshot snapshot = stored->second;
        if (m_schedule.baselineSnapshots)
            snapshot.upstreamStartedAtMs = 0;
        const packet_agent *const reader = m_agents[index].get();
        schedule(m_now + duration(std::int64_t(m_random() % std::uint64_t(kMaxSnapshotReadDelay.count()))),
                 [this, index, snapshot, reader] {
                     if (m_agents[index].get() != reader)
                         return;
                     packet_actions actions;
                     m_agents[index]->restore(snapshot, m_now, &actions);
                     m_outcome.restored += snapshot.flows.size();
                     perform(agentAddress(index), &actions);
                 });
    }

    void writeSnapshot(std::size_t index)
    {
        const auto due = m_schedule.usesSnapshots ? m_agents[index]->takeDueSnapshot(m_now) : std::nullopt;
        if (due && !chance(m_schedule.storeLoss))
            m_snapshots[index] = *due;
    }

    void startBalancer(std::size_t index)
    {
        m_balancers[index] = std::make_unique<packet_balancer>(packet_balancer_settings{.self = balancerAddress(index),
                                                                                        .http = {},
                                                                                        .domain = "a",
                                                                                        .incarnation = ++m_startCount,
                                                                                        .seeds = seeds(),
                                                                                        .flowLifetime = seconds(60),
                                                                                        .randomSeed = m_random()},
                                                               platform::decodePacketHeader, m_now);
        auto routes = std::make_shared<route_set>();
        routes->version = 3;
        routes->flowIdleTimeout = seconds(15);
        routes->routes[kServiceAddress] = {.name = "r", .address = kServiceAddress, .targets = {{kMainService, 1}}};
        packet_actions actions;
        m_balancers[index]->applyRoutes(routes, m_now, &actions);
        std::vector<listed_node> nodes;
        for (std::size_t i = 0; i < m_schedule.balancers; ++i)
            nodes.push_back({balancerAddress(i), false, {}, "a"});
        for (std::size_t i = 0; i < m_schedule.agents; ++i)
            nodes.push_back({agentAddress(i), true, m_hosts[i].service, "a"});
        m_balancers[index]->applyListing(nodes, m_now, &actions);
        perform(balancerAddress(index), &actions);
    }

    void count(const packet_action &action)
    {
        if (const auto *const sent = std::get_if<send_to_node>(&action))
            m_outcome.ownerQueries += std::holds_alternative<owner_query>(sent->message) ? 1 : 0;
        else if (const auto *const line = std::get_if<log_decision>(&action))
            m_outcome.ownerSearches += line->text.find("step=likely") == std::string::npos ? 0 : 1;
    }

    void perform(const host_address &from, packet_actions *actions)
    {
        for (packet_action &action : std::exchange(*actions, {})) {
            count(action);
            if (auto *const sent = std::get_if<send_to_node>(&action))
                sendDatagram([this, from, sent = std::move(*sent)] { toNode(from, sent.to, sent.message); });
            else if (auto *const delivered = std::get_if<deliver_to_upstream>(&action))
                toUpstream(from.ip - agentAddress(0).ip, delivered->packetBytes);
            else if (auto *const answered = std::get_if<send_to_caller>(&action))
                toCaller(answered->caller, answered->packetBytes);
            else if (const auto *const reset = std::get_if<reset_flow>(&action))
                toCallerReset(*reset);
        }
    }

    void toNode(const host_address &from, const host_address &to, const node_message &message)
    {
        if (!hasPower())
            return;
        packet_actions actions;
        const auto agent = m_agents.find(to.ip - agentAddress(0).ip);
        const auto balancer = m_balancers.find(to.ip - balancerAddress(0).ip);
        if (agent != m_agents.end())
            agent->second->message(from, message, m_now, &actions);
        else if (balancer != m_balancers.end())
            balancer->second->message(from, message, m_now, &actions);
        perform(to, &actions);
    }

    void toUpstream(std::size_t index, const std::string &bytes)
    {
        upstream_host &host = m_hosts[index];
        const auto header = platform::decodePacketHeader(bytes);
        if (host.service != kMainService)
            ++m_outcome.wrongServicePackets;
        if (header->open) {
            const bool isNew = !host.opened.contains(flowFromCaller(*header));
            const bool isDraining = isNew && host.drainConfirmedAt.has_value();
            // An agent that has just restarted may not know of the drain yet, and accepts a flow that no other agent
            // can accept. The platform's rule exempts hosts that were restarted within kStabilizationTime.
            const bool isStabilized = m_now - m_agentStartedAt[index] > kStabilizationTime;
            if (isDraining && isStabilized && m_now - *host.drainConfirmedAt > m_schedule.drainGracePeriod)
                ++m_outcome.opensAfterDrain;
            host.opened.insert(flowFromCaller(*header));
        }
        host.upstream->receive({*header, bytes}, m_now);
    }

    void toCaller(const host_address &address, const std::string &bytes)
    {
        sendDatagram([this, address, bytes] {
            const auto header = platform::decodePacketHeader(bytes);
            callerAt(address).receive({*header, bytes}, m_now);
        });
    }

    standin_packet_caller &callerAt(const host_address &address) { return *m_callers.at(address.ip - 0x64400000); }

    // A reset is false if the flow is open at its caller and a running upstream would still accept its packets.
    void toCallerReset(const reset_flow &reset)
    {
        const bool isOpen = callerAt(reset.flow.caller).holdsOpen(reset.flow);
        const bool isHeld = std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
            return entry.second.upstream->holds(reset.flow, callerAt(reset.flow.caller).expectedNext());
        });
        if (isOpen && isHeld)
            ++m_outcome.falseResets;
        toCaller(reset.flow.caller, platform::encodeReset(reset.flow, reset.sequence));
    }

    void step(bool isRunning)
    {
        if (isRunning && m_now >= m_nextChange) {
            injectChanges();
            m_nextChange = m_now + kChangePeriod;
        }
        for (std::size_t i = 0; i < m_schedule.agents && hasPower(); ++i)
            stepHost(i);
        for (std::size_t i = 0; i < m_schedule.balancers && hasPower(); ++i)
            stepBalancer(i);
        for (std::size_t i = 0; i < m_schedule.callers; ++i)
            stepCaller(i, isRunning);
    }

    void stepHost(std::size_t index)
    {
        upstream_host &host = m_hosts[index];
        packet_actions actions;
        host.upstream->advance(m_now);
        for (const std::string &bytes : host.upstream->takeOutgoing()) {
            const auto header = platform::decodePacketHeader(bytes);
            packet content{*header, bytes};
            if (header->returned)
                platform::clearReturnFields(&content.bytes);
            m_agents[index]->upstreamPacket(content, m_now, &actions);
        }
        if (m_now >= m_nextAnnounce[index]) {
            announce(index, &actions);
            m_nextAnnounce[index] = m_now + kAnnouncePeriod;
        }
        if (m_now.time_since_epoch() % kAgentTick == duration(0))
            m_agents[index]->advance(m_now, &actions);
        perform(agentAddress(index), &actions);
        writeSnapshot(index);
    }

    void announce(std::size_t index, packet_actions *actions)
    {
        upstream_host &host = m_hosts[index];
        const auto result = m_agents[index]->announce({.id = "i",
                                                       .service = host.service,
                                                       .address = {agentAddress(index).ip, kAppPort},
                                                       .version = "v1",
                                                       .slots = kSlots,
                                                       .isDraining = host.isDraining,
                                                       .number = ++host.announcements,
                                                       .startedAtMs = host.startedAtMs,
                                                       .receivedAtMs = unixMs()},
                                                      m_now, actions);
        if (host.isDraining && result == announcement_result::accepted && !host.drainConfirmedAt)
            host.drainConfirmedAt = m_now;
    }

    void stepBalancer(std::size_t index)
    {
        if (m_now.time_since_epoch() % kBalancerTick != duration(0))
            return;
        packet_actions actions;
        m_balancers[index]->advance(m_now, &actions);
        perform(balancerAddress(index), &actions);
    }

    void stepCaller(std::size_t index, bool isRunning)
    {
        standin_packet_caller &caller = *m_callers[index];
        caller.advance(m_now);
        for (const standin_caller_event &event : caller.takeEvents()) {
            if (event.what == standin_caller_event::kind::answered)
                countAnswer();
            const bool isLoss = event.what == standin_caller_event::kind::reset && !event.isIdle;
            if (isLoss && m_powerLostAt && event.began >= m_powerRestoredAt + kRecoveryTime)
                ++m_outcome.resetsAfterRecovery;
        }
        const bool mayBegin = isRunning && m_now >= m_firstRequestAt;
        if (mayBegin && caller.isIdle() && m_now.time_since_epoch() % m_schedule.requestPause == duration(0))
            caller.begin(m_now);
        for (const std::string &bytes : caller.takeOutgoing()) {
            const auto header = platform::decodePacketHeader(bytes);
            const std::size_t balancer = (header->source.port + m_routingShift) % m_schedule.balancers;
            sendDatagram([this, balancer, bytes] { fromCaller(balancer, bytes); });
        }
    }

    void countAnswer()
    {
        if (!m_powerLostAt || m_now < m_powerRestoredAt)
            return;
        const auto second = std::size_t((m_now - m_powerRestoredAt) / seconds(1));
        if (second < m_outcome.answeredAfterRecovery.size())
            ++m_outcome.answeredAfterRecovery[second];
    }

    void fromCaller(std::size_t balancer, const std::string &bytes)
    {
        if (!hasPower())
            return;
        const auto header = platform::decodePacketHeader(bytes);
        if (m_schedule.baselineBalancers) {
            forwardByHash(balancer, *header, bytes);
            return;
        }
        packet_actions actions;
        m_balancers[balancer]->callerPacket({*header, bytes}, m_now, &actions);
        perform(balancerAddress(balancer), &actions);
    }

    void forwardByHash(std::size_t balancer, const packet_header &header, const std::string &bytes)
    {
        const auto agents = m_balancers[balancer]->agents().candidates({kMainService, "a", flowFromCaller(header)}, {},
                                                                       m_schedule.agents, m_now, &m_random);
        if (agents.empty())
            return;
        auto sorted = agents;
        std::sort(sorted.begin(), sorted.end());
        const host_address chosen = sorted[hashPair(header.source.ip, header.source.port) % sorted.size()];
        sendDatagram([this, chosen, bytes] { toUpstream(chosen.ip - agentAddress(0).ip, bytes); });
    }

    void injectChanges()
    {
        const std::size_t agent = m_random() % (m_schedule.agents - 1);
        if (m_schedule.replacesBalancers && chance(0.5))
            startBalancer(m_random() % m_schedule.balancers);
        if (m_schedule.changesRouting && chance(0.5))
            ++m_routingShift;
        if (m_schedule.restartsAgents && chance(0.5))
            startAgent(agent);
        if (m_schedule.crashesUpstreams && chance(0.3))
            startUpstream(agent);
        if (m_schedule.drainsUpstreams && chance(0.5))
            advanceDrain(agent);
    }

    // The first call starts the drain, unless another upstream drains; the second one replaces the upstream. In between
    // it serves its open flows.
    void advanceDrain(std::size_t index)
    {
        upstream_host &host = m_hosts[index];
        if (!host.isDraining) {
            const auto draining = std::count_if(m_hosts.begin(), m_hosts.end(),
                                                [](const auto &entry) { return entry.second.isDraining; });
            host.isDraining = draining == 0;
            return;
        }
        packet_actions actions;
        m_agents[index]->leave({.id = "i", .startedAtMs = host.startedAtMs}, m_now, &actions);
        perform(agentAddress(index), &actions);
        startUpstream(index);
    }

    packet_schedule m_schedule;
    std::mt19937_64 m_random;
    time_point m_now{seconds(100)};
    time_point m_nextChange{seconds(102)};
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::size_t, upstream_host> m_hosts;
    std::map<std::size_t, time_point> m_nextAnnounce;
    std::map<std::size_t, time_point> m_agentStartedAt;
    std::map<std::size_t, std::unique_ptr<packet_agent>> m_agents;
    std::map<std::size_t, flow_snapshot> m_snapshots; ///< Contents of the object store.
    std::map<std::size_t, std::unique_ptr<packet_balancer>> m_balancers;
    std::vector<std::unique_ptr<standin_packet_caller>> m_callers;
    time_point m_firstRequestAt;
    std::optional<time_point> m_powerLostAt;
    time_point m_powerRestoredAt;
    std::uint64_t m_startCount = 0;
    std::size_t m_routingShift = 0;
    packet_outcome m_outcome;
};

} // namespace

packet_outcome runPacketSchedule(const packet_schedule &schedule, duration length)
{
    return packet_simulation(schedule).run(length);
}

} // namespace citroncrank::simulation
