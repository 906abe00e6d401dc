#include "stream_simulation_pvt.h"

#include <utility>

namespace citroncrank::simulation {

bool stream_simulation::isInjected(failure kind, std::uint64_t perMille)
{
    return m_plan.has(kind) && m_clock.now() < kFailuresEnd && m_random.chance(perMille);
}

void stream_simulation::transmit(std::size_t path, frame value, const std::function<void(const frame &)> &deliver)
{
    if (path == m_silentPath && m_clock.now() >= m_silentSince && m_clock.now() < kFailuresEnd)
        return;
    if (isInjected(failure::loss, 120))
        return;
    if (isInjected(failure::corrupt, 150) && !corrupt(&value))
        return;
    const int copies = isInjected(failure::duplicate, 200) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        duration delay = m_random.milliseconds(1, 6);
        if (isInjected(failure::late, 120))
            delay += m_random.milliseconds(50, 3000);
        if (isInjected(failure::very_late, 60))
            delay += m_random.milliseconds(5000, 70'000);
        m_clock.schedule(m_clock.now() + delay, [deliver, value] { deliver(value); });
    }
}

// Returns false if the codec dropped the corrupt frame. It must detect every corruption.
bool stream_simulation::corrupt(frame *value)
{
    static const frame_codec kCodec(frame_keys{{1, "0123456789abcdef"}, std::nullopt});
    std::string bytes;
    kCodec.encode(*value, &bytes);
    const std::size_t damages = m_random.between(1, 3);
    for (std::size_t count = 0; count < damages; ++count)
        bytes[m_random.between(0, bytes.size() - 1)] ^= char(m_random.between(1, 255));
    decode_error reason{};
    const auto decoded = kCodec.decode(bytes, &reason);
    if (!decoded) {
        ++m_result.corruptDropped;
        return false;
    }
    *value = decoded->value;
    return true;
}

void stream_simulation::edgeToBalancer(std::size_t edge, const frame &value)
{
    const std::size_t index = m_random.between(0, kBalancers - 1);
    const auto generation = m_balancers[index].generation;
    transmit(edgePath(index, edge), value, [this, index, edge, generation](const frame &arrived) {
        if (m_balancers[index].generation != generation)
            return;
        m_balancers[index].core->onFrame(arrived, edge + 1, m_clock.now());
        processBalancerActions(index);
    });
}

void stream_simulation::agentToBalancer(std::size_t host, const agent_send &sent)
{
    std::size_t index = sent.hop - 1;
    if (sent.hop == 0 || sent.alternatePath)
        index = m_random.between(0, kBalancers - 1);
    const auto generation = m_balancers[index].generation;
    transmit(hostPath(index, host), sent.value, [this, index, generation](const frame &arrived) {
        if (m_balancers[index].generation != generation)
            return;
        m_balancers[index].core->onFrame(arrived, 0, m_clock.now());
        processBalancerActions(index);
    });
}

void stream_simulation::processBalancerActions(std::size_t index)
{
    for (auto &taken : m_balancers[index].core->takeActions()) {
        if (const auto *toAgent = std::get_if<forward_to_agent>(&taken))
            balancerToAgent(index, *toAgent);
        else if (const auto *toHop = std::get_if<forward_to_hop>(&taken))
            balancerToEdge(index, toHop->hop - 1, toHop->value);
    }
}

void stream_simulation::balancerToEdge(std::size_t balancer, std::size_t edge, const frame &value)
{
    transmit(edgePath(balancer, edge), value, [this, edge](const frame &arrived) {
        trace("to edge " + std::to_string(edge) + ": ", arrived);
        m_edges[edge].core->onFrame(arrived, m_clock.now());
        processEdgeActions(edge);
    });
}

void stream_simulation::balancerToAgent(std::size_t balancer, const forward_to_agent &forward)
{
    const std::size_t index = forward.target.ip - 0x0A000001U;
    if (index >= kHosts)
        return;
    transmit(hostPath(balancer, index), forward.value, [this, index, balancer](const frame &arrived) {
        runAtAgent(index, [this, index, balancer, arrived] {
            auto &host = m_hosts[index];
            trace("to host " + std::to_string(index) + ": ", arrived);
            if (host.drainAt && m_clock.now() - *host.drainAt > kDrainLimit
                && std::holds_alternative<open_body>(arrived.body))
                ++m_result.opensAfterDrainLimit;
            host.agent->onFrame(arrived, balancer + 1, m_clock.now());
        });
    });
}

} // namespace citroncrank::simulation
