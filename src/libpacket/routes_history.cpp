#include "citroncrank/routes_history.h"

#include <algorithm>
#include <chrono>

namespace citroncrank {

namespace {

// Of two versions that are known for longer, only the later one matters.
constexpr duration kRetention = std::chrono::seconds(30);

} // namespace

// A version below the newest one was replaced before it was heard of here.
void routes_history::record(std::uint64_t version, time_point now)
{
    if (version <= newest())
        return;
    m_heard.push_back({version, now});
    while (m_heard.size() > 1 && now - m_heard[1].at > kRetention)
        m_heard.pop_front();
}

std::optional<duration> routes_history::replacedFor(std::uint64_t version, time_point now) const
{
    const auto successor =
        std::upper_bound(m_heard.begin(), m_heard.end(), version,
                         [](std::uint64_t value, const heard_version &heard) { return value < heard.version; });
    return successor == m_heard.end() ? std::nullopt : std::optional(now - successor->at);
}

} // namespace citroncrank
