#include "queueing_model.h"

#include <deque>

namespace citroncrank::bench {

namespace {

/// Baselines: the balancer chooses an upstream once, and the request waits there in a FIFO queue.
class direct_choice : public flow_policy
{
public:
    direct_choice(queueing_model *model, direct_rule rule)
        : m_model(*model)
        , m_rule(rule)
        , m_queues(model->upstreams.size())
    {}

    void arrive(request_flow *flow) override { send(flow, 0); }
    void servingChanged(std::size_t, serving_state) override {}
    std::uint32_t heldSlots() const override
    {
        std::uint32_t total = 0;
        for (const auto &queue : m_queues)
            total += queue.running;
        return total;
    }

private:
    struct fifo_queue
    {
        std::deque<request_flow *> waiting;
        std::uint32_t running = 0;
    };

    // A request that reaches an upstream after it began to drain is retried, as a plain proxy does.
    static constexpr int kMaxAttempts = 3;

    void send(request_flow *flow, int attempt)
    {
        const auto over = m_model.balancerFor(flow->edgeDomain);
        const auto delay = m_model.delay(flow->edgeDomain, m_model.balancers[over].domain);
        m_model.events.after(delay, [this, over, flow, attempt] { forward(over, flow, attempt); });
    }

    void forward(std::size_t over, request_flow *flow, int attempt)
    {
        auto &balancer = m_model.balancers[over];
        std::vector<std::size_t> ready;
        for (const auto &record : balancer.table->ofService(m_model.service.name)) {
            if (record.serving == serving_state::ready)
                ready.push_back(m_model.upstreamOf.at(record.agent));
        }
        if (ready.empty())
            return;
        const auto upstream = ready[choose(&balancer, ready, *flow, attempt)];
        m_model.events.after(m_model.delay(balancer.domain, m_model.upstreams[upstream].domain),
                             [this, upstream, flow, attempt] { enqueue(upstream, flow, attempt); });
    }

    std::size_t choose(balancer_host *balancer, const std::vector<std::size_t> &ready, const request_flow &flow,
                       int attempt)
    {
        switch (m_rule) {
        case direct_rule::random:
            return m_model.random.below(ready.size());
        case direct_rule::round_robin:
            return balancer->nextRoundRobin++ % ready.size();
        case direct_rule::hashing:
            break;
        }
        std::size_t best = 0;
        for (std::size_t index = 1; index < ready.size(); ++index) {
            if (scoreOf(flow, ready[index], attempt) < scoreOf(flow, ready[best], attempt))
                best = index;
        }
        return best;
    }

    static std::uint64_t scoreOf(const request_flow &flow, std::size_t upstream, int attempt)
    {
        return hashPair(flow.id.low ^ flow.id.high, upstream, std::uint64_t(attempt));
    }

    void enqueue(std::size_t upstream, request_flow *flow, int attempt)
    {
        auto &queue = m_queues[upstream];
        const auto &member = m_model.upstreams[upstream].member;
        if (member.serving != serving_state::ready) {
            if (attempt + 1 < kMaxAttempts)
                send(flow, attempt + 1);
            return;
        }
        flow->firstAtQueue = m_model.events.now();
        if (queue.waiting.size() >= std::size_t(member.slots) * m_model.policy.queuePerSlot)
            return;
        queue.waiting.push_back(flow);
        startNext(upstream);
    }

    void startNext(std::size_t upstream)
    {
        auto &queue = m_queues[upstream];
        while (!queue.waiting.empty() && queue.running < m_model.upstreams[upstream].member.slots) {
            auto *flow = queue.waiting.front();
            queue.waiting.pop_front();
            ++queue.running;
            flow->queueWait = m_model.events.now() - *flow->firstAtQueue;
            m_model.serve(upstream, flow, [this, upstream] {
                --m_queues[upstream].running;
                startNext(upstream);
            });
        }
    }

    queueing_model &m_model;
    direct_rule m_rule;
    std::vector<fifo_queue> m_queues;
};

} // namespace

std::unique_ptr<flow_policy> makeDirectChoice(queueing_model *model, direct_rule rule)
{
    return std::make_unique<direct_choice>(model, rule);
}

} // namespace citroncrank::bench
