#include "soak_fleet.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <fstream>
#include <utility>

namespace citroncrank::soak {

namespace {

constexpr std::uint16_t kPlanePort = 27200;
constexpr std::uint16_t kHttpPort = 27167;
constexpr std::uint16_t kPacketPort = 27172;
constexpr std::uint16_t kUpstreamPacketsPort = 27162;
constexpr std::uint16_t kAnnouncementPort = 27166;
constexpr std::uint16_t kUpstreamPort = 27188;
constexpr std::uint16_t kStorePort = 27169;
constexpr std::uint32_t kLoopbackNet = 127;
constexpr std::uint32_t kBalancerPart = 1;
constexpr std::uint32_t kAgentPart = 2;
constexpr std::uint32_t kStorePart = 3;
constexpr std::uint32_t kCallerPart = 7;
// Upstreams of the second service.
constexpr std::size_t kAgentsOfSecondService = 2;

std::uint32_t partOf(node_kind kind)
{
    return kind == node_kind::balancer ? kBalancerPart : kAgentPart;
}

} // namespace

std::string serviceName(std::size_t index)
{
    return index == 0 ? "bokunarkerfi" : "skjalaveita";
}

soak_fleet::soak_fleet(fleet_settings settings)
    : m_settings(std::move(settings))
{}

std::string soak_fleet::ip(std::uint32_t part, std::size_t index) const
{
    return absl::StrCat(kLoopbackNet, ".", m_settings.network, ".", part, ".", index + 1);
}

host_address soak_fleet::storeAddress() const
{
    return {(kLoopbackNet << 24U) | (m_settings.network << 16U) | (kStorePart << 8U) | 1U, kStorePort};
}

host_address soak_fleet::proxyAddress() const
{
    return {storeAddress().ip + 1, kStorePort};
}

host_address soak_fleet::firstCaller() const
{
    return {(kLoopbackNet << 24U) | (m_settings.network << 16U) | (kCallerPart << 8U) | 1U, kPacketPort};
}

std::string soak_fleet::serviceOf(std::size_t agent) const
{
    return serviceName(agent + kAgentsOfSecondService < m_settings.agents ? 0 : 1);
}

std::string soak_fleet::upstreamProcess(std::size_t index) const
{
    return absl::StrCat("upstream", index + 1);
}

std::vector<node_name> soak_fleet::nodes() const
{
    std::vector<node_name> all;
    for (std::size_t i = 0; i < m_settings.balancers; ++i)
        all.push_back({node_kind::balancer, i});
    for (std::size_t i = 0; i < m_settings.agents; ++i)
        all.push_back({node_kind::agent, i});
    return all;
}

std::vector<rotation_member> soak_fleet::rotation() const
{
    std::vector<rotation_member> members;
    for (std::uint32_t i = 0; i < m_settings.balancers; ++i) {
        const std::uint32_t address =
            (kLoopbackNet << 24U) | (m_settings.network << 16U) | (kBalancerPart << 8U) | (i + 1);
        members.push_back({{address, kPacketPort}, {address, kHttpPort}});
    }
    return members;
}

void soak_fleet::writeSettings(const node_name &node) const
{
    const std::string own = ip(partOf(node.kind), node.index);
    std::ofstream out(absl::StrCat(m_settings.work, "/", toString(node), ".yaml"));
    out << "name: " << toString(node) << "\nregion: is-sudvestur\ndomain: rvk-a\ncaller-address: \""
        << toString(firstCaller()) << "\"\nplatform: \"" << toString(proxyAddress()) << "\"\nseeds: ["
        << ip(kBalancerPart, 0) << ":" << kAnnouncementPort << ", " << ip(kBalancerPart, 1) << ":" << kAnnouncementPort
        << "]\nlisten:\n  plane: \"" << own << ":" << kPlanePort << "\"\n  http: \"" << own << ":" << kHttpPort
        << "\"\n";
    if (node.kind == node_kind::balancer) {
        out << "  packets: \"" << own << ":" << kPacketPort << "\"\n";
        return;
    }
    out << "  upstream-packets: \"" << own << ":" << kUpstreamPacketsPort << "\"\n  announcements: \"" << own << ":"
        << kAnnouncementPort << "\"\nupstream: {address: \"" << own << ":" << kUpstreamPort << "\", service: \""
        << serviceOf(node.index) << "\", announcement-period: 300ms}\n";
}

bool soak_fleet::startProcess(const std::string &name, const std::vector<std::string> &command, const std::string &log,
                              std::error_code *lastReason)
{
    m_expectedEnds[name] = expected_end::none;
    return m_processes[name].start(command, absl::StrCat(m_settings.work, "/", log, ".log"), lastReason);
}

bool soak_fleet::startNode(const node_name &node, std::error_code *lastReason)
{
    const std::string name = toString(node);
    const std::string program =
        node.kind == node_kind::balancer ? "citroncrank-packet-balancer" : "citroncrank-packet-agent";
    return startProcess(name,
                        {absl::StrCat(m_settings.binaries, "/", program), "--settings",
                         absl::StrCat(m_settings.work, "/", name, ".yaml")},
                        name, lastReason);
}

bool soak_fleet::startUpstream(std::size_t index, std::error_code *lastReason)
{
    const std::string own = ip(kAgentPart, index);
    const std::string id = absl::StrCat("i-", index + 1, "-", ++m_upstreamStarts);
    m_upstreamIds[index] = id;
    m_upstreamLogs.push_back(absl::StrCat(m_settings.work, "/", id, ".log"));
    return startProcess(upstreamProcess(index),
                        {absl::StrCat(m_settings.binaries, "/standin-packet-upstream"), "--address",
                         absl::StrCat(own, ":", kUpstreamPort), "--agent-packets",
                         absl::StrCat(own, ":", kUpstreamPacketsPort), "--announce-to",
                         absl::StrCat(own, ":", kAnnouncementPort), "--service", serviceOf(index), "--id", id,
                         "--slots", "2", "--work-ms", "5", "--print-runs"},
                        id, lastReason);
}

bool soak_fleet::start(std::error_code *lastReason)
{
    if (!startProcess("store",
                      {absl::StrCat(m_settings.binaries, "/standin-platform"), "--listen", toString(storeAddress())},
                      "store", lastReason))
        return false;
    for (const node_name &node : nodes()) {
        writeSettings(node);
        if (!startNode(node, lastReason))
            return false;
    }
    for (std::size_t i = 0; i < m_settings.agents; ++i) {
        if (!startUpstream(i, lastReason))
            return false;
    }
    return true;
}

void soak_fleet::expectEnd(const std::string &name, bool isKilled)
{
    m_expectedEnds[name] = isKilled ? expected_end::kill : expected_end::exit;
}

std::vector<unexpected_end> soak_fleet::takeEnds(std::vector<std::string> *ended)
{
    std::vector<unexpected_end> unexpected;
    for (auto &[name, process] : m_processes) {
        const auto end = process.takeEnd();
        if (!end)
            continue;
        const expected_end expected = m_expectedEnds[name];
        const bool isExit = expected != expected_end::none && end->signal == 0 && end->exitCode == 0;
        const bool isKill = expected == expected_end::kill && end->signal == SIGKILL;
        if (isExit || isKill)
            ended->push_back(name);
        else
            unexpected.push_back({name, *end});
    }
    return unexpected;
}

} // namespace citroncrank::soak
