// Upgrade in place: the agent replaces its program by execve while the connections to the upstream stay open. Flows end
// at this process and the upstream's host has room for one agent process only, so a second one cannot adopt the flows.

#include "agent_process.h"
#include "upgrade.h"

#include <absl/strings/str_cat.h>

namespace citroncrank {

namespace {

/// Limit on the rounds that drain the event and command rings before the state is saved; each round empties both.
constexpr int kMaxDrainRounds = 100;

} // namespace

void agent_process::afterEvents(time_point now)
{
    if (!m_upgradeRequested)
        return;
    m_upgradeRequested = false;
    upgrade(now);
}

// The new program would not know of a SIGTERM that this one has received, and would not end.
void agent_process::upgrade(time_point now)
{
    m_log.info(absl::StrCat("upgrade in place begins, open_flows=", m_core->boundFlows()));
    m_network.pause();
    for (int round = 0; round < kMaxDrainRounds && m_network.events().size() > 0; ++round) {
        dispatchPendingEvents(now);
        runActions(now);
        m_network.runQueuedCommands();
    }
    const auto state = saveUpgradeState(now);
    std::vector<int> streams;
    for (const auto &item : state.streams)
        streams.push_back(item.stream.descriptor);
    stopEndpoint();
    std::error_code reason = std::make_error_code(std::errc::operation_canceled);
    if (!isStopRequested()) {
        if (const auto pipes = writeToPipes(encodeUpgradeState(state), &reason))
            reason = replaceProgram(m_options.program, m_options.settingsFile, *pipes, streams);
    }
    restartEndpoint();
    m_log.error(absl::StrCat("upgrade failed, going on with the present program: ", reason.message()));
    m_network.resume();
}

upgrade_state agent_process::saveUpgradeState(time_point now)
{
    upgrade_state state{.core = m_core->saveState(now), .streams = {}, .draining = m_draining};
    runActions(now);
    m_network.runQueuedCommands();
    for (auto &saved : m_network.saveStreams()) {
        const auto flow = m_flowByStream.find(saved.stream);
        if (flow != m_flowByStream.end())
            state.streams.push_back({flow->second, std::move(saved), findBalancer(flow->second)});
    }
    return state;
}

bool agent_process::resume(const std::string &descriptors, time_point now)
{
    const auto pipes = parseDescriptors(descriptors);
    const auto bytes = pipes ? readFromPipes(*pipes) : std::nullopt;
    const auto state = bytes ? decodeUpgradeState(*bytes) : std::nullopt;
    if (!state || !m_core->restoreState(state->core, now))
        return false;
    m_coreSettings = m_core->settings();
    m_draining = state->draining;
    for (auto item : state->streams) {
        item.stream.stream = m_network.nextStreamId();
        m_streamByFlow[item.flow] = item.stream.stream;
        m_flowByStream[item.stream.stream] = item.flow;
        m_flowInfo[item.flow] = {.balancer = item.balancer, .openedAt = now, .boundAt = now};
        m_network.adoptStream(item.stream);
    }
    for (const auto &flow : m_core->flows())
        m_flowInfo[flow.flow].flowClass = flow.flowClass;
    m_log.info(absl::StrCat("upgrade in place done, open_flows=", m_core->boundFlows()));
    return true;
}

} // namespace citroncrank
