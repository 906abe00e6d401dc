#include "citroncrank/event_log.h"

#include "citroncrank/timer_service.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <climits>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace citroncrank {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count();
}

std::string formatTimestamp(std::int64_t second)
{
    const std::time_t time = second;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 32> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return {text.data(), size};
}

} // namespace

event_log::event_log(event_log_settings settings)
    : m_settings(std::move(settings))
    , m_classes(m_settings.classNames.size())
{}

event_log::~event_log()
{
    flush();
}

void event_log::write(std::size_t lineClass, std::string_view text)
{
    const std::int64_t now = wallMilliseconds();
    const std::lock_guard lock(m_mutex);
    class_state &state = m_classes.at(lineClass);
    if (state.second != now / kMillisecondsPerSecond) {
        state.second = now / kMillisecondsPerSecond;
        state.lines = 0;
    }
    if (state.lines >= m_settings.linesPerSecond || m_buffer.size() + text.size() > m_settings.maxBufferedBytes) {
        ++state.droppedLines;
        return;
    }
    ++state.lines;
    append(now, text);
}

void event_log::append(std::int64_t wallMs, std::string_view text)
{
    const std::int64_t second = wallMs / kMillisecondsPerSecond;
    if (second != m_timestampSecond) {
        m_timestamp = formatTimestamp(second);
        m_timestampSecond = second;
    }
    absl::StrAppendFormat(&m_buffer, "%s.%03dZ %s: ", m_timestamp, int(wallMs % kMillisecondsPerSecond),
                          m_settings.component);
    const auto start = m_buffer.size();
    m_buffer.append(text);
    constexpr char kFirstPrintable = 0x20;
    std::replace_if(
        m_buffer.begin() + std::ptrdiff_t(start), m_buffer.end(),
        [](char character) { return character >= 0 && character < kFirstPrintable; }, '?');
    m_buffer.push_back('\n');
}

void event_log::reportDropped(std::int64_t wallMs)
{
    if (wallMs / kMillisecondsPerSecond == m_reportedSecond)
        return;
    m_reportedSecond = wallMs / kMillisecondsPerSecond;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        class_state &state = m_classes[i];
        const auto count = state.droppedLines - std::exchange(state.reportedDropped, state.droppedLines);
        if (count > 0)
            append(wallMs, absl::StrCat("left out lines, class=", m_settings.classNames[i], " count=", count));
    }
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
void event_log::flush()
{
    const std::int64_t now = wallMilliseconds();
    const std::lock_guard lock(m_mutex);
    reportDropped(now);
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd target{.fd = m_settings.descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
            break;
        const auto size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const auto count = ::write(m_settings.descriptor, m_buffer.data() + written, size);
        if (count <= 0)
            break;
        written += std::size_t(count);
    }
    m_buffer.erase(0, written);
}

std::uint64_t event_log::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t total = 0;
    for (const class_state &state : m_classes)
        total += state.droppedLines;
    return total;
}

} // namespace citroncrank
