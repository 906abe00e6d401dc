#include "citroncrank/event_log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace citroncrank;

namespace {

/// Pipe whose read end is drained by the test.
struct log_pipe
{
    log_pipe() { EXPECT_EQ(::pipe(ends), 0); }
    ~log_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read() const
    {
        std::string text(1 << 20, '\0');
        const auto size = ::read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? std::size_t(size) : 0);
        return text;
    }
    int ends[2] = {-1, -1};
};

} // namespace

// Guards against forged log lines: text from the network that holds a line break.
TEST(EventLog, ControlCharactersAreReplaced)
{
    const log_pipe pipe;
    event_log log({.descriptor = pipe.ends[1], .component = "agent", .classNames = {"request"}});
    log.write(0, "request passed, request=a\nforged: line");
    log.flush();
    const std::string text = pipe.read();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_NE(text.find("Z agent: request passed, request=a?forged: line\n"), std::string::npos);
}

// Guards against a log that grows without bound under load, and against lines that are dropped without a report.
TEST(EventLog, DroppedLinesAreCountedPerClass)
{
    const log_pipe pipe;
    event_log log(
        {.descriptor = pipe.ends[1], .component = "agent", .classNames = {"request", "belief"}, .linesPerSecond = 5});
    for (int i = 0; i < 100; ++i)
        log.write(0, "request passed");
    log.write(1, "routes in force");
    EXPECT_GE(log.droppedLines(), 90U);
    log.flush();
    const std::string text = pipe.read();
    EXPECT_NE(text.find("routes in force"), std::string::npos)
        << "the limit of one class must not drop lines of another";
    EXPECT_NE(text.find("left out lines, class=request count="), std::string::npos);
}

// Guards against a process that blocks on its log because the reader of the pipe does not read.
TEST(EventLog, FullPipeDoesNotBlock)
{
    const log_pipe pipe;
    event_log log(
        {.descriptor = pipe.ends[1], .component = "agent", .classNames = {"request"}, .linesPerSecond = 100'000});
    for (int i = 0; i < 10'000; ++i) {
        log.write(0, std::string(100, 'x'));
        if (i % 100 == 0)
            log.flush();
    }
    EXPECT_GT(log.droppedLines(), 0U);
}
