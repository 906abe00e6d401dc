#pragma once

/// @file
/// Process logs: one line per entry, as text or as JSON.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace log4cxx {
class Logger;
}

namespace citroncrank {

enum class log_level : std::uint8_t { debug, info, warn, error };
enum class log_format : std::uint8_t { text, json };

/// Returns "debug", "info", "warn" or "error".
const char *toString(log_level level);
/// Inverse of toString(). Nullopt for any other text.
std::optional<log_level> parseLogLevel(std::string_view text);
/// Accepts "text" and "json". Nullopt for any other text.
std::optional<log_format> parseLogFormat(std::string_view text);

/// Destination, format and threshold of log entries.
struct log_settings
{
    log_level level = log_level::info; ///< Entries below this level are dropped.
    log_format format = log_format::text;
    std::string file; ///< Appended to. Empty means standard error.
    bool operator==(const log_settings &) const = default;
};

/// Why the log file cannot be used.
struct log_failure
{
    std::string file;
    int systemError = 0; ///< errno of open().
    bool operator==(const log_failure &) const = default;
};

/// Applies `settings` to all loggers of the process. Returns the failure, or nullopt on success; after a failure the
/// previous settings stay in force. Until the first call, entries of level info and above go to standard error as text.
std::optional<log_failure> configureLogging(const log_settings &settings);

/// Writes entries with the fixed prefix of one component. Cheap to copy. Thread safe.
///
/// Text: `2026-12-04T03:54:00.123Z INFO agent: refused flow, reason=no_free_slot service=receipts`.
/// JSON: an object with the strings time, level, component and message.
/// Control characters are escaped and invalid UTF-8 is replaced, so that data from a caller cannot forge a log entry.
class logger
{
public:
    explicit logger(const std::string &component);

    void debug(std::string_view message) const;
    void info(std::string_view message) const;
    void warn(std::string_view message) const;
    void error(std::string_view message) const;

    /// Whether entries of `level` are written. Lets callers skip costly formatting of entries that would be dropped.
    bool enabled(log_level level) const;

private:
    void write(log_level level, std::string_view message) const;

    std::shared_ptr<log4cxx::Logger> m_logger;
};

} // namespace citroncrank
