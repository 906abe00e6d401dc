#include "citroncrank/evacuations_worker.h"

#include "citroncrank/timer_service.h"

#include "names.h"
#include "watch_cursor_pvt.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <string_view>
#include <utility>

namespace citroncrank {

namespace {

// setWatching() ends this wait.
constexpr duration kIdleWait = std::chrono::seconds(60);

/// Failure domain that an object names. Empty: none.
std::string domainOf(std::string_view key)
{
    const std::string_view prefix = platform::kEvacuationsPrefix;
    return key.starts_with(prefix) ? std::string(key.substr(prefix.size())) : std::string();
}

} // namespace

evacuations_worker::evacuations_worker(const store_access &access, const watch_timing &timing, receiver receive)
    : store_worker("evacuations", access, timing.callDeadline)
    , m_wait(timing.wait)
    , m_receive(std::move(receive))
{}

evacuations_worker::~evacuations_worker()
{
    stop();
}

std::optional<duration> evacuations_worker::step()
{
    if (takeLaterEra())
        cursor().invalidate();
    if (!cursor().from())
        return listAll();
    if (!m_isWatching) {
        m_wasIdle = true;
        return kIdleWait;
    }
    // A watch without a change is answered only after its wait, so an idle worker that watches again lists first.
    return std::exchange(m_wasIdle, false) ? listAll() : watchChanges();
}

void evacuations_worker::setWatching(bool isWatching)
{
    if (m_isWatching.exchange(isWatching) != isWatching && isWatching)
        wake();
}

std::optional<duration> evacuations_worker::listAll()
{
    const time_point calledAt = monotonicNow();
    absl::btree_set<std::string> domains;
    std::optional<object_version> first;
    list_query query{.prefix = platform::kEvacuationsPrefix, .after = {}};
    while (true) {
        platform_failure reason = platform_failure::unavailable;
        const auto list = store().list(query, &reason);
        const duration pause = recordCall(list.has_value(), reason);
        if (!list)
            return pause;
        if (!first)
            first = list->version;
        for (const object_entry &entry : list->entries) {
            if (std::string domain = domainOf(entry.key); !domain.empty())
                domains.insert(std::move(domain));
        }
        if (!list->more || list->entries.empty())
            break;
        query.after = list->entries.back().key;
    }
    m_domains = std::move(domains);
    cursor().recordListing(*first);
    log(absl::StrCat("evacuations read, revision=", toString(*first), " count=", m_domains.size()));
    report(*first, calledAt);
    return duration(0);
}

// A watch shows what the store held when it began: it may end without a change that came while it waited.
std::optional<duration> evacuations_worker::watchChanges()
{
    const time_point calledAt = monotonicNow();
    duration pause{0};
    const auto result = awaitChanges(platform::kEvacuationsPrefix, m_wait, &pause);
    if (!result)
        return pause;
    for (const object_change &change : result->changes) {
        std::string domain = domainOf(change.key);
        if (domain.empty())
            continue;
        if (change.value)
            m_domains.insert(std::move(domain));
        else
            m_domains.erase(domain);
    }
    report(result->changes.empty() ? m_version : result->version, calledAt);
    return duration(0);
}

void evacuations_worker::report(const object_version &version, time_point listedAt)
{
    m_version = version;
    m_receive({{m_version.era, m_version.number}, {m_domains.begin(), m_domains.end()}}, listedAt);
}

} // namespace citroncrank
