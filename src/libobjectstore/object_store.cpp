#include "citroncrank/object_store.h"

namespace citroncrank {

std::string toString(const object_version &version)
{
    return std::to_string(version.era) + ":" + std::to_string(version.number);
}

std::optional<stored_object> object_store::get(const std::string &key, platform_failure *lastReason)
{
    auto object = readObject(key, lastReason);
    if (object)
        object->version.era = m_era;
    return object;
}

std::optional<object_version> object_store::create(const std::string &key, const std::string &value,
                                                   platform_failure *lastReason)
{
    const auto number = createObject(key, value, lastReason);
    return number ? std::optional(object_version{m_era, *number}) : std::nullopt;
}

std::optional<object_version> object_store::update(const std::string &key, const std::string &value,
                                                   const object_version &expected, platform_failure *lastReason)
{
    *lastReason = platform_failure::conflict;
    if (!mayMatch(expected))
        return std::nullopt;
    return evaluateWrite(updateObject(key, value, expected.number, lastReason), expected, lastReason);
}

std::optional<object_version> object_store::remove(const std::string &key, const object_version &expected,
                                                   platform_failure *lastReason)
{
    *lastReason = platform_failure::conflict;
    if (!mayMatch(expected))
        return std::nullopt;
    return evaluateWrite(removeObject(key, expected.number, lastReason), expected, lastReason);
}

// The platform compares numbers only. If it was restored since the expected version was read, the condition may have
// matched another object.
std::optional<object_version> object_store::evaluateWrite(std::optional<write_number> number,
                                                          const object_version &expected,
                                                          platform_failure *lastReason) const
{
    if (!number)
        return std::nullopt;
    if (!mayMatch(expected)) {
        *lastReason = platform_failure::unknown_outcome;
        return std::nullopt;
    }
    return object_version{m_era, *number};
}

std::optional<object_list> object_store::list(const list_query &query, platform_failure *lastReason)
{
    auto list = listObjects(query, lastReason);
    if (!list)
        return std::nullopt;
    list->version.era = m_era;
    for (object_entry &entry : list->entries)
        entry.version.era = m_era;
    return list;
}

std::optional<watch_result> object_store::watch(const watch_query &query, platform_failure *lastReason)
{
    // A watch that names no listing reports all changes, in any era.
    const bool isFromStart = query.from == object_version{};
    *lastReason = platform_failure::history_gone;
    if (!isFromStart && !mayMatch(query.from))
        return std::nullopt;
    auto result = watchObjects(query, lastReason);
    if (!result)
        return std::nullopt;
    if (!isFromStart && !mayMatch(query.from)) {
        *lastReason = platform_failure::history_gone;
        return std::nullopt;
    }
    result->version.era = m_era;
    for (object_change &change : result->changes)
        change.version.era = m_era;
    return result;
}

} // namespace citroncrank
