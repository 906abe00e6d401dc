#include "citroncrank/log.h"

#include "utf8_pvt.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

namespace citroncrank {
namespace {

// Replaces the digits of the time at the start of a line, so that the rest can be compared.
std::string maskTime(std::string line)
{
    const auto end = line.begin() + std::min<std::ptrdiff_t>(24, std::ptrdiff_t(line.size()));
    std::replace_if(
        line.begin(), end, [](unsigned char c) { return std::isdigit(c) != 0; }, '0');
    return line;
}

const std::string kMaskedTime = "0000-00-00T00:00:00.000Z";

class log_file
{
public:
    explicit log_file(log_format format)
    {
        std::remove(m_path.c_str());
        EXPECT_FALSE(configureLogging({log_level::info, format, m_path}));
    }
    ~log_file()
    {
        configureLogging({});
        std::remove(m_path.c_str());
    }
    std::string content() const
    {
        std::ostringstream text;
        text << std::ifstream(m_path).rdbuf();
        return text.str();
    }

private:
    std::string m_path = testing::TempDir() + "citroncrank-log-test-" + std::to_string(::getpid());
};

// Guards against a changed line format, which breaks operators' searches, and against a level that is not applied.
TEST(Log, TextLineHasTimeLevelComponentAndSentence)
{
    const log_file file(log_format::text);
    const logger agent("agent");
    agent.debug("dropped");
    agent.info("refused flow, reason=no_free_slot service=Ofnhreinsunarstofa ríkisins");
    EXPECT_FALSE(agent.enabled(log_level::debug));
    EXPECT_EQ(maskTime(file.content()),
              kMaskedTime + " INFO agent: refused flow, reason=no_free_slot service=Ofnhreinsunarstofa ríkisins\n");
}

// Guards against caller data that forges a log entry, and against output that is not valid UTF-8.
TEST(Log, HostileMessageStaysOneTextLine)
{
    const log_file file(log_format::text);
    logger("agent").warn("a\nb\x1b[2J\x80");
    EXPECT_EQ(maskTime(file.content()), kMaskedTime + " WARN agent: a\\nb\\x1b[2J\xEF\xBF\xBD\n");
}

// Guards against a message that terminates the JSON string early.
TEST(Log, HostileMessageStaysOneJsonObject)
{
    const log_file file(log_format::json);
    logger("agent").error("x\",\"level\":\"INFO\\\n\x01");
    const std::string expected =
        R"(","level":"ERROR","component":"agent","message":"x\",\"level\":\"INFO\\\u000a\u0001"})";
    EXPECT_TRUE(file.content().ends_with(expected + "\n")) << file.content();
    EXPECT_TRUE(file.content().starts_with(R"({"time":"20)"));
}

// Guards against overlong forms, surrogates and truncated sequences that JSON readers reject.
TEST(Log, InvalidUtf8IsReplacedByteByByte)
{
    const std::string bad = "\xEF\xBF\xBD";
    EXPECT_EQ(cleanUtf8("Mwangaza \xF0\x9F\x9A\xB2 \xC3\xAD"), "Mwangaza \xF0\x9F\x9A\xB2 \xC3\xAD");
    EXPECT_EQ(cleanUtf8("\xC0\xAF"), bad + bad);
    EXPECT_EQ(cleanUtf8("\xED\xA0\x80"), bad + bad + bad);
    EXPECT_EQ(cleanUtf8("\xF4\x90\x80\x80"), bad + bad + bad + bad);
    EXPECT_EQ(cleanUtf8("a\xE2\x82"), "a" + bad + bad);
}

// Guards against a process that runs without its log because of a mistyped path.
TEST(Log, UnusableFileIsReportedAndKeepsTheSettings)
{
    const log_file file(log_format::text);
    const auto failure = configureLogging({log_level::info, log_format::text, "/nonexistent/folder/log"});
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->systemError, ENOENT);
    logger("agent").info("still here");
    EXPECT_NE(file.content().find("still here"), std::string::npos);
}

// Guards against interleaved lines when several threads log.
TEST(Log, LinesOfThreadsAreNotInterleaved)
{
    const log_file file(log_format::text);
    std::vector<std::thread> writers;
    writers.reserve(4);
    for (int i = 0; i < 4; ++i)
        writers.emplace_back([] {
            for (int line = 0; line < 100; ++line)
                logger("agent").info("0123456789");
        });
    for (auto &writer : writers)
        writer.join();
    std::istringstream lines(file.content());
    int count = 0;
    for (std::string line; std::getline(lines, line); ++count)
        EXPECT_TRUE(line.ends_with(" INFO agent: 0123456789")) << line;
    EXPECT_EQ(count, 400);
}

// Guards against a process without a log file that logs nowhere.
TEST(Log, EmptyFileMeansStandardError)
{
    ASSERT_FALSE(configureLogging({}));
    testing::internal::CaptureStderr();
    logger("agent").info("hello");
    EXPECT_TRUE(testing::internal::GetCapturedStderr().ends_with(" INFO agent: hello\n"));
}

// Guards against a level or format that is accepted although it is unknown.
TEST(Log, LevelAndFormatNames)
{
    EXPECT_EQ(parseLogLevel("warn"), log_level::warn);
    EXPECT_EQ(parseLogLevel("WARN"), std::nullopt);
    EXPECT_EQ(parseLogFormat("json"), log_format::json);
    EXPECT_EQ(parseLogFormat(""), std::nullopt);
}

} // namespace
} // namespace citroncrank
