#include "citroncrank/routes_sources.h"

#include <algorithm>
#include <cstddef>

namespace citroncrank {

namespace {

// Each watcher of the failure domain, and some others.
constexpr std::size_t kMaxSources = 8;

} // namespace

void routes_sources::recordAnnouncement(const routes_source &source)
{
    if (source.version < m_version)
        return;
    if (source.version > m_version)
        m_sources.clear();
    m_version = source.version;
    std::erase(m_sources, source.http);
    if (m_sources.size() == kMaxSources)
        m_sources.erase(m_sources.begin());
    m_sources.push_back(source.http);
}

// Without a source left, an older version that another balancer announces is still newer than the one in force.
void routes_sources::recordFailure(const routes_source &source)
{
    m_failedVersion = std::max(m_failedVersion, source.version);
    if (source.version == m_version)
        std::erase(m_sources, source.http);
    if (m_sources.empty())
        m_version = 0;
}

std::optional<routes_source> routes_sources::latest(std::uint64_t inForce) const
{
    if (m_version <= inForce || m_sources.empty())
        return std::nullopt;
    return routes_source{m_sources.back(), m_version};
}

} // namespace citroncrank
