#include "citroncrank/settings.h"

#include <gtest/gtest.h>

using namespace citroncrank;

namespace {

settings_table table()
{
    return {{.path = "name", .description = "Name.", .required = true},
            {.path = "seeds", .type = settings_type::address, .isList = true, .isReloadable = true},
            {.path = "period", .type = settings_type::duration, .defaultValue = "1s", .isReloadable = true}};
}

settings_values valuesOf(const std::string &text)
{
    std::vector<settings_fault> faults;
    return parseSettings(text, "test.yaml", table(), &faults).value();
}

} // namespace

// Guards against a change that is reported as in force although the process keeps the earlier value, or the reverse.
TEST(SettingsChanges, SortsKeysByWhetherARunningProcessTakesThemOver)
{
    const settings_values before = valuesOf("name: a\n");
    const settings_values after = valuesOf("name: b\nseeds: [\"127.0.0.1:1\"]\nperiod: 2s\n");
    const settings_changes expected{.applied = {"period", "seeds"}, .atNextStart = {"name"}};
    EXPECT_EQ(compareSettings(table(), before, after), expected);
    EXPECT_EQ(compareSettings(table(), after, before), expected);
}

// Guards against log lines about a file that was rewritten without a change of values.
TEST(SettingsChanges, EqualValuesAreNoChange)
{
    EXPECT_EQ(compareSettings(table(), valuesOf("name: a\nperiod: 1s\n"), valuesOf("name: a\n")), settings_changes{});
}
