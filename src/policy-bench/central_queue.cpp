#include "queueing_model.h"

#include <numeric>

namespace citroncrank::bench {

namespace {

/// Upper bound for comparison: one queue for all upstreams that sees each freed slot without delay. It applies the
/// admission rules of the agents per class, so that it differs from late binding only in how flows are distributed.
class central_queue : public flow_policy
{
public:
    central_queue(queueing_model *model, bool withOffers)
        : m_model(*model)
        , m_withOffers(withOffers)
        , m_queue(settingsFor(*model))
        , m_allocatedSlots(model->upstreams.size(), 0)
    {
        m_queue.setServing(serving_state::ready, model->events.now());
    }

    void arrive(request_flow *flow) override
    {
        const auto over = m_model.balancers[m_model.balancerFor(flow->edgeDomain)].domain;
        m_model.events.after(m_model.delay(flow->edgeDomain, over), [this, over, flow] { enqueue(over, flow); });
    }

    void servingChanged(std::size_t, serving_state) override
    {
        m_queue.setSettings(settingsFor(m_model));
        advance();
    }

    std::uint32_t heldSlots() const override
    {
        return std::accumulate(m_allocatedSlots.begin(), m_allocatedSlots.end(), 0U);
    }

private:
    static admission_settings settingsFor(const queueing_model &model)
    {
        auto settings = model.policy.admission;
        settings.slots = 0;
        settings.warmUp = duration(0);
        for (const auto &host : model.upstreams) {
            if (host.member.serving == serving_state::ready)
                settings.slots = std::uint16_t(settings.slots + host.member.slots);
        }
        settings.queueLimit = std::uint16_t(std::min<int>(settings.slots * model.policy.queuePerSlot, UINT16_MAX));
        return settings;
    }

    void enqueue(std::size_t over, request_flow *flow)
    {
        const auto now = m_model.events.now();
        flow->firstAtQueue = now;
        const auto result = m_queue.request(
            {.flow = flow->id, .edge = 1, .flowClass = flow->flowClass, .arrival = now, .deadline = flow->deadline},
            now);
        if (std::holds_alternative<granted>(result)) {
            const auto upstream = freeUpstream(over);
            ++m_allocatedSlots[upstream];
            m_model.events.after(m_model.delay(over, m_model.upstreams[upstream].domain),
                                 [this, upstream, flow] { offer(upstream, flow); });
        } else if (std::holds_alternative<queued>(result)) {
            m_waiting.emplace(flow->id, flow);
        }
        advance();
    }

    void advance()
    {
        for (const auto &event : m_queue.advance(m_model.events.now())) {
            const auto found = m_waiting.find(event.key.flow);
            auto *flow = found->second;
            m_waiting.erase(found);
            if (!std::holds_alternative<granted>(event.outcome))
                continue;
            flow->queueWait = m_model.events.now() - *flow->firstAtQueue;
            const auto upstream = freeUpstream(flow->edgeDomain);
            ++m_allocatedSlots[upstream];
            offer(upstream, flow);
        }
    }

    void offer(std::size_t upstream, request_flow *flow)
    {
        if (!m_withOffers) {
            start(upstream, flow);
            return;
        }
        const auto domain = m_model.upstreams[upstream].domain;
        m_model.viaBalancer(flow->edgeDomain, domain, [this, domain, upstream, flow] {
            m_model.viaBalancer(flow->edgeDomain, domain, [this, upstream, flow] { start(upstream, flow); });
        });
    }

    void start(std::size_t upstream, request_flow *flow)
    {
        m_model.serve(upstream, flow, [this, upstream, flow] {
            --m_allocatedSlots[upstream];
            m_queue.release({flow->id, 1}, m_model.events.now());
            advance();
        });
    }

    /// The least loaded ready upstream; upstreams of `domain` with a free slot come first.
    std::size_t freeUpstream(std::size_t domain) const
    {
        std::optional<std::size_t> best;
        const auto rank = [&](std::size_t index) {
            return std::pair(m_model.upstreams[index].domain != domain, m_allocatedSlots[index]);
        };
        for (std::size_t index = 0; index < m_allocatedSlots.size(); ++index) {
            const auto &member = m_model.upstreams[index].member;
            if (member.serving != serving_state::ready || m_allocatedSlots[index] >= member.slots)
                continue;
            if (!best || rank(index) < rank(*best))
                best = index;
        }
        return best.value_or(0);
    }

    queueing_model &m_model;
    bool m_withOffers;
    admission_queue m_queue;
    std::vector<std::uint32_t> m_allocatedSlots;
    absl::flat_hash_map<flow_id, request_flow *, flow_hash> m_waiting;
};

} // namespace

std::unique_ptr<flow_policy> makeCentralQueue(queueing_model *model, bool withOffers)
{
    return std::make_unique<central_queue>(model, withOffers);
}

} // namespace citroncrank::bench
