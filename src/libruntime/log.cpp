#include "citroncrank/log.h"

#include "log_layout_pvt.h"
#include "utf8_pvt.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <mutex>
#include <unistd.h>

namespace citroncrank {

namespace {

constexpr std::array<log_level, 4> kLevels{log_level::debug, log_level::info, log_level::warn, log_level::error};

log4cxx::LevelPtr toLog4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

// log4cxx reports a file that it cannot open on standard error only, so the file is opened here first to detect this.
std::optional<log_failure> checkFileOpens(const std::string &file)
{
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (descriptor < 0)
        return log_failure{file, errno};
    ::close(descriptor);
    return std::nullopt;
}

log4cxx::AppenderPtr makeAppender(const log_settings &settings)
{
    const auto layout = std::make_shared<line_layout>(settings.format);
    std::shared_ptr<log4cxx::WriterAppender> appender;
    if (settings.file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    else
        appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    // The default encoding follows the locale; under the C locale it loses all characters that are not ASCII.
    appender->setEncoding("UTF-8");
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    return appender;
}

void apply(const log_settings &settings)
{
    // Keeps log4cxx from looking for its own configuration files in the working directory.
    log4cxx::LogManager::getLoggerRepository()->setConfigured(true);
    const auto root = log4cxx::Logger::getRootLogger();
    const auto appender = makeAppender(settings);
    root->removeAllAppenders();
    root->setLevel(toLog4cxxLevel(settings.level));
    root->addAppender(appender);
}

void applyDefaultsOnce()
{
    static std::once_flag applied;
    std::call_once(applied, [] { apply(log_settings{}); });
}

} // namespace

const char *toString(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warn:
        return "warn";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::optional<log_level> parseLogLevel(std::string_view text)
{
    for (const log_level level : kLevels) {
        if (text == toString(level))
            return level;
    }
    return std::nullopt;
}

std::optional<log_format> parseLogFormat(std::string_view text)
{
    if (text == "text")
        return log_format::text;
    if (text == "json")
        return log_format::json;
    return std::nullopt;
}

std::optional<log_failure> configureLogging(const log_settings &settings)
{
    if (!settings.file.empty()) {
        if (auto failure = checkFileOpens(settings.file))
            return failure;
    }
    applyDefaultsOnce(); // First, so that the constructor of a later logger does not overwrite `settings` with defaults.
    apply(settings);
    return std::nullopt;
}

logger::logger(const std::string &component)
{
    applyDefaultsOnce();
    m_logger = log4cxx::Logger::getLogger(component);
}

void logger::debug(std::string_view message) const
{
    write(log_level::debug, message);
}

void logger::info(std::string_view message) const
{
    write(log_level::info, message);
}

void logger::warn(std::string_view message) const
{
    write(log_level::warn, message);
}

void logger::error(std::string_view message) const
{
    write(log_level::error, message);
}

bool logger::enabled(log_level level) const
{
    return m_logger->isEnabledFor(toLog4cxxLevel(level));
}

void logger::write(log_level level, std::string_view message) const
{
    const auto target = toLog4cxxLevel(level);
    if (!m_logger->isEnabledFor(target))
        return;
    m_logger->forcedLogLS(target, cleanUtf8(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace citroncrank
