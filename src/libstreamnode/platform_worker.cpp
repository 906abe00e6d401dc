#include "citroncrank/platform_worker.h"

#include "citroncrank/config_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::string_view kRosterPrefix = "roster/";
constexpr std::chrono::milliseconds kWatchWait{25'000};
constexpr std::chrono::milliseconds kCallDeadline{2'000};
constexpr std::size_t kMaxRosterAddresses = 16;
constexpr int kRosterAttempts = 8;

std::string formatRoster(const std::vector<host_address> &addresses)
{
    return absl::StrJoin(addresses, "\n",
                         [](std::string *out, const host_address &address) { out->append(toString(address)); });
}

std::vector<host_address> parseRoster(const std::string &text)
{
    std::vector<host_address> addresses;
    const std::vector<std::string> lines = absl::StrSplit(text, '\n', absl::SkipEmpty());
    for (const auto &line : lines) {
        if (const auto address = parseHostAddress(line))
            addresses.push_back(*address);
    }
    return addresses;
}

/// Highest revision above `above`; number 0 when there is none. Nullopt when the platform did not answer.
std::optional<platform_read_done> readHighest(object_store &store, std::uint64_t above)
{
    platform_failure reason{};
    const auto listed = store.list({.prefix = std::string(kRevisionPrefix), .limit = 1, .descending = true}, &reason);
    if (!listed)
        return std::nullopt;
    if (listed->entries.empty())
        return platform_read_done{};
    const auto number = parseRevisionKey(listed->entries.front().key);
    if (!number || *number <= above)
        return platform_read_done{};
    auto object = store.get(listed->entries.front().key, &reason);
    if (!object)
        return std::nullopt;
    return platform_read_done{*number, std::make_shared<const std::string>(std::move(object->value))};
}

bool contains(const std::vector<host_address> &addresses, const host_address &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

/// The wanted addresses, and those that another node added to the object since `base` was read.
std::vector<host_address> mergeRoster(const write_roster &call, const std::vector<host_address> &present)
{
    auto merged = call.addresses;
    for (const auto &address : present) {
        if (merged.size() < kMaxRosterAddresses && !contains(call.base, address) && !contains(merged, address))
            merged.push_back(address);
    }
    return merged;
}

/// Several nodes of a failure domain may start at once, so after a version conflict the change is merged into the new
/// content of the object and written again.
bool writeRosterObject(object_store &store, const write_roster &call)
{
    const auto key = rosterKey(call.domain);
    for (int attempt = 0; attempt < kRosterAttempts; ++attempt) {
        platform_failure reason{};
        const auto present = store.get(key, &reason);
        if (!present && reason != platform_failure::not_found)
            return false;
        const auto value =
            formatRoster(mergeRoster(call, present ? parseRoster(present->value) : std::vector<host_address>()));
        if (present && present->value == value)
            return true;
        const auto written =
            present ? store.update(key, value, present->version, &reason) : store.create(key, value, &reason);
        if (written || reason != platform_failure::conflict)
            return written.has_value();
    }
    return false;
}

bool writeRecord(object_store &store, const config_in_force_record &record)
{
    platform_failure reason{};
    const auto key = inForceKey(record.domain, record.revision);
    const auto present = store.get(key, &reason);
    if (!present)
        return reason == platform_failure::not_found
               && store.create(key, formatInForceRecord(record), &reason).has_value();
    const auto old = parseInForceRecord(present->value);
    const auto merged = old ? mergeInForceRecords(*old, record) : record;
    const auto value = formatInForceRecord(merged);
    return value == present->value || store.update(key, value, present->version, &reason).has_value();
}

/// Creates a revision unless the platform has one with its number. Returns whether that one is the same, nullopt if it
/// is not known.
std::optional<bool> writeBack(object_store &store, const revision_document &revision)
{
    platform_failure reason{};
    const auto key = revisionKey(revision.number);
    if (const auto present = store.get(key, &reason))
        return present->value == *revision.text;
    if (reason != platform_failure::not_found || !store.create(key, *revision.text, &reason))
        return std::nullopt;
    return true;
}

/// Writes the note that a restore has been handled. Another node may have written it before.
bool writeRestoreNote(object_store &store, std::uint64_t era)
{
    platform_failure reason{};
    const auto note = absl::StrCat("era: ", era, "\n");
    return store.create(restoreKey(era), note, &reason) || reason == platform_failure::conflict;
}

std::optional<lost_revisions_written> writeLostRevisions(object_store &store, const write_lost_revisions &call)
{
    lost_revisions_written result{.era = call.era, .isComplete = call.isComplete};
    for (const auto &revision : call.revisions) {
        const auto isSame = writeBack(store, revision);
        if (!isSame)
            return std::nullopt;
        if (!*isSame)
            ++result.conflicts;
    }
    if (call.isComplete && !writeRestoreNote(store, call.era))
        return std::nullopt;
    return result;
}

} // namespace

std::string rosterKey(const std::string &domain)
{
    return std::string(kRosterPrefix) + domain;
}

platform_worker::platform_worker(const host_address &platform)
    : m_callStore({.address = platform, .callDeadline = kCallDeadline})
    , m_watchStore({.address = platform, .callDeadline = kCallDeadline})
    , m_callThread([this] { runCalls(); })
    , m_watchThread([this] { runWatch(); })
{}

platform_worker::~platform_worker()
{
    m_requests.close();
    m_replies.close();
    {
        const std::lock_guard lock(m_watchMutex);
        m_stopping = true;
    }
    m_watchChanged.notify_all();
    m_callStore.stop();
    m_watchStore.stop();
    m_callThread.join();
    m_watchThread.join();
}

void platform_worker::request(platform_request call)
{
    m_requests.tryPush(std::move(call));
}

void platform_worker::recordEra(const object_store &store)
{
    store_era before = m_era;
    const store_era era = store.era();
    if (era > before && m_era.compare_exchange_strong(before, era) && before != 0)
        reply(config_dissemination_event(platform_restored{era}));
}

void platform_worker::reply(platform_reply answer)
{
    m_replies.push(std::move(answer));
}

struct platform_worker::call_handler
{
    platform_worker &worker;

    void operator()(const read_platform &call) const
    {
        worker.m_calls += 2;
        if (auto done = readHighest(worker.m_callStore, call.above))
            worker.reply(config_dissemination_event(std::move(*done)));
        else
            worker.reply(config_dissemination_event(platform_read_failed{}));
    }
    void operator()(const write_in_force_record &call) const
    {
        worker.m_calls += 2;
        if (writeRecord(worker.m_callStore, call.record))
            worker.reply(config_dissemination_event(record_write_done{call.record.revision, worker.m_callStore.era()}));
        else
            worker.reply(config_dissemination_event(record_write_failed{call.record.revision}));
    }
    void operator()(const write_lost_revisions &call) const
    {
        worker.m_calls += call.revisions.size() + 1;
        if (const auto done = writeLostRevisions(worker.m_callStore, call))
            worker.reply(config_dissemination_event(*done));
        else
            worker.reply(config_dissemination_event(lost_revisions_write_failed{}));
    }
    void operator()(const read_rosters &) const
    {
        platform_failure reason{};
        ++worker.m_calls;
        const auto listed = worker.m_callStore.list({.prefix = std::string(kRosterPrefix)}, &reason);
        if (!listed) {
            worker.reply(rosters_failed{reason});
            return;
        }
        rosters_read rosters;
        for (const auto &entry : listed->entries) {
            ++worker.m_calls;
            if (const auto object = worker.m_callStore.get(entry.key, &reason))
                rosters.addresses[entry.key.substr(kRosterPrefix.size())] = parseRoster(object->value);
        }
        worker.reply(std::move(rosters));
    }
    // A failed write is not retried here: membership compares the object with its table and requests it again.
    void operator()(const write_roster &call) const
    {
        worker.m_calls += 2;
        writeRosterObject(worker.m_callStore, call);
    }
};

void platform_worker::runCalls()
{
    std::vector<platform_request> calls;
    while (m_requests.drain(&calls, time_point::max())) {
        for (const auto &call : calls) {
            std::visit(call_handler{*this}, call);
            recordEra(m_callStore);
        }
        calls.clear();
    }
}

void platform_worker::startWatch(std::uint64_t above)
{
    const std::lock_guard lock(m_watchMutex);
    m_watchEnabled = true;
    m_watchAbove = above;
    m_watchChanged.notify_all();
}

void platform_worker::stopWatch()
{
    const std::lock_guard lock(m_watchMutex);
    m_watchEnabled = false;
}

void platform_worker::runWatch()
{
    object_version from;
    for (;;) {
        {
            std::unique_lock lock(m_watchMutex);
            m_watchChanged.wait(lock, [this] { return m_watchEnabled || m_stopping; });
            if (m_stopping)
                return;
        }
        const bool isAnswered = watchOnce(&from);
        recordEra(m_watchStore);
        if (isAnswered)
            continue;
        {
            const std::lock_guard lock(m_watchMutex);
            m_watchEnabled = false;
        }
        reply(config_dissemination_event(watch_failed{}));
    }
}

bool platform_worker::initializeWatch(std::uint64_t above, object_version *from)
{
    platform_failure reason{};
    m_calls += 3;
    const auto listed = m_watchStore.list({.prefix = std::string(kRevisionPrefix), .limit = 1}, &reason);
    auto done = listed ? readHighest(m_watchStore, above) : std::nullopt;
    if (!done)
        return false;
    if (done->number > above)
        reply(config_dissemination_event(std::move(*done)));
    *from = listed->version;
    return true;
}

bool platform_worker::watchOnce(object_version *from)
{
    platform_failure reason{};
    std::uint64_t above = 0;
    {
        const std::lock_guard lock(m_watchMutex);
        above = m_watchAbove;
    }
    // The first watch starts at the version of a preceding read, since a watch from version 0 would deliver every old
    // revision.
    if (*from == object_version{} && !initializeWatch(above, from))
        return false;
    ++m_calls;
    const auto result =
        m_watchStore.watch({.prefix = std::string(kRevisionPrefix), .from = *from, .wait = kWatchWait}, &reason);
    if (!result && reason != platform_failure::history_gone)
        return false;
    if (!result) {
        // The platform was restored from an older copy, so the watch may have missed revisions. Read them again.
        *from = {};
        return true;
    }
    *from = result->version;
    const object_change *highest = nullptr;
    std::uint64_t number = above;
    for (const auto &change : result->changes) {
        const auto changed = parseRevisionKey(change.key);
        if (changed && change.value && *changed > number) {
            number = *changed;
            highest = &change;
        }
    }
    if (highest != nullptr)
        reply(config_dissemination_event(watch_event{number, std::make_shared<const std::string>(*highest->value)}));
    return true;
}

} // namespace citroncrank
