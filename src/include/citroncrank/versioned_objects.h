#pragma once

/// @file
/// State and rules of the object API without transport, for fakes and the stand-in of the platform.

#include "citroncrank/object_store.h"

#include <map>

namespace citroncrank {

/// Versioned objects in memory. Conditions compare numbers only, as the platform does. Keeps a tombstone of each removed object, so that a watch from any version is complete.
class versioned_objects
{
public:
    /// Errors: not_found, rejected (invalid key).
    std::optional<stored_object> get(const std::string &key, platform_failure *lastReason) const;
    /// Errors: conflict, rejected (invalid key, or a value over kMaxObjectValueBytes).
    std::optional<write_number> create(const std::string &key, const std::string &value, platform_failure *lastReason);
    /// Errors: not_found, conflict, rejected.
    std::optional<write_number> update(const std::string &key, const std::string &value, write_number expected,
                                       platform_failure *lastReason);
    /// Errors: not_found, conflict, rejected.
    std::optional<write_number> remove(const std::string &key, write_number expected, platform_failure *lastReason);
    /// Errors: rejected (limit 0 or over kMaxListEntries).
    std::optional<object_list> list(const list_query &query, platform_failure *lastReason) const;

    /// Changes under a prefix after a version. A result holds at most about 4 MiB of values; a watch from its version
    /// returns the rest.
    watch_result changesAfter(const std::string &prefix, write_number from) const;

    /// Number of the latest write.
    write_number version() const { return m_version; }

    /// 1 at first, then one more after each restore().
    store_era era() const { return m_era; }
    /// Replaces all objects by those of an earlier copy. The writes since then are lost, and their numbers are given out
    /// again.
    void restore(const versioned_objects &copy);

private:
    struct record
    {
        write_number version = 0;
        std::optional<std::string> value; ///< nullopt: tombstone.
    };

    object_version versionOf(const record &source) const { return {m_era, source.version}; }
    bool checkExpected(const std::string &key, write_number expected, platform_failure *lastReason) const;
    write_number store(const std::string &key, std::optional<std::string> value);

    store_era m_era = 1;
    write_number m_version = 0;
    std::map<std::string, record> m_records;
    std::map<write_number, std::string> m_keysByVersion;
};

} // namespace citroncrank
