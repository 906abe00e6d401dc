#include "fabric.h"

#include "citroncrank/timer_service.h"

namespace citroncrank {

namespace {

constexpr duration kReconnectPeriod{200'000};
constexpr duration kMaxEventWait{50'000};

} // namespace

fabric::fabric(fabric_settings settings)
    : m_settings(std::move(settings))
    , m_network(m_settings.net)
    , m_edge(m_settings.edge, nullptr)
{
    for (const auto &[address, listener] : m_settings.listeners)
        m_edge.setListener(address, listener);
    for (const auto &balancer : m_settings.balancers)
        m_connected[balancer] = false;
}

bool fabric::listen(std::error_code *error)
{
    for (const auto &[address, listener] : m_settings.listeners) {
        if (!m_network.listenForStreams(address, error))
            return false;
    }
    return true;
}

void fabric::run(const std::atomic<bool> &stopping)
{
    m_network.start();
    std::vector<net_event> events;
    bool accepting = true;
    while (!stopping || m_edge.openFlows() > 0) {
        if (stopping && accepting) {
            accepting = false;
            for (const auto &[address, listener] : m_settings.listeners)
                m_network.post(listen_streams{address, false});
        }
        auto deadline = monotonicNow() + kMaxEventWait;
        if (const auto next = m_edge.nextDeadline())
            deadline = std::min(deadline, *next);
        events.clear();
        m_network.events().drain(&events, deadline);
        const auto now = monotonicNow();
        for (auto &event : events)
            handle(std::move(event), now);
        m_edge.onTick(now);
        openHops(now);
        sendPendingFrames();
    }
    m_network.stop();
}

void fabric::handle(net_event event, time_point now)
{
    if (m_edge.onEvent(event, now))
        return;
    if (const auto *received = std::get_if<frame_received>(&event))
        m_edge.onFrame(received->value, now);
    else if (const auto *connected = std::get_if<hop_connected>(&event))
        m_connected[connected->target] = true;
    else if (const auto *closed = std::get_if<hop_closed>(&event); closed != nullptr && closed->target)
        m_connected[*closed->target] = false;
}

void fabric::openHops(time_point now)
{
    if (now < m_nextReconnect)
        return;
    m_nextReconnect = now + kReconnectPeriod;
    for (const auto &[address, connected] : m_connected) {
        if (connected)
            continue;
        frame hello;
        hello.edge = m_settings.edge;
        hello.body = hello_body{"fabric"};
        m_network.post(open_hop{address, hello});
    }
}

std::optional<host_address> fabric::nextBalancer()
{
    for (std::size_t i = 0; i < m_settings.balancers.size(); ++i) {
        const auto &candidate = m_settings.balancers[m_nextBalancer++ % m_settings.balancers.size()];
        if (m_connected[candidate])
            return candidate;
    }
    return std::nullopt;
}

void fabric::sendPendingFrames()
{
    for (auto &action : m_edge.takeFrames()) {
        if (const auto target = nextBalancer())
            m_network.post(send_to_address{*target, std::move(action.value), false});
    }
    for (auto &command : m_edge.takeCommands())
        m_network.post(std::move(command));
    m_edge.takeEnded();
}

} // namespace citroncrank
