#include "citroncrank/settings_watch.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace citroncrank;

namespace {

class SettingsWatch : public ::testing::Test
{
public:
    SettingsWatch() { write("name: a\n"); }
    ~SettingsWatch() override { std::filesystem::remove(m_path); }

    /// Replaces the file atomically.
    void write(const std::string &text) const
    {
        const std::string next = m_path + ".next";
        std::ofstream(next) << text;
        std::filesystem::rename(next, m_path);
    }

    std::optional<settings_watch> open()
    {
        return settings_watch::open(
            m_path,
            {{.path = "name", .required = true},
             {.path = "period", .type = settings_type::duration, .defaultValue = "1s", .isReloadable = true}},
            &faults);
    }

    void remove() const { std::filesystem::remove(m_path); }

    std::vector<settings_fault> faults;

private:
    std::string m_path =
        (std::filesystem::temp_directory_path() / ("settings_watch_test." + std::to_string(::getpid()))).string();
};

} // namespace

// Guards against a changed file that is not reloaded unless a signal arrives, and against a reload without a change.
TEST_F(SettingsWatch, ReadsAFileThatChangedWithoutASignal)
{
    auto watch = open();
    ASSERT_TRUE(watch);
    EXPECT_FALSE(watch->readIfChanged());
    write("name: a\nperiod: 2s\n");
    const auto reading = watch->readIfChanged();
    ASSERT_TRUE(reading);
    EXPECT_EQ(*reading, (settings_reload_result{.changes = {.applied = {"period"}}}));
    EXPECT_EQ(watch->values().getDuration("period"), std::chrono::seconds(2));
    EXPECT_FALSE(watch->readIfChanged());
}

// Guards against applying a part of a faulty file.
TEST_F(SettingsWatch, AFaultyFileChangesNothing)
{
    auto watch = open();
    ASSERT_TRUE(watch);
    write("name: b\nperiod: soon\n");
    const auto reading = watch->readIfChanged();
    ASSERT_TRUE(reading);
    EXPECT_EQ(reading->faults.size(), 1U);
    EXPECT_EQ(watch->values().getText("name"), "a");
    // Its faults are reported once.
    EXPECT_FALSE(watch->readIfChanged());
    write("name: a\nperiod: 3s\n");
    EXPECT_TRUE(watch->readIfChanged()->faults.empty());
    EXPECT_EQ(watch->values().getDuration("period"), std::chrono::seconds(3));
}

// Guards against a process that exits, or logs the same fault repeatedly, while its file is missing during a replacement.
TEST_F(SettingsWatch, AMissingFileIsReportedOnce)
{
    auto watch = open();
    ASSERT_TRUE(watch);
    remove();
    EXPECT_EQ(watch->readIfChanged()->faults.size(), 1U);
    EXPECT_FALSE(watch->readIfChanged());
    EXPECT_EQ(watch->read().faults.size(), 1U);
    write("name: a\n");
    EXPECT_EQ(*watch->readIfChanged(), settings_reload_result{});
}
