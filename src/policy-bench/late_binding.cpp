#include "queueing_model.h"

#include <algorithm>

namespace citroncrank::bench {

namespace {

/// Policy under test: open, offer and bind (section 2.2 of the design page) with the admission and routing libraries.
class late_binding : public flow_policy
{
public:
    explicit late_binding(queueing_model *model)
        : m_model(*model)
        , m_retries(3, std::vector<retry_budget>(kFlowClassCount, retry_budget(model->policy.retries)))
    {
        for (const auto &host : m_model.upstreams) {
            auto settings = m_model.policy.admission;
            settings.slots = host.member.slots;
            settings.connections = host.member.connections;
            settings.queueLimit = std::uint16_t(host.member.slots * m_model.policy.queuePerSlot);
            m_agents.push_back({admission_queue(settings), std::nullopt});
            // Upstreams present at the start of the run are warm.
            m_agents.back().queue.setServing(serving_state::ready, m_model.events.now() - settings.warmUp);
        }
    }

    void arrive(request_flow *flow) override
    {
        m_flows.emplace(flow->id, edge_flow{.flow = flow});
        sendOpen(flow->id);
    }

    void servingChanged(std::size_t upstream, serving_state serving) override
    {
        m_agents[upstream].queue.setServing(serving, m_model.events.now());
        advance(upstream);
    }

    std::uint32_t heldSlots() const override
    {
        std::uint32_t total = 0;
        for (const auto &agent : m_agents)
            total += agent.queue.load(m_model.events.now()).busySlots;
        return total;
    }

private:
    struct agent_state
    {
        admission_queue queue;
        std::optional<time_point> timer;
    };
    struct edge_flow
    {
        request_flow *flow = nullptr;
        std::vector<node_id> tried;
        std::vector<std::size_t> waitingAt;
        std::uint32_t opensInFlight = 0;
    };

    static reservation_key keyOf(flow_id id) { return {id, 1}; }
    node_id agentOf(std::size_t upstream) const { return memberNodeId(m_model.upstreams[upstream].member); }
    std::size_t domainOf(std::size_t upstream) const { return m_model.upstreams[upstream].domain; }

    void sendOpen(flow_id id)
    {
        auto &edge = m_flows.at(id);
        ++edge.opensInFlight;
        const auto over = m_model.balancerFor(edge.flow->edgeDomain);
        const auto delay = m_model.delay(edge.flow->edgeDomain, m_model.balancers[over].domain);
        m_model.events.after(delay,
                             [=, this, flow = edge.flow, tried = edge.tried] { forwardOpen(over, flow, tried); });
    }

    void forwardOpen(std::size_t over, request_flow *flow, const std::vector<node_id> &tried)
    {
        auto &balancer = m_model.balancers[over];
        const candidate_query query{.service = m_model.service.name,
                                    .flow = flow->id,
                                    .flowClass = flow->flowClass,
                                    .tried = tried,
                                    .ownDomain = m_model.upstreams[balancer.domain].member.domain,
                                    .choices = m_model.policy.choices};
        const auto chosen = chooseCandidate(*balancer.table, balancer.hints, query, m_model.events.now(), nullptr);
        if (!chosen) {
            const refusal none{refusal_reason::no_upstream, std::chrono::milliseconds(20)};
            m_model.events.after(m_model.delay(balancer.domain, flow->edgeDomain),
                                 [this, id = flow->id, none] { refused(id, std::nullopt, none); });
            return;
        }
        balancer.hints.opened(chosen->agent, m_model.events.now());
        const auto upstream = m_model.upstreamOf.at(chosen->agent);
        m_model.events.after(
            m_model.delay(balancer.domain, domainOf(upstream)),
            [=, this, attempt = std::uint8_t(tried.size())] { openAtAgent(over, upstream, flow, attempt); });
    }

    void openAtAgent(std::size_t over, std::size_t upstream, request_flow *flow, std::uint8_t attempt)
    {
        const auto now = m_model.events.now();
        if (!flow->firstAtQueue)
            flow->firstAtQueue = now;
        const auto result = m_agents[upstream].queue.request(
            {.flow = flow->id,
             .edge = 1,
             .flowClass = flow->flowClass,
             .arrival = now,
             .deadline = flow->deadline,
             .attempt = std::uint8_t(m_flows.contains(flow->id) ? m_flows.at(flow->id).tried.size() : 0)},
            now);
        reply(over, upstream, flow->id, result);
        advance(upstream);
    }

    // The answer passes the balancer, which reads the load report on it.
    void reply(std::size_t over, std::size_t upstream, flow_id id, const admission_result &result)
    {
        const auto answeredAt = m_model.events.now();
        const auto load = m_model.reportedLoad(upstream, m_agents[upstream].queue.load(answeredAt));
        const auto domain = m_model.balancers[over].domain;
        m_model.events.after(m_model.delay(domainOf(upstream), domain), [=, this] {
            auto &hints = m_model.balancers[over].hints;
            hints.reported(agentOf(upstream), load, m_model.events.now());
            if (const auto *waiting = std::get_if<queued>(&result))
                hints.queuedAt(agentOf(upstream), waiting->position, m_model.events.now());
            m_model.events.after(m_model.delay(domain, edgeDomainOf(id)),
                                 [=, this] { answered(id, upstream, result, answeredAt); });
        });
    }

    void answered(flow_id id, std::size_t upstream, const admission_result &result, time_point answeredAt)
    {
        if (const auto *refusedBy = std::get_if<refusal>(&result)) {
            refused(id, upstream, *refusedBy);
            return;
        }
        const auto found = m_flows.find(id);
        if (found == m_flows.end()) {
            cancel(id, upstream); // bound to another upstream, or abandoned
            return;
        }
        if (std::holds_alternative<granted>(result))
            bind(id, upstream, answeredAt);
        else
            recordQueued(id, upstream);
    }

    void recordQueued(flow_id id, std::size_t upstream)
    {
        auto &edge = m_flows.at(id);
        --edge.opensInFlight;
        // Two opens of a flow that reached the same agent share one queue entry there.
        if (std::find(edge.waitingAt.begin(), edge.waitingAt.end(), upstream) == edge.waitingAt.end())
            edge.waitingAt.push_back(upstream);
        edge.tried.push_back(agentOf(upstream));
        if (edge.waitingAt.size() + edge.opensInFlight < m_model.policy.fanOut)
            sendOpen(id);
    }

    void bind(flow_id id, std::size_t upstream, time_point grantedAt)
    {
        const auto edge = m_flows.at(id);
        m_flows.erase(id);
        m_boundAt.emplace(id, upstream);
        for (const auto other : edge.waitingAt) {
            if (other != upstream)
                cancel(id, other);
        }
        edge.flow->queueWait = grantedAt - *edge.flow->firstAtQueue;
        m_model.viaBalancer(edge.flow->edgeDomain, domainOf(upstream), [this, flow = edge.flow, upstream] {
            m_model.serve(upstream, flow, [this, flow, upstream] { ended(flow, upstream); });
        });
    }

    void ended(request_flow *flow, std::size_t upstream)
    {
        const auto now = m_model.events.now();
        m_agents[upstream].queue.release(keyOf(flow->id), now);
        m_boundAt.erase(flow->id);
        m_retries[flow->edgeDomain][std::size_t(flow->flowClass)].onSuccess();
        // The response carries a load report, which the forwarding balancer records.
        const auto over = m_model.balancerFor(flow->edgeDomain);
        const auto load = m_model.reportedLoad(upstream, m_agents[upstream].queue.load(now));
        m_model.events.after(m_model.delay(domainOf(upstream), m_model.balancers[over].domain), [=, this] {
            m_model.balancers[over].hints.reported(agentOf(upstream), load, m_model.events.now());
        });
        advance(upstream);
    }

    void cancel(flow_id id, std::size_t upstream)
    {
        if (const auto bound = m_boundAt.find(id); bound != m_boundAt.end() && bound->second == upstream)
            return; // repeated reply of the agent that owns the flow
        m_model.viaBalancer(edgeDomainOf(id), domainOf(upstream), [this, id, upstream] {
            m_agents[upstream].queue.cancel(keyOf(id), m_model.events.now());
            advance(upstream);
        });
    }

    void refused(flow_id id, std::optional<std::size_t> upstream, const refusal &cause)
    {
        const auto found = m_flows.find(id);
        if (found == m_flows.end())
            return;
        auto &edge = found->second;
        const auto waiting =
            upstream ? std::find(edge.waitingAt.begin(), edge.waitingAt.end(), *upstream) : edge.waitingAt.end();
        if (waiting != edge.waitingAt.end())
            edge.waitingAt.erase(waiting);
        else
            --edge.opensInFlight;
        if (upstream)
            edge.tried.push_back(agentOf(*upstream));
        if (edge.opensInFlight + edge.waitingAt.size() > 0)
            return;
        retry(id, cause);
    }

    void retry(flow_id id, const refusal &cause)
    {
        auto &edge = m_flows.at(id);
        auto &budget = m_retries[edge.flow->edgeDomain][std::size_t(edge.flow->flowClass)];
        const bool allTried = cause.reason == refusal_reason::no_upstream;
        const duration wait = allTried ? duration(cause.retryAfter) : duration(0);
        if (m_model.events.now() + wait >= edge.flow->deadline || !budget.trySpend()) {
            m_flows.erase(id);
            return;
        }
        if (allTried)
            edge.tried.clear();
        ++edge.opensInFlight;
        m_model.events.after(wait, [this, id] {
            --m_flows.at(id).opensInFlight;
            sendOpen(id);
        });
    }

    void advance(std::size_t upstream)
    {
        auto &agent = m_agents[upstream];
        const auto now = m_model.events.now();
        for (const auto &event : agent.queue.advance(now)) {
            admission_result result = granted{};
            if (const auto *cause = std::get_if<refusal>(&event.outcome))
                result = *cause;
            reply(m_model.balancerFor(edgeDomainOf(event.key.flow)), upstream, event.key.flow, result);
        }
        const auto next = agent.queue.nextDeadline();
        if (!next || (agent.timer && *agent.timer <= *next && *agent.timer > now))
            return;
        agent.timer = *next;
        m_model.events.at(*next, [this, upstream, when = *next] {
            if (m_agents[upstream].timer == when)
                advance(upstream);
        });
    }

    queueing_model &m_model;
    std::vector<agent_state> m_agents;
    absl::flat_hash_map<flow_id, edge_flow, flow_hash> m_flows;
    absl::flat_hash_map<flow_id, std::size_t, flow_hash> m_boundAt;
    std::vector<std::vector<retry_budget>> m_retries; ///< Per failure domain of the edge and class.
};

} // namespace

std::unique_ptr<flow_policy> makeLateBinding(queueing_model *model)
{
    return std::make_unique<late_binding>(model);
}

} // namespace citroncrank::bench
