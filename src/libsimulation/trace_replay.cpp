#include "trace_replay_pvt.h"

#include "simulation_components_pvt.h"

#include <map>
#include <memory>
#include <sstream>

namespace citroncrank::simulation {

namespace {

constexpr node_id kFirstAgent = 1;
constexpr int kAgents = 3;

struct kind_namer
{
    std::string operator()(const open_body &) const { return "open"; }
    std::string operator()(const offer_body &) const { return "offer"; }
    std::string operator()(const queued_body &) const { return "queued"; }
    std::string operator()(const refused_body &) const { return "refused"; }
    std::string operator()(const data_body &) const { return "data"; }
    std::string operator()(const ack_body &) const { return "ack"; }
    std::string operator()(const cancel_body &) const { return "cancel"; }
    std::string operator()(const fence_body &) const { return "fence"; }
    std::string operator()(const fenced_body &) const { return "fenced"; }
    std::string operator()(const reset_body &) const { return "reset"; }
    template<typename other_body>
    std::string operator()(const other_body &) const
    {
        return "other";
    }
};

class replay
{
public:
    replay()
        : m_edge(1, nullptr)
    {
        for (int index = 0; index < kAgents; ++index) {
            agent_settings settings;
            settings.service = "main";
            settings.self = {kFirstAgent + node_id(index), 1, {std::uint32_t(index + 1), 9000}};
            const admission_settings admission{.slots = 1, .connections = 4, .queueLimit = 4, .warmUp = duration(0)};
            auto agent = std::make_unique<agent_core>(settings, admission);
            agent->setServing(serving_state::ready, m_now);
            m_agents["agent" + std::to_string(index + 1)] = std::move(agent);
        }
    }

    void step(const std::string &line)
    {
        std::istringstream input(line);
        std::int64_t milliseconds = 0;
        std::string event;
        if (!(input >> milliseconds >> event) || !runEvent(event, &input))
            m_failures.push_back("unreadable: " + line);
        processActions();
    }

    std::vector<std::string> takeFailures() { return std::move(m_failures); }
    void beginLine(const std::string &line)
    {
        m_now = time_point(duration(std::strtoll(line.c_str(), nullptr, 10) * 1000));
        m_line = line;
    }

private:
    bool runEvent(const std::string &event, std::istringstream *input)
    {
        std::string first;
        *input >> first;
        if (event == "open")
            return open(first);
        if (event == "bytes")
            m_edge.onCallerBytes(m_flow, first, m_now);
        else if (event == "end")
            m_edge.onCallerEnd(m_flow, m_now);
        else if (event == "deliver")
            return deliver(first, input);
        else if (event == "expect")
            return expect(first, input);
        else if (event == "tick" && first == "edge")
            m_edge.onTick(m_now);
        else
            return runAgentEvent(event, first, input);
        return true;
    }

    bool open(const std::string &kind)
    {
        caller_flow_settings settings;
        settings.service = "main";
        settings.kind = kind == "session" ? flow_kind::session : flow_kind::request;
        m_flow = m_edge.openFlow(settings, m_now);
        return kind == "session" || kind == "request";
    }

    bool runAgentEvent(const std::string &event, const std::string &name, std::istringstream *input)
    {
        const auto found = m_agents.find(name);
        if (found == m_agents.end())
            return false;
        auto &agent = *found->second;
        std::string text;
        *input >> text;
        if (event == "connected")
            agent.onUpstreamConnected(m_flow, m_now);
        else if (event == "connect_failed")
            agent.onUpstreamConnectFailed(m_flow, m_now);
        else if (event == "greet" || event == "respond")
            agent.onUpstreamBytes(m_flow, text, m_now);
        else if (event == "drain")
            agent.setServing(serving_state::draining, m_now);
        else if (event == "tick")
            agent.onTick(m_now);
        else
            return false;
        if (event == "respond")
            agent.onUpstreamEnd(m_flow, m_now);
        return true;
    }

    bool deliver(const std::string &to, std::istringstream *input)
    {
        std::string from = "edge";
        std::string kind;
        std::size_t number = 0;
        if (to == "edge")
            *input >> from;
        if (!(*input >> kind >> number) || number == 0)
            return false;
        const auto &sent = m_sent[from + " " + kind];
        if (number > sent.size())
            return true;
        const frame value = sent[number - 1];
        if (to == "edge")
            m_edge.onFrame(value, m_now);
        else if (const auto found = m_agents.find(to); found != m_agents.end())
            found->second->onFrame(value, 1, m_now);
        else
            return false;
        return true;
    }

    bool expect(const std::string &what, std::istringstream *input)
    {
        std::string expected;
        *input >> expected;
        std::string actual;
        if (what == "outcome")
            actual = m_outcome;
        else if (what == "runs")
            actual = std::to_string(std::count_if(m_runs.begin(), m_runs.end(), [](auto &run) { return run.second; }));
        else if (what == "received")
            actual = m_received;
        else if (const auto found = m_agents.find(expected); what == "idle" && found != m_agents.end()) {
            *input >> expected;
            actual = product_agent::mayStop(*found->second, m_now) ? "yes" : "no";
        } else {
            return false;
        }
        if (actual != expected)
            m_failures.push_back(m_line + ": got " + actual);
        return true;
    }

    // Sockets consume written bytes immediately, which causes further actions, so this repeats until none is left.
    void processActions()
    {
        for (bool acted = true; acted;) {
            acted = false;
            for (auto &taken : m_edge.takeActions()) {
                acted = true;
                std::visit([this](const auto &each) { onEdge(each); }, taken.action);
            }
            for (auto &item : m_agents) {
                for (auto &taken : item.second->takeActions()) {
                    acted = true;
                    std::visit([&, this](const auto &each) { onAgent(item.first, each); }, taken);
                }
            }
        }
    }

    void onEdge(const send_frame_action &sent) { record("edge", sent.value); }
    void onEdge(const read_caller_action &) {}
    void onEdge(const deliver_action &delivered)
    {
        m_received += delivered.bytes;
        m_edge.onCallerConsumed(m_flow, delivered.bytes.size(), m_now);
    }
    void onEdge(const finish_action &) { finish("complete"); }
    void onEdge(const refuse_action &) { finish("refused"); }
    void onEdge(const reset_caller_action &) { finish("reset"); }
    void finish(const std::string &outcome)
    {
        if (m_outcome != "open")
            m_failures.push_back(m_line + ": ended twice, " + m_outcome + " then " + outcome);
        m_outcome = outcome;
    }

    void onAgent(const std::string &name, const agent_send &sent) { record(name, sent.value); }
    void onAgent(const std::string &name, const upstream_write &write)
    {
        m_runs[name] = true;
        m_agents[name]->onUpstreamConsumed(m_flow, write.bytes.size(), m_now);
    }
    void onAgent(const std::string &name, const upstream_finish &) { m_runs[name] = true; }
    template<typename other_action>
    void onAgent(const std::string &, const other_action &)
    {}

    void record(const std::string &from, const frame &value)
    {
        m_sent[from + " " + std::visit(kind_namer{}, value.body)].push_back(value);
    }

    time_point m_now;
    std::string m_line;
    edge_core m_edge;
    std::map<std::string, std::unique_ptr<agent_core>> m_agents;
    std::map<std::string, std::vector<frame>> m_sent;
    std::map<std::string, bool> m_runs;
    flow_id m_flow;
    std::string m_received;
    std::string m_outcome = "open";
    std::vector<std::string> m_failures;
};

} // namespace

std::vector<std::string> replayTrace(const std::vector<std::string> &lines)
{
    replay state;
    for (const auto &line : lines) {
        if (line.empty() || line.front() == '#')
            continue;
        state.beginLine(line);
        state.step(line);
    }
    return state.takeFailures();
}

} // namespace citroncrank::simulation
