#pragma once

/// @file
/// Client interface of the platform's object API: versioned objects, conditional writes, watches.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Number of times that the store came back from an older copy of its objects. Rises by one each time. Writes that the
/// copy lacked are lost, and their numbers are given out again. 0: the store does not tell.
using store_era = std::uint64_t;

/// Number of a write. Unique and increasing within one era of the store. 0 is before the first write.
using write_number = std::uint64_t;

/// Version of an object: the write that last changed it. The number alone does not identify a write, since a later era
/// may give it out again.
struct object_version
{
    store_era era = 0;
    write_number number = 0;
    auto operator<=>(const object_version &) const = default;
};
/// Text for the log: era and number, such as "2:54".
std::string toString(const object_version &version);

/// Largest value of one object, in bytes.
constexpr std::size_t kMaxObjectValueBytes = 1024 * 1024;
/// Largest key, in bytes.
constexpr std::size_t kMaxObjectKeyBytes = 256;
/// Largest number of entries in one list result.
constexpr std::size_t kMaxListEntries = 1000;

/// Why a call to the platform had no result.
enum class platform_failure : std::uint8_t {
    not_found,       ///< No object has this key.
    conflict,        ///< The object exists already (create), or has another version (update, remove).
    unavailable,     ///< The platform was not reached or refused the call; a write did not take effect.
    unknown_outcome, ///< The connection failed after a write was sent; it may have taken effect, now or later.
    rejected,        ///< The platform does not accept the call; a retry fails as well.
    history_gone,    ///< The platform has dropped the changes that a watch requested; the objects must be listed again.
};
constexpr int kPlatformFailureCount = 6;
const char *toString(platform_failure failure);

/// One object as read. Values are UTF-8 text.
struct stored_object
{
    std::string key;
    object_version version;
    std::string value;
    auto operator<=>(const stored_object &) const = default;
};

/// One entry of a list. If the platform omits the value, it is read with `get`.
struct object_entry
{
    std::string key;
    object_version version;
    std::uint64_t valueBytes = 0;
    std::optional<std::string> value = std::nullopt;
    auto operator<=>(const object_entry &) const = default;
};

/// Selects a part of a list.
struct list_query
{
    std::string prefix;
    std::string after; ///< Starts after this key in the order of the list; empty starts at its first entry.
    std::size_t limit = kMaxListEntries; ///< At most kMaxListEntries.
    bool descending = false;             ///< Highest key first.
};

/// Part of a list, ordered by key.
struct object_list
{
    std::vector<object_entry> entries;
    bool more = false; ///< Further entries follow the last one.
    /// Latest write of the store when the list was made; a watch from this version reports all later changes.
    object_version version;
    std::size_t unreadable = 0; ///< Entries that were left out.
    auto operator<=>(const object_list &) const = default;
};

/// Requests the changes under a prefix after a version.
struct watch_query
{
    std::string prefix;
    object_version from;               ///< Changes up to this version are already known.
    std::chrono::milliseconds wait{0}; ///< The platform responds after this time even if nothing changed.
};

/// Latest state of an object that changed.
struct object_change
{
    std::string key;
    object_version version;
    std::optional<std::string> value; ///< nullopt: the object was removed.
    auto operator<=>(const object_change &) const = default;
};

/// Result of a watch. Several changes of one object are reported as its latest state.
struct watch_result
{
    std::vector<object_change> changes; ///< Ordered by version.
    object_version version;             ///< Version from which the next watch starts.
    std::size_t unreadable = 0;         ///< Changes that were left out, since they cannot be read.
    auto operator<=>(const watch_result &) const = default;
};

/// The platform's object API. Each call blocks until its result or its deadline. On failure a call returns nullopt
/// and stores the cause in `lastReason` (must not be null). Versions carry the era that the store named in its answer;
/// one of an earlier era matches no object and starts no watch. Not thread safe; each thread uses a store of its own.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads an object. Errors: not_found, unavailable, rejected.
    std::optional<stored_object> get(const std::string &key, platform_failure *lastReason);

    /// Creates an object if none has this key; returns its version. Errors: conflict, unavailable, unknown_outcome,
    /// rejected.
    std::optional<object_version> create(const std::string &key, const std::string &value,
                                         platform_failure *lastReason);

    /// Replaces the value if the object has the expected version; returns the new version. Errors: not_found,
    /// conflict, unavailable, unknown_outcome (also if the store came back from an older copy meanwhile), rejected.
    std::optional<object_version> update(const std::string &key, const std::string &value,
                                         const object_version &expected, platform_failure *lastReason);

    /// Removes the object if it has the expected version; returns the version of the removal. Errors: as update().
    std::optional<object_version> remove(const std::string &key, const object_version &expected,
                                         platform_failure *lastReason);

    /// Lists keys and versions under a prefix. Errors: unavailable, rejected.
    std::optional<object_list> list(const list_query &query, platform_failure *lastReason);

    /// Waits for changes under a prefix (long poll). A result without changes means that the wait ended. Errors:
    /// unavailable, rejected, history_gone (also if the start version is of another era).
    std::optional<watch_result> watch(const watch_query &query, platform_failure *lastReason);

    /// Era that the store named in its last answer. 0 before the first answer, or if the store does not tell its era.
    store_era era() const { return m_era; }

protected:
    /// Call for each answer, also for failures. Nullopt: the answer names no era.
    void recordEra(std::optional<store_era> era) { m_era = era.value_or(m_era); }

private:
    // Calls to the platform, which knows numbers only. The era of the versions in results is set by the caller.
    virtual std::optional<stored_object> readObject(const std::string &key, platform_failure *lastReason) = 0;
    virtual std::optional<write_number> createObject(const std::string &key, const std::string &value,
                                                     platform_failure *lastReason) = 0;
    virtual std::optional<write_number> updateObject(const std::string &key, const std::string &value,
                                                     write_number expected, platform_failure *lastReason) = 0;
    virtual std::optional<write_number> removeObject(const std::string &key, write_number expected,
                                                     platform_failure *lastReason) = 0;
    virtual std::optional<object_list> listObjects(const list_query &query, platform_failure *lastReason) = 0;
    virtual std::optional<watch_result> watchObjects(const watch_query &query, platform_failure *lastReason) = 0;

    bool mayMatch(const object_version &version) const { return m_era == 0 || version.era == m_era; }
    std::optional<object_version> evaluateWrite(std::optional<write_number> number, const object_version &expected,
                                                platform_failure *lastReason) const;

    store_era m_era = 0;
};

/// Returns true if the key is not empty, has at most kMaxObjectKeyBytes bytes of letters, digits and `. _ - /`, and
/// does not start with `/`.
bool isValidObjectKey(const std::string &key);

/// Header of each response of the object API: the era of the store.
constexpr const char *kObjectApiEraHeader = "Object-Era";

/// Settings of the HTTP client.
struct http_object_store_settings
{
    host_address address;
    /// Until the response begins; the wait of a watch is added to it. See http_connection_settings.
    std::chrono::milliseconds callDeadline{5000};
};

struct object_api_request;
struct object_api_response;

/// Object API over HTTP/1.1 with JSON (docs/platform-api.md). Keeps one connection alive between calls. Calls block
/// the calling thread.
class http_object_store : public object_store
{
public:
    explicit http_object_store(http_object_store_settings settings);
    ~http_object_store() override;
    http_object_store(const http_object_store &) = delete;
    http_object_store &operator=(const http_object_store &) = delete;

    /// Aborts the call in progress and makes all later calls fail as unavailable. The only member that may be called
    /// from another thread; used to stop a thread that waits in a watch.
    void stop();

private:
    class implementation;

    std::optional<stored_object> readObject(const std::string &key, platform_failure *lastReason) override;
    std::optional<write_number> createObject(const std::string &key, const std::string &value,
                                             platform_failure *lastReason) override;
    std::optional<write_number> updateObject(const std::string &key, const std::string &value, write_number expected,
                                             platform_failure *lastReason) override;
    std::optional<write_number> removeObject(const std::string &key, write_number expected,
                                             platform_failure *lastReason) override;
    std::optional<object_list> listObjects(const list_query &query, platform_failure *lastReason) override;
    std::optional<watch_result> watchObjects(const watch_query &query, platform_failure *lastReason) override;

    std::optional<object_api_response> call(const object_api_request &request, std::chrono::milliseconds wait,
                                            bool isIdempotent, platform_failure *lastReason);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace citroncrank
