#include "citroncrank/snapshot_worker.h"

#include "names.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace citroncrank {

namespace json = boost::json;

namespace {

// submit() ends this wait.
constexpr duration kIdleWait = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kRemoveTimeout{500};
constexpr const char *kTextField = "flows";

std::string formatSnapshotObject(const std::string &text)
{
    return json::serialize(json::object{{kTextField, text}});
}

std::optional<std::string> parseSnapshotObject(const std::string &value)
{
    boost::system::error_code reason;
    const json::value parsed = json::parse(value, reason);
    if (reason || !parsed.is_object())
        return std::nullopt;
    const json::value *const text = parsed.as_object().if_contains(kTextField);
    return text != nullptr && text->is_string() ? std::optional(std::string(text->as_string())) : std::nullopt;
}

} // namespace

snapshot_worker::snapshot_worker(const store_access &access, std::string nodeName, receiver receive)
    : store_worker("snapshot", access)
    , m_nodeName(std::move(nodeName))
    , m_key(platform::kSnapshotsPrefix + m_nodeName)
    , m_receive(std::move(receive))
    , m_storeAddress(access.address)
{}

snapshot_worker::~snapshot_worker()
{
    stop();
}

void snapshot_worker::submit(std::string text)
{
    {
        const std::lock_guard lock(m_pendingMutex);
        m_pending = std::move(text);
    }
    wake();
}

// The store may have lost the last snapshot, or hold an older one.
void snapshot_worker::resubmit()
{
    m_isVersionKnown = false;
    const std::lock_guard lock(m_pendingMutex);
    if (!m_pending && !m_written.empty())
        m_pending = m_written;
}

std::optional<std::string> snapshot_worker::pending() const
{
    const std::lock_guard lock(m_pendingMutex);
    return m_pending;
}

void snapshot_worker::clearPending(const std::string &text)
{
    const std::lock_guard lock(m_pendingMutex);
    if (m_pending == text)
        m_pending = std::nullopt;
}

std::optional<duration> snapshot_worker::step()
{
    if (takeLaterEra())
        resubmit();
    if (!m_isVersionKnown)
        return read();
    const auto text = pending();
    return text ? write(*text) : std::optional<duration>(kIdleWait);
}

std::optional<duration> snapshot_worker::read()
{
    platform_failure reason = platform_failure::unavailable;
    const auto object = store().get(m_key, &reason);
    const bool isAbsent = !object && reason == platform_failure::not_found;
    const duration pause = recordCall(object || isAbsent, reason);
    if (!object && !isAbsent)
        return pause;
    m_isVersionKnown = true;
    m_version = object ? object->version : object_version{};
    if (std::exchange(m_isReceived, true) || !object)
        return pause;
    if (const auto text = parseSnapshotObject(object->value))
        m_receive(*text);
    else
        log(absl::StrCat("snapshot object cannot be parsed, version=", toString(m_version)));
    return pause;
}

std::optional<duration> snapshot_worker::write(const std::string &text)
{
    platform_failure reason = platform_failure::unavailable;
    const std::string value = formatSnapshotObject(text);
    const auto version = m_version == object_version{} ? store().create(m_key, value, &reason)
                                                       : store().update(m_key, value, m_version, &reason);
    if (version) {
        m_version = *version;
        m_written = text;
        clearPending(text);
        return recordCall(true, reason);
    }
    if (reason == platform_failure::rejected) {
        log(absl::StrCat("snapshot rejected, bytes=", text.size()));
        clearPending(text);
        return recordCall(true, reason);
    }
    // The outcome may be unknown; reading the object shows whether this write or another one took effect.
    m_isVersionKnown = false;
    const bool isAnswered = reason == platform_failure::conflict || reason == platform_failure::not_found;
    return recordCall(isAnswered, reason);
}

bool removeSnapshot(object_store *store, const std::string &nodeName, platform_failure *lastReason)
{
    const std::string key = platform::kSnapshotsPrefix + nodeName;
    const auto object = store->get(key, lastReason);
    if (!object)
        return *lastReason == platform_failure::not_found;
    return store->remove(key, object->version, lastReason).has_value();
}

// One attempt is enough, since balancers remove the snapshots of stale nodes.
void snapshot_worker::removeOwnSnapshot()
{
    if (m_version == object_version{})
        return;
    platform::platform_store store({m_storeAddress, kRemoveTimeout});
    platform_failure reason = platform_failure::unavailable;
    if (!removeSnapshot(&store, m_nodeName, &reason))
        log(absl::StrCat("own snapshot not removed, reason=", toString(reason)));
}

} // namespace citroncrank
