#pragma once

/// @file
/// Object store in memory with fault injection, for tests.

#include "citroncrank/versioned_objects.h"

#include <functional>

namespace citroncrank {

/// Objects of a fake platform, shared by the stores of several simulated nodes, and the faults to inject.
struct memory_platform
{
    versioned_objects objects;
    bool down = false;                   ///< Every call fails as unavailable.
    std::uint32_t loseNextResponses = 0; ///< Number of writes that take effect and report unknown_outcome.
    std::uint32_t loseNextWrites = 0;    ///< Number of writes that report unknown_outcome without taking effect.
    std::uint32_t emptyNextWatches = 0;  ///< Number of watches that return without the changes that happened.
    std::uint64_t calls = 0;             ///< Calls received, also while down.
};

/// Object store on a memory_platform. Never blocks: a watch without changes returns at once, as if its wait had ended.
class memory_object_store : public object_store
{
public:
    explicit memory_object_store(std::shared_ptr<memory_platform> platform);

private:
    std::optional<stored_object> readObject(const std::string &key, platform_failure *lastReason) override;
    std::optional<write_number> createObject(const std::string &key, const std::string &value,
                                             platform_failure *lastReason) override;
    std::optional<write_number> updateObject(const std::string &key, const std::string &value, write_number expected,
                                             platform_failure *lastReason) override;
    std::optional<write_number> removeObject(const std::string &key, write_number expected,
                                             platform_failure *lastReason) override;
    std::optional<object_list> listObjects(const list_query &query, platform_failure *lastReason) override;
    std::optional<watch_result> watchObjects(const watch_query &query, platform_failure *lastReason) override;

    bool isReachable(platform_failure *lastReason);
    std::optional<write_number> write(const std::function<std::optional<write_number>()> &apply,
                                      platform_failure *lastReason);

    std::shared_ptr<memory_platform> m_platform;
};

} // namespace citroncrank
