#pragma once

/// @file
/// A store that comes back from an older copy, for tests of the workers that call it.

#include "citroncrank/standin_platform_thread.h"
#include "citroncrank/store_worker.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace citroncrank {

/// A configuration that is accepted must be in force within this time, and an entry that the store has lost must be
/// back within it after the store's return.
constexpr std::chrono::seconds kConfigApplyLimit{3};
constexpr std::chrono::seconds kEntryReturnLimit{2};

class restored_store : public ::testing::Test
{
protected:
    store_access access()
    {
        return {m_store.address(), m_eras, [](const std::string &) {}, [this](const char *) { ++m_malformed; }};
    }

    /// Changes the store's objects in one step, so that no worker calls in between.
    void change(const std::function<void(standin_platform &)> &action) { m_store.run(action); }
    void copy()
    {
        change([](standin_platform &store) { store.copyObjects(); });
    }
    void restore()
    {
        change([](standin_platform &store) { store.restoreCopy(); });
    }

    std::string value(const std::string &key)
    {
        std::string found;
        change([&](standin_platform &store) {
            platform_failure reason{};
            if (const auto object = store.objects().get(key, &reason))
                found = object->value;
        });
        return found;
    }

    static bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    standin_platform_thread m_store;
    std::shared_ptr<store_era_monitor> m_eras = std::make_shared<store_era_monitor>();
    std::atomic<int> m_malformed = 0; ///< Documents that could not be read.
};

/// An operator's configuration without routes.
inline std::string configuration(std::uint64_t version)
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[],"services":[],"limits":{}})");
}

/// Writes an object whatever version it has.
inline void writeObject(standin_platform &store, const std::string &key, const std::string &value)
{
    platform_failure reason{};
    const auto before = store.objects().get(key, &reason);
    if (before)
        store.objects().update(key, value, before->version.number, &reason);
    else
        store.objects().create(key, value, &reason);
}

} // namespace citroncrank
