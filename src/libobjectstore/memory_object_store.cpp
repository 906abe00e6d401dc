#include "citroncrank/memory_object_store.h"

namespace citroncrank {

memory_object_store::memory_object_store(std::shared_ptr<memory_platform> platform)
    : m_platform(std::move(platform))
{}

std::optional<stored_object> memory_object_store::readObject(const std::string &key, platform_failure *lastReason)
{
    if (!isReachable(lastReason))
        return std::nullopt;
    return m_platform->objects.get(key, lastReason);
}

std::optional<write_number> memory_object_store::createObject(const std::string &key, const std::string &value,
                                                              platform_failure *lastReason)
{
    return write([&] { return m_platform->objects.create(key, value, lastReason); }, lastReason);
}

std::optional<write_number> memory_object_store::updateObject(const std::string &key, const std::string &value,
                                                              write_number expected, platform_failure *lastReason)
{
    return write([&] { return m_platform->objects.update(key, value, expected, lastReason); }, lastReason);
}

std::optional<write_number> memory_object_store::removeObject(const std::string &key, write_number expected,
                                                              platform_failure *lastReason)
{
    return write([&] { return m_platform->objects.remove(key, expected, lastReason); }, lastReason);
}

std::optional<object_list> memory_object_store::listObjects(const list_query &query, platform_failure *lastReason)
{
    if (!isReachable(lastReason))
        return std::nullopt;
    return m_platform->objects.list(query, lastReason);
}

std::optional<watch_result> memory_object_store::watchObjects(const watch_query &query, platform_failure *lastReason)
{
    if (!isReachable(lastReason))
        return std::nullopt;
    if (m_platform->emptyNextWatches > 0) {
        --m_platform->emptyNextWatches;
        return watch_result{.changes = {}, .version = query.from};
    }
    return m_platform->objects.changesAfter(query.prefix, query.from.number);
}

bool memory_object_store::isReachable(platform_failure *lastReason)
{
    ++m_platform->calls;
    recordEra(m_platform->objects.era());
    if (m_platform->down)
        *lastReason = platform_failure::unavailable;
    return !m_platform->down;
}

std::optional<write_number> memory_object_store::write(const std::function<std::optional<write_number>()> &apply,
                                                       platform_failure *lastReason)
{
    if (!isReachable(lastReason))
        return std::nullopt;
    std::uint32_t *const lost = m_platform->loseNextWrites > 0      ? &m_platform->loseNextWrites
                                : m_platform->loseNextResponses > 0 ? &m_platform->loseNextResponses
                                                                    : nullptr;
    if (lost == nullptr)
        return apply();
    if (lost == &m_platform->loseNextResponses)
        apply();
    --*lost;
    *lastReason = platform_failure::unknown_outcome;
    return std::nullopt;
}

} // namespace citroncrank
