#pragma once

/// @file
/// Structured log of the packet programs: rate-limited lines on a file descriptor, written without blocking.

#include "citroncrank/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace citroncrank {

struct event_log_settings
{
    int descriptor = 1;
    std::string component;               ///< Fixed prefix of the lines.
    std::vector<std::string> classNames; ///< One per class of lines.
    std::uint32_t linesPerSecond = 300;  ///< Per class. Lines above the limit are dropped and counted.
    std::size_t maxBufferedBytes = 64 * 1024;
};

/// Writes `TIME component: sentence, key=value ...`. Control characters are replaced, so that bytes from the network
/// cannot forge a line. Lines are buffered in memory until flush(). Thread safe.
class event_log
{
public:
    explicit event_log(event_log_settings settings);
    /// Writes what the descriptor accepts without blocking.
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Adds a line of a class.
    void write(std::size_t lineClass, std::string_view text);
    /// Writes what the descriptor accepts without blocking. Once a second, adds a line with the number of dropped lines
    /// for each class that dropped any.
    void flush();
    std::uint64_t droppedLines() const; ///< Of all classes, since the start.

private:
    struct class_state
    {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t droppedLines = 0;
        std::uint64_t reportedDropped = 0;
    };

    void append(std::int64_t wallMs, std::string_view text);
    void reportDropped(std::int64_t wallMs);

    event_log_settings m_settings;
    mutable std::mutex m_mutex;
    std::vector<class_state> m_classes;
    std::string m_buffer;
    std::int64_t m_reportedSecond = 0;
    std::int64_t m_timestampSecond = -1;
    std::string m_timestamp;
};

} // namespace citroncrank
