#include "scenario.h"

#include <deque>

namespace citroncrank::bench {

namespace {

using std::chrono::seconds;

constexpr duration kOpenPhaseLength = seconds(110); // spans two changes, so that sessions open while upstreams drain
constexpr duration kRunLength = seconds(200);
constexpr duration kMeanFrameInterval = seconds(15);
constexpr duration kChangeInterval = seconds(60);
constexpr duration kFirstChangeTime = seconds(40);
constexpr double kSessionLoad = 0.5; // leaves free connections for new sessions while upstreams drain

/// Keeps sessions open across planned changes, each of which replaces `size` upstreams and as many balancers.
class session_run
{
public:
    explicit session_run(const run_request &request)
        : m_request(request)
        , m_model(request.plan, request.plan.mainService, request.policy, request.seed)
        , m_flowTables(m_model.balancers.size())
    {
        for (std::size_t index = 0; index < m_model.upstreams.size(); ++index)
            addAgent();
    }

    measured_row run()
    {
        const auto &service = m_model.service;
        const auto count = std::size_t(double(service.upstreams * service.connections) * kSessionLoad);
        for (std::size_t index = 0; index < count; ++index) {
            const duration opens{std::int64_t(m_model.random.uniform() * double(kOpenPhaseLength.count()))};
            m_model.events.after(opens, [this, index] { open(index, 0); });
        }
        m_sessions.resize(count);
        for (std::size_t index = 0; index < count; ++index)
            m_sessions[index].id = makeFlowId(m_model.random.next(), index % 3, index + 1);
        m_model.events.at(time_point(kFirstChangeTime), [this] { change(0); });
        m_model.events.runUntil(time_point(kRunLength));
        return row();
    }

private:
    struct session
    {
        flow_id id;
        std::optional<std::size_t> owner;
        bool broken = false;
    };

    bool carriesOwner() const { return m_request.policyName == "late_binding"; }

    void addAgent()
    {
        const auto &service = m_model.service;
        m_agents.emplace_back(
            admission_settings{.slots = service.slots, .connections = service.connections, .warmUp = duration(0)});
        m_agents.back().setServing(serving_state::ready, m_model.events.now());
    }

    void open(std::size_t index, int attempt)
    {
        auto &each = m_sessions[index];
        const auto over = m_model.randomBalancer();
        const auto chosen = carriesOwner() ? choose(over, each) : byHash(over, each);
        if (!chosen)
            return;
        const auto now = m_model.events.now();
        const auto result =
            m_agents[*chosen].request({.flow = each.id, .edge = 1, .kind = flow_kind::session, .arrival = now}, now);
        if (!std::holds_alternative<granted>(result)) {
            ++m_refusedOpens;
            if (attempt < 20)
                m_model.events.after(std::chrono::milliseconds(50),
                                     [this, index, attempt] { open(index, attempt + 1); });
            return;
        }
        m_openedWhileDraining += m_model.upstreams[*chosen].member.serving == serving_state::ready ? 0 : 1;
        each.owner = *chosen;
        m_flowTables[over].insert_or_assign(each.id, *chosen);
        scheduleFrame(index);
    }

    void scheduleFrame(std::size_t index)
    {
        m_model.events.after(m_model.random.exponential(kMeanFrameInterval), [this, index] { frame(index); });
    }

    // A frame of an open session reaches a random balancer, which forwards it to the owner named in the frame or, for
    // the baselines, to the upstream that its flow table or the hash selects.
    void frame(std::size_t index)
    {
        auto &each = m_sessions[index];
        const auto over = m_model.randomBalancer();
        std::optional<std::size_t> receiver = each.owner;
        if (!carriesOwner())
            receiver = m_request.policyName == "hashing" ? byHash(over, each) : byFlowTable(over, each);
        // An upstream other than the owner has no state of the session.
        if (!receiver || *receiver != *each.owner) {
            each.broken = true;
            return;
        }
        scheduleFrame(index);
    }

    std::optional<std::size_t> choose(std::size_t over, const session &each)
    {
        auto &balancer = m_model.balancers[over];
        const candidate_query query{.service = m_model.service.name,
                                    .flow = each.id,
                                    .kind = flow_kind::session,
                                    .ownDomain = m_model.upstreams[balancer.domain].member.domain,
                                    .choices = m_model.policy.choices};
        const auto now = m_model.events.now();
        const auto chosen = chooseCandidate(*balancer.table, balancer.hints, query, now, nullptr);
        if (!chosen)
            return std::nullopt;
        const auto upstream = m_model.upstreamOf.at(chosen->agent);
        balancer.hints.reported(chosen->agent, m_agents[upstream].load(now), now);
        return upstream;
    }

    std::optional<std::size_t> byHash(std::size_t over, const session &each) const
    {
        std::optional<std::size_t> best;
        std::uint64_t bestScore = 0;
        for (const auto &record : m_model.balancers[over].table->ofService(m_model.service.name)) {
            if (record.serving != serving_state::ready)
                continue;
            const auto score = hashPair(each.id.high ^ each.id.low, record.agent);
            if (!best || score < bestScore) {
                best = m_model.upstreamOf.at(record.agent);
                bestScore = score;
            }
        }
        return best;
    }

    std::optional<std::size_t> byFlowTable(std::size_t over, const session &each)
    {
        const auto chosen = byHash(over, each);
        if (!chosen)
            return std::nullopt;
        return m_flowTables[over].try_emplace(each.id, *chosen).first->second;
    }

    // Planned change: an upstream drains and keeps its sessions, an upstream is added, and a balancer restarts without
    // its load hints and flow table.
    void change(std::size_t number)
    {
        for (std::size_t step = 0; step < m_request.size; ++step) {
            const auto leaving = number * m_request.size + step;
            m_agents[leaving].setServing(serving_state::draining, m_model.events.now());
            m_model.announce(leaving, serving_state::draining);
            m_model.addUpstream();
            addAgent();
            const auto replaced = leaving % m_model.balancers.size();
            m_model.balancers[replaced].hints = load_hints(m_request.policy.hints);
            m_flowTables[replaced].clear();
        }
        m_model.events.after(kChangeInterval, [this, number] { change(number + 1); });
    }

    measured_row row() const
    {
        double broken = 0;
        double opened = 0;
        for (const auto &each : m_sessions) {
            broken += each.broken ? 1 : 0;
            opened += each.owner ? 1 : 0;
        }
        return {m_request.plan.name,
                m_request.scenario,
                m_request.size,
                m_request.policyName,
                m_request.seed,
                {{"broken_per_100k", broken / std::max(opened, 1.0) * 100'000},
                 {"never_opened", double(m_sessions.size()) - opened},
                 {"refused_opens", double(m_refusedOpens)},
                 {"opened_draining", double(m_openedWhileDraining)}}};
    }

    run_request m_request;
    queueing_model m_model;
    std::deque<admission_queue> m_agents;
    std::vector<session> m_sessions;
    std::vector<absl::flat_hash_map<flow_id, std::size_t, flow_hash>> m_flowTables;
    std::uint64_t m_refusedOpens = 0;
    std::uint64_t m_openedWhileDraining = 0;
};

} // namespace

measured_row runSessionChanges(const run_request &request)
{
    return session_run(request).run();
}

} // namespace citroncrank::bench
