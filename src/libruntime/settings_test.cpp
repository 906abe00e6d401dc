#include "citroncrank/settings.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <stdexcept>

namespace citroncrank {
namespace {

settings_table testTable()
{
    return {
        {.path = "name", .description = "Name of the node.", .required = true, .maximum = 20},
        {.path = "listen.address", .type = settings_type::address, .description = "Port | address.", .required = true},
        {.path = "flows.limit",
         .type = settings_type::integer,
         .description = "Open flows.",
         .defaultValue = "100",
         .minimum = 1,
         .maximum = 5000,
         .unit = "flows"},
        {.path = "flows.offer_timeout",
         .type = settings_type::duration,
         .description = "Offer timeout.",
         .defaultValue = "1s",
         .minimum = 1000},
        {.path = "log.json", .type = settings_type::boolean, .description = "JSON logs.", .defaultValue = "false"},
        {.path = "log.level", .description = "Level.", .defaultValue = "info", .choices = {"info", "error"}},
        {.path = "log.file", .description = "Log file."},
        {.path = "seeds",
         .type = settings_type::address,
         .description = "Seeds.",
         .defaultValue = "10.0.0.1:1, 10.0.0.2:2",
         .isList = true},
        {.path = "tags", .description = "Tags.", .defaultValue = "", .maximum = 2, .isList = true},
        {.path = "key", .type = settings_type::secret, .description = "Key.", .minimum = 4, .maximum = 8},
    };
}

const std::string kMinimal = "name: a\nlisten: {address: 127.0.0.1:9000}\n";

std::vector<std::string> faultsOf(const std::string &text)
{
    std::vector<settings_fault> faults;
    const bool accepted = parseSettings(text, "agent.yaml", testTable(), &faults).has_value();
    EXPECT_EQ(accepted, faults.empty());
    std::vector<std::string> lines;
    lines.reserve(faults.size());
    std::transform(faults.begin(), faults.end(), std::back_inserter(lines),
                   [](const settings_fault &fault) { return toString(fault); });
    return lines;
}

using fault_lines = std::vector<std::string>;

// Guards against values that are read into the wrong type or unit.
TEST(Settings, ValuesOfEveryType)
{
    std::vector<settings_fault> faults;
    const auto values = parseSettings("name: \"007\"\nlisten.address: 127.0.0.1:9000\nflows:\n  limit: 5000\n"
                                      "  offer_timeout: 250ms\nlog: {json: true, level: error, file: /tmp/x}\n"
                                      "seeds: []\ntags: [a, 2]\nkey: hex:00FF10ab\n",
                                      "agent.yaml", testTable(), &faults);
    ASSERT_TRUE(values) << toString(faults.front());
    EXPECT_EQ(values->getText("name"), "007");
    EXPECT_EQ(values->getAddress("listen.address"), (host_address{0x7F000001, 9000}));
    EXPECT_EQ(values->getInteger("flows.limit"), 5000);
    EXPECT_EQ(values->getDuration("flows.offer_timeout"), std::chrono::milliseconds(250));
    EXPECT_TRUE(values->getBoolean("log.json"));
    EXPECT_EQ(values->getText("log.file"), "/tmp/x");
    EXPECT_TRUE(values->getAddresses("seeds").empty());
    EXPECT_EQ(values->getTexts("tags"), (std::vector<std::string>{"a", "2"}));
    EXPECT_EQ(values->getSecret("key"), std::string("\0\xFF\x10\xAB", 4));
}

// Guards against a process that does not start because the platform specifies a rate as a fraction.
TEST(Settings, NumbersAreRoundedDown)
{
    const settings_table table = {
        {.path = "rate", .type = settings_type::number, .description = "Rate.", .minimum = 1}};
    const auto rate = [&](const std::string &text) -> std::optional<std::int64_t> {
        std::vector<settings_fault> faults;
        const auto values = parseSettings("rate: " + text + "\n", "agent.yaml", table, &faults);
        return values ? std::optional(values->getInteger("rate")) : std::nullopt;
    };
    EXPECT_EQ(rate("400"), 400);
    EXPECT_EQ(rate("400.0"), 400);
    EXPECT_EQ(rate("412.9"), 412);
    for (const char *const wrong : {"0.5", "many", "nan", "inf", "1e300", "\"\""})
        EXPECT_EQ(rate(wrong), std::nullopt) << wrong;
}

// Guards against a factor that loses its fraction, and against bounds that are reported in another unit than the file's.
TEST(Settings, DecimalsAreKeptInThousandths)
{
    const settings_table table = {
        {.path = "excess", .type = settings_type::decimal, .description = "Excess.", .minimum = 500, .maximum = 4000}};
    std::vector<settings_fault> faults;
    const auto excess = [&](const std::string &text) -> std::optional<std::int64_t> {
        const auto values = parseSettings("excess: " + text + "\n", "agent.yaml", table, &faults);
        return values ? std::optional(values->getInteger("excess")) : std::nullopt;
    };
    EXPECT_EQ(excess("1.25"), 1250);
    EXPECT_EQ(excess("4"), 4000);
    EXPECT_EQ(excess("1.2999999"), 1300);
    for (const char *const wrong : {"many", "nan", "inf", "1e300"})
        EXPECT_EQ(excess(wrong), std::nullopt) << wrong;
    faults.clear();
    EXPECT_EQ(excess("4.5"), std::nullopt);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(toString(faults.front()),
              R"(agent.yaml:1: value of key "excess" is out of range; 4.5 is not within 0.5 to 4)");
}

// Guards against defaults that are not applied, and against a getter that returns a value for an absent key.
TEST(Settings, DefaultsAndAbsentKeys)
{
    std::vector<settings_fault> faults;
    const auto values = parseSettings(kMinimal, "agent.yaml", testTable(), &faults);
    ASSERT_TRUE(values);
    EXPECT_EQ(values->getInteger("flows.limit"), 100);
    EXPECT_EQ(values->getDuration("flows.offer_timeout"), std::chrono::seconds(1));
    EXPECT_EQ(values->getAddresses("seeds"), (std::vector<host_address>{{0x0A000001, 1}, {0x0A000002, 2}}));
    EXPECT_FALSE(values->has("log.file"));
    EXPECT_THROW(values->getText("log.file"), std::logic_error);
    EXPECT_THROW(values->getInteger("name"), std::logic_error);
}

// Guards against reporting only the first fault, which would cost operators one start of the process per typo.
TEST(Settings, AllFaultsAreReportedAtOnce)
{
    EXPECT_EQ(
        faultsOf("name: [a]\nlisten:\n  adress: 127.0.0.1:9000\nflows: {limit: 0, offer_timeout: 3}\n"
                 "log:\n  level: trace\n  json: yes\n  level: info\nkey: secret-that-is-long\nzzzzzzzzzzzz: 1\n"),
        (fault_lines{
            R"(agent.yaml: missing key "listen.address"; expected an IPv4 address and port such as "127.0.0.1:9000")",
            R"(agent.yaml:1: wrong type for key "name"; expected a text)",
            R"(agent.yaml:3: unknown key "listen.adress"; did you mean "listen.address"?)",
            R"(agent.yaml:4: value of key "flows.limit" is out of range; 0 flows is not within 1 to 5000 flows)",
            R"(agent.yaml:4: wrong type for key "flows.offer_timeout"; expected a duration such as "250ms", "3s" or "2m")",
            R"(agent.yaml:6: value of key "log.level" is out of range; expected one of info, error)",
            R"(agent.yaml:7: wrong type for key "log.json"; expected true or false)",
            R"(agent.yaml:8: duplicate key "log.level"; first set at line 6)",
            R"(agent.yaml:9: value of key "key" is out of range; 19 bytes is not within 4 to 8 bytes)",
            R"(agent.yaml:10: unknown key "zzzzzzzzzzzz")"}));
}

// Guards against a misplaced section or value that is silently ignored.
TEST(Settings, SectionsAndValuesAreNotInterchangeable)
{
    EXPECT_EQ(faultsOf(kMinimal
                       + "log: debug\nflows: {limit: {max: 3}}\ntags: [[a], {b: c}]\nseeds: 10.0.0.1:1\nunknown: {}\n"),
              (fault_lines{R"(agent.yaml:3: wrong type for key "log"; expected a section)",
                           R"(agent.yaml:4: wrong type for key "flows.limit"; expected a whole number)",
                           R"(agent.yaml:5: wrong type for key "tags"; expected a list of texts)",
                           R"(agent.yaml:6: wrong type for key "seeds"; expected a list of IPv4 addresses with ports)",
                           R"(agent.yaml:7: unknown key "unknown")"}));
    EXPECT_EQ(faultsOf(kMinimal + "log:\nname: b\n"),
              (fault_lines{R"(agent.yaml:4: duplicate key "name"; first set at line 1)"}));
}

// Guards against a crash, a hang or an accepted file for input that is not a settings file.
TEST(Settings, HostileDocuments)
{
    EXPECT_EQ(faultsOf("- a\n").front(), "agent.yaml:1: syntax error: the document is not a mapping of keys");
    EXPECT_EQ(faultsOf("just text").front(), "agent.yaml:1: syntax error: the document is not a mapping of keys");
    EXPECT_EQ(faultsOf("a: &x [1]\nb: *x\n").back(), "agent.yaml:2: syntax error: aliases are not supported");
    EXPECT_EQ(faultsOf("? [a]\n: b\n").front(), "agent.yaml:1: syntax error: a key is not a text");
    EXPECT_EQ(faultsOf(kMinimal + "---\nname: b\n").front(),
              "agent.yaml: syntax error: the file holds more than one document");
    EXPECT_EQ(faultsOf(std::string(kMaxSettingsBytes + 1, ' ')).size(), 1);
    EXPECT_FALSE(faultsOf("name: \"unterminated\nlisten: [").empty());
    EXPECT_FALSE(faultsOf(std::string(100000, '[')).empty());
    EXPECT_FALSE(faultsOf(std::string(100000, '{')).empty());
    std::string nested;
    for (int depth = 0; depth < 40; ++depth)
        nested += std::string(std::size_t(depth), ' ') + "a:\n";
    EXPECT_EQ(faultsOf(nested + std::string(40, ' ') + "b: 1\n").back(),
              "agent.yaml:17: syntax error: sections are nested too deeply");
    EXPECT_EQ(faultsOf(kMinimal + "\"\\e[2J\\n\": 1\n").front(), R"(agent.yaml:3: unknown key "\033[2J\n")");
    EXPECT_EQ(faultsOf("").size(), 2);
}

// Guards against faults that print a secret.
TEST(Settings, FaultsDoNotShowSecrets)
{
    for (const auto &line : faultsOf(kMinimal + "key: hex:abcdefg\n"))
        EXPECT_EQ(line.find("abcdefg"), std::string::npos);
}

// Guards against a parser crash on any text made of YAML's special characters.
RC_GTEST_PROP(Settings, ArbitraryTextIsRefusedNotFatal, ())
{
    const auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("an:-?&*!|>'\"%@#{}[],\n \t\x80~<=")));
    std::vector<settings_fault> faults;
    RC_ASSERT(!parseSettings(text, "f", testTable(), &faults));
    RC_ASSERT(!faults.empty());
}

// Guards against durations and addresses that overflow or are truncated.
TEST(Settings, DurationAndAddressNotations)
{
    EXPECT_EQ(parseSettingsDuration("2m"), std::chrono::minutes(2));
    EXPECT_EQ(parseSettingsDuration("7us"), duration(7));
    for (const auto *text : {"", "5", "ms", "-1s", "1.5s", "1 s", "9223372036854775807h", "99999999999999999999us"})
        EXPECT_FALSE(parseSettingsDuration(text)) << text;
    for (const auto *text : {"0s", "250ms", "3s", "2m", "1h", "61s", "1001us"})
        EXPECT_EQ(formatSettingsDuration(*parseSettingsDuration(text)), text);
    EXPECT_EQ(parseHostAddress("255.255.255.255:65535"), (host_address{0xFFFFFFFF, 65535}));
    for (const auto *text :
         {"", ":1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3:1", "localhost:1", "[::1]:1", "1.2.3.4:+1"})
        EXPECT_FALSE(parseHostAddress(text)) << text;
    EXPECT_FALSE(parseHostAddress(std::string_view("1.2.3.4\0:1", 10)));
}

// Guards against a process that starts with defaults although the file is missing or is a folder.
TEST(Settings, UnreadableFile)
{
    std::vector<settings_fault> faults;
    EXPECT_FALSE(readSettings("/nonexistent/agent.yaml", {}, &faults));
    EXPECT_EQ(toString(faults.at(0)),
              "/nonexistent/agent.yaml: syntax error: cannot be read: No such file or directory");
    EXPECT_FALSE(readSettings("/", {}, &faults));
    EXPECT_EQ(faults.size(), 1);
}

// Guards against a reference page that does not match the table of keys, and against broken Markdown.
TEST(Settings, ReferencePage)
{
    const std::string page = describeSettings(testTable());
    EXPECT_NE(page.find("| `listen.address` | address |  | required | Port \\| address. |\n"), std::string::npos)
        << page;
    EXPECT_NE(page.find("| `flows.limit` | integer (flows) | 1 to 5000 flows | `100` | Open flows. |\n"),
              std::string::npos);
    EXPECT_NE(page.find("| `flows.offer_timeout` | duration | at least 1ms | `1s` |"), std::string::npos);
    EXPECT_EQ(page.find("Changes apply"), std::string::npos);
    settings_table reloadable = testTable();
    reloadable.front().isReloadable = true;
    EXPECT_NE(describeSettings(reloadable).find("Changes apply to a running process. |"), std::string::npos);
    EXPECT_NE(page.find("| `tags` | list of texts | at most 2 items | empty |"), std::string::npos);
}

} // namespace
} // namespace citroncrank
