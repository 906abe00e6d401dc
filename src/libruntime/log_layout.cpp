#include "log_layout_pvt.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <cstdint>
#include <log4cxx/level.h>
#include <string>
#include <string_view>

namespace citroncrank {

namespace {

bool isControl(char character)
{
    return std::uint8_t(character) < 0x20 || character == 0x7F;
}

void appendText(std::string_view message, std::string *out)
{
    for (const char character : message) {
        if (character == '\n')
            out->append("\\n");
        else if (isControl(character))
            absl::StrAppendFormat(out, "\\x%02x", std::uint8_t(character));
        else
            out->push_back(character);
    }
}

void appendJsonText(std::string_view text, std::string *out)
{
    out->push_back('"');
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            out->push_back('\\');
            out->push_back(character);
        } else if (isControl(character)) {
            absl::StrAppendFormat(out, "\\u%04x", std::uint8_t(character));
        } else {
            out->push_back(character);
        }
    }
    out->push_back('"');
}

std::string formatTime(std::int64_t micros)
{
    return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", absl::FromUnixMicros(micros), absl::UTCTimeZone());
}

} // namespace

void line_layout::format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event,
                         log4cxx::helpers::Pool & /*pool*/) const
{
    const std::string time = formatTime(event->getTimeStamp());
    const std::string level = event->getLevel()->toString();
    if (m_format == log_format::text) {
        absl::StrAppend(&output, time, " ", level, " ", event->getLoggerName(), ": ");
        appendText(event->getRenderedMessage(), &output);
        output.push_back('\n');
        return;
    }
    absl::StrAppend(&output, R"({"time":")", time, R"(","level":")", level, R"(","component":)");
    appendJsonText(event->getLoggerName(), &output);
    output.append(R"(,"message":)");
    appendJsonText(event->getRenderedMessage(), &output);
    output.append("}\n");
}

} // namespace citroncrank
