#pragma once

/// @file
/// Structured log of a packet program: lines on a descriptor, bounded in volume, never blocking.

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
    std::uint32_t linesPerSecond = 300;  ///< Per class. More are left out and counted.
    std::size_t maxBufferedBytes = 64 * 1024;
};

/// Writes `TIME component: sentence, key=value ...`. Control characters are replaced, so that bytes from outside cannot
/// forge a line. Thread safe. Lines wait in memory until flush().
class event_log
{
public:
    explicit event_log(event_log_settings settings);
    /// Flushes what the descriptor takes.
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Adds a line of a class.
    void write(std::size_t lineClass, std::string_view text);
    /// Writes what the descriptor takes without blocking. Every second it adds a line for each class of which lines were
    /// left out.
    void flush();
    std::uint64_t leftOut() const;

private:
    struct class_state
    {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
        std::uint64_t reportedLeftOut = 0;
    };

    void append(std::int64_t wallMs, std::string_view text);
    void reportLeftOut(std::int64_t wallMs);

    event_log_settings m_settings;
    mutable std::mutex m_mutex;
    std::vector<class_state> m_classes;
    std::string m_buffer;
    std::int64_t m_reportedSecond = 0;
    std::int64_t m_stampedSecond = -1;
    std::string m_stamp;
};

} // namespace citroncrank
