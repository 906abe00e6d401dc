#include "test_doubles_pvt.h"

#include <map>
#include <utility>

namespace citroncrank::simulation {

namespace {

class unfenced_edge : public product_edge
{
public:
    using product_edge::product_edge;
    void onFrame(const frame &value, time_point now) override
    {
        m_now = now;
        product_edge::onFrame(value, now);
    }
    void onTick(time_point now) override
    {
        m_now = now;
        product_edge::onTick(now);
    }
    std::vector<edge_action> takeActions() override
    {
        std::vector<edge_action> kept;
        for (auto actions = product_edge::takeActions(); !actions.empty(); actions = product_edge::takeActions()) {
            for (auto &action : actions) {
                if (!answerFence(action))
                    kept.push_back(std::move(action));
            }
        }
        return kept;
    }

private:
    bool answerFence(const edge_action &action)
    {
        const auto *sent = std::get_if<send_frame_action>(&action.action);
        const auto *fence = sent == nullptr ? nullptr : std::get_if<fence_body>(&sent->value.body);
        if (fence == nullptr)
            return false;
        frame answer = sent->value;
        answer.direction = frame_direction::to_caller;
        answer.body = fenced_body{fence->offer, false};
        product_edge::onFrame(answer, m_now);
        return true;
    }

    time_point m_now;
};

class always_refusing_edge : public product_edge
{
public:
    using product_edge::product_edge;
    std::vector<edge_action> takeActions() override
    {
        auto actions = product_edge::takeActions();
        for (auto &action : actions) {
            if (std::holds_alternative<reset_caller_action>(action.action))
                action.action = refuse_action{};
        }
        return actions;
    }
};

class always_finishing_edge : public product_edge
{
public:
    using product_edge::product_edge;
    std::vector<edge_action> takeActions() override
    {
        auto actions = product_edge::takeActions();
        for (auto &action : actions) {
            if (std::holds_alternative<reset_caller_action>(action.action))
                action.action = finish_action{};
        }
        return actions;
    }
};

class rehashing_balancer : public product_balancer
{
public:
    void setTable(upstream_table table) override
    {
        m_table = table;
        product_balancer::setTable(std::move(table));
    }
    std::vector<balancer_action> takeActions() override
    {
        auto actions = product_balancer::takeActions();
        for (auto &action : actions) {
            auto *forward = std::get_if<forward_to_agent>(&action);
            if (forward == nullptr || std::holds_alternative<open_body>(forward->value.body))
                continue;
            candidate_query query{.service = forward->value.service, .flow = forward->value.flow};
            if (const auto chosen = chooseCandidate(m_table, load_hints(), query, time_point(), nullptr))
                forward->target = chosen->address;
        }
        return actions;
    }

private:
    upstream_table m_table;
};

class rebinding_agent : public product_agent
{
public:
    using product_agent::product_agent;
    void onFrame(const frame &value, hop_id from, time_point now) override
    {
        frame changed = value;
        if (auto *data = std::get_if<data_body>(&changed.body)) {
            if (data->offset == 0 && !holds(value.flow))
                reopen(value, from, now);
            if (const auto found = m_rebound.find(value.flow); found != m_rebound.end())
                data->offer = found->second;
        }
        product_agent::onFrame(changed, from, now);
    }
    std::vector<agent_action> takeActions() override
    {
        auto actions = std::exchange(m_kept, {});
        for (auto &action : product_agent::takeActions())
            actions.push_back(std::move(action));
        return actions;
    }

private:
    bool holds(const flow_id &flow) const
    {
        for (const auto &summary : m_core.flows()) {
            if (summary.flow == flow)
                return true;
        }
        return false;
    }
    void reopen(const frame &value, hop_id from, time_point now)
    {
        frame open = value;
        open.owner = {};
        open.body = open_body{};
        product_agent::onFrame(open, from, now);
        for (auto &action : product_agent::takeActions()) {
            const auto *sent = std::get_if<agent_send>(&action);
            const auto *offer = sent == nullptr ? nullptr : std::get_if<offer_body>(&sent->value.body);
            if (offer == nullptr)
                m_kept.push_back(std::move(action));
            else
                m_rebound[value.flow] = offer->offer;
        }
    }

    std::map<flow_id, offer_id> m_rebound;
    std::vector<agent_action> m_kept;
};

class identity_ignoring_agent : public product_agent
{
public:
    identity_ignoring_agent(const agent_settings &settings, const admission_settings &admission)
        : product_agent(settings, admission)
        , m_self(settings.self)
        , m_service(settings.service)
    {}
    void onFrame(const frame &value, hop_id from, time_point now) override
    {
        frame changed = value;
        m_claimed[value.flow] = {value.service, value.owner};
        changed.service = m_service;
        if (value.owner != flow_owner{})
            changed.owner = m_self;
        product_agent::onFrame(changed, from, now);
    }
    std::vector<agent_action> takeActions() override
    {
        auto actions = product_agent::takeActions();
        for (auto &action : actions) {
            auto *sent = std::get_if<agent_send>(&action);
            if (sent == nullptr)
                continue;
            const auto &[service, owner] = m_claimed[sent->value.flow];
            sent->value.service = service;
            if (owner != flow_owner{})
                sent->value.owner = owner;
        }
        return actions;
    }

private:
    flow_owner m_self;
    std::string m_service;
    std::map<flow_id, std::pair<std::string, flow_owner>> m_claimed;
};

class drain_ignoring_agent : public product_agent
{
public:
    using product_agent::product_agent;
    void setServing(serving_state state, time_point now) override
    {
        if (state != serving_state::draining)
            product_agent::setServing(state, now);
    }
};

template<typename edge_type>
component_factory withEdge()
{
    auto parts = productComponents();
    parts.edge = [](edge_id edge) { return std::make_unique<edge_type>(edge); };
    return parts;
}

template<typename agent_type>
component_factory withAgent()
{
    auto parts = productComponents();
    parts.agent = [](const agent_settings &settings, const admission_settings &admission) {
        return std::make_unique<agent_type>(settings, admission);
    };
    return parts;
}

} // namespace

component_factory unfencedEdges()
{
    return withEdge<unfenced_edge>();
}
component_factory alwaysRefusingEdges()
{
    return withEdge<always_refusing_edge>();
}
component_factory alwaysFinishingEdges()
{
    return withEdge<always_finishing_edge>();
}
component_factory rehashingBalancers()
{
    auto parts = productComponents();
    parts.balancer = [] { return std::make_unique<rehashing_balancer>(); };
    return parts;
}
component_factory rebindingAgents()
{
    return withAgent<rebinding_agent>();
}
component_factory identityIgnoringAgents()
{
    return withAgent<identity_ignoring_agent>();
}
component_factory drainIgnoringAgents()
{
    return withAgent<drain_ignoring_agent>();
}

} // namespace citroncrank::simulation
