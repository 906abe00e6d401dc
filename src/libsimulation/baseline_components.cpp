// Baseline components. They order and deduplicate the bytes of a flow within one host as TCP would, so that they fail
// only because of their choice of host, their retries and the missing identity in their frames.

#include "test_doubles_pvt.h"

#include <map>
#include <set>
#include <utility>

namespace citroncrank::simulation {

namespace {

constexpr duration kRetryAfter{200'000};
constexpr int kMaxTries = 4;
constexpr std::size_t kChunkBytes = 16'384;

class baseline_edge : public simulated_edge
{
public:
    explicit baseline_edge(edge_id edge)
        : m_edge(edge)
    {}
    flow_id openFlow(const caller_flow_settings &settings, time_point) override
    {
        const flow_id flow{m_edge, ++m_counter};
        m_flows[flow].service = settings.service;
        m_actions.push_back({flow, read_caller_action{kChunkBytes}});
        return flow;
    }
    void onCallerBytes(const flow_id &flow, std::string_view bytes, time_point now) override
    {
        if (!m_flows.contains(flow))
            return;
        m_flows[flow].request += bytes;
        sendRequest(flow, now);
        m_actions.push_back({flow, read_caller_action{kChunkBytes}});
    }
    void onCallerEnd(const flow_id &flow, time_point now) override
    {
        if (!m_flows.contains(flow))
            return;
        m_flows[flow].ended = true;
        sendRequest(flow, now);
    }
    void onCallerReset(const flow_id &flow, time_point) override { m_flows.erase(flow); }
    void onCallerConsumed(const flow_id &, std::uint64_t, time_point) override {}
    void onFrame(const frame &value, time_point now) override
    {
        const auto found = m_flows.find(value.flow);
        if (found == m_flows.end())
            return;
        if (std::holds_alternative<reset_body>(value.body))
            return finish(value.flow, reset_caller_action{});
        const auto *data = std::get_if<data_body>(&value.body);
        if (data == nullptr)
            return;
        auto &state = found->second;
        state.hasResponse = true;
        state.acknowledged = std::max(state.acknowledged, data->ack);
        state.response.insert(data->offset, data->bytes, data->fin);
        if (auto ready = state.response.takeReady(); !ready.empty())
            m_actions.push_back({value.flow, deliver_action{std::move(ready)}});
        if (state.response.finReached())
            return finish(value.flow, finish_action{});
        const bool waiting = state.ended || state.acknowledged < state.request.size();
        state.retryAt = waiting ? now + kRetryAfter : time_point::max();
    }
    void onTick(time_point now) override
    {
        const auto flows = m_flows;
        for (const auto &[flow, state] : flows) {
            if (now < state.retryAt)
                continue;
            if (state.tries < kMaxTries)
                sendRequest(flow, now);
            else if (state.hasResponse)
                finish(flow, reset_caller_action{});
            else
                finish(flow, refuse_action{});
        }
    }
    std::vector<edge_action> takeActions() override { return std::exchange(m_actions, {}); }
    std::optional<time_point> nextDeadline() const override
    {
        time_point next = time_point::max();
        for (const auto &[flow, state] : m_flows)
            next = std::min(next, state.retryAt);
        return next == time_point::max() ? std::nullopt : std::optional(next);
    }

private:
    struct flow_state
    {
        std::string service;
        std::string request;
        bool ended = false;
        bool hasResponse = false;
        std::uint64_t acknowledged = 0;
        receive_stream response{std::uint64_t(1) << 40U};
        int tries = 0;
        time_point retryAt = time_point::max();
    };

    void sendRequest(const flow_id &flow, time_point now)
    {
        auto &state = m_flows[flow];
        ++state.tries;
        state.retryAt = now + kRetryAfter * state.tries;
        frame value{.service = state.service, .flow = flow, .edge = m_edge};
        value.body = data_body{0, 0, state.request, state.ended, 0, 0};
        m_actions.push_back({flow, send_frame_action{std::move(value), state.tries > 1}});
    }
    void finish(const flow_id &flow, caller_action action)
    {
        m_flows.erase(flow);
        m_actions.push_back({flow, std::move(action)});
    }

    edge_id m_edge;
    std::uint64_t m_counter = 0;
    std::map<flow_id, flow_state> m_flows;
    std::vector<edge_action> m_actions;
};

class baseline_balancer : public simulated_balancer
{
public:
    void onFrame(const frame &value, hop_id from, time_point) override
    {
        if (value.direction == frame_direction::to_caller) {
            if (const auto found = m_edges.find(value.edge); found != m_edges.end())
                m_actions.emplace_back(forward_to_hop{found->second, value});
            return;
        }
        m_edges[value.edge] = from;
        if (std::holds_alternative<hello_body>(value.body))
            return;
        if (const auto target = addressFor(value))
            m_actions.emplace_back(forward_to_agent{*target, value, false});
    }
    void setTable(upstream_table table) override { m_table = std::move(table); }
    std::uint64_t tableRevision() const override { return m_table.revision(); }
    std::vector<balancer_action> takeActions() override { return std::exchange(m_actions, {}); }

private:
    std::optional<host_address> addressFor(const frame &value)
    {
        std::vector<host_address> live;
        for (const auto &upstream : m_table.ofService(value.service)) {
            if (upstream.state == member_state::alive && upstream.serving == serving_state::ready)
                live.push_back(upstream.address);
        }
        const auto known = m_flowTable.find(value.flow);
        if (known != m_flowTable.end())
            return known->second;
        if (live.empty())
            return std::nullopt;
        const auto address = live[hashPair(value.flow.high, value.flow.low) % live.size()];
        m_flowTable[value.flow] = address;
        return address;
    }

    upstream_table m_table;
    std::map<flow_id, host_address> m_flowTable;
    std::map<edge_id, hop_id> m_edges;
    std::vector<balancer_action> m_actions;
};

class baseline_agent : public simulated_agent
{
public:
    void onFrame(const frame &value, hop_id from, time_point) override
    {
        const auto *data = std::get_if<data_body>(&value.body);
        if (data == nullptr)
            return;
        auto [found, isNew] = m_flows.try_emplace(value.flow);
        auto &state = found->second;
        state.answer = value;
        state.hop = from;
        if (isNew)
            m_actions.emplace_back(upstream_connect{value.flow});
        if (data->bytes.size() > state.request.size())
            state.request = data->bytes;
        state.ended = state.ended || data->fin;
        write(value.flow, &state);
    }
    void onUpstreamConnected(const flow_id &flow, time_point) override
    {
        auto &state = m_flows[flow];
        state.connected = true;
        write(flow, &state);
        m_actions.emplace_back(upstream_read{flow, kChunkBytes});
    }
    void onUpstreamConnectFailed(const flow_id &flow, time_point) override { m_flows.erase(flow); }
    void onUpstreamBytes(const flow_id &flow, std::string_view bytes, time_point) override
    {
        reply(flow, std::string(bytes), false);
        m_actions.emplace_back(upstream_read{flow, kChunkBytes});
    }
    void onUpstreamEnd(const flow_id &flow, time_point) override
    {
        reply(flow, {}, true);
        m_flows.erase(flow);
        m_actions.emplace_back(upstream_close{flow, false});
    }
    void onUpstreamReset(const flow_id &flow, time_point) override { m_flows.erase(flow); }
    void onUpstreamConsumed(const flow_id &, std::uint64_t, time_point) override {}
    void onTick(time_point) override {}
    // Baseline balancers stop choosing a draining agent when their table shows it; the agent itself rejects nothing.
    void setServing(serving_state, time_point) override {}
    std::vector<agent_action> takeActions() override { return std::exchange(m_actions, {}); }
    std::optional<time_point> nextDeadline() const override { return std::nullopt; }
    bool idle(time_point) const override { return m_flows.empty(); }
    std::size_t heldResources(time_point) const override { return 0; }
    std::uint64_t mismatches() const override { return 0; }

private:
    struct flow_state
    {
        frame answer;
        hop_id hop = 0;
        std::string request;
        std::size_t written = 0;
        std::uint64_t replied = 0;
        bool ended = false;
        bool endWritten = false;
        bool connected = false;
    };

    void write(const flow_id &flow, flow_state *state)
    {
        if (!state->connected)
            return;
        if (state->request.size() > state->written) {
            m_actions.emplace_back(upstream_write{flow, state->request.substr(state->written)});
            state->written = state->request.size();
        }
        if (state->ended && !std::exchange(state->endWritten, true))
            m_actions.emplace_back(upstream_finish{flow});
        reply(flow, {}, false);
    }
    void reply(const flow_id &flow, std::string bytes, bool fin)
    {
        auto &state = m_flows[flow];
        frame value = state.answer;
        value.direction = frame_direction::to_caller;
        const std::uint64_t offset = std::exchange(state.replied, state.replied + bytes.size());
        value.body = data_body{0, offset, std::move(bytes), fin, state.written, 0};
        m_actions.emplace_back(agent_send{std::move(value), state.hop, false});
    }

    std::map<flow_id, flow_state> m_flows;
    std::vector<agent_action> m_actions;
};

} // namespace

component_factory baselineComponents()
{
    return {[](edge_id edge) { return std::make_unique<baseline_edge>(edge); },
            [] { return std::make_unique<baseline_balancer>(); },
            [](const agent_settings &, const admission_settings &) { return std::make_unique<baseline_agent>(); }};
}

} // namespace citroncrank::simulation
