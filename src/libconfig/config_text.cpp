#include "config_text_pvt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace citroncrank {

namespace {

/// Number of continuation bytes after a lead byte, or -1 for a byte that cannot start a character.
int continuationBytes(unsigned char lead)
{
    if (lead < 0x80)
        return 0;
    if (lead >= 0xC2 && lead < 0xE0)
        return 1;
    if (lead >= 0xE0 && lead < 0xF0)
        return 2;
    return lead >= 0xF0 && lead < 0xF5 ? 3 : -1;
}

/// Rejects overlong forms, surrogates and code points above U+10FFFF, which are all recognisable by the second byte.
bool isAllowedSecondByte(unsigned char lead, unsigned char second)
{
    return !(lead == 0xE0 && second < 0xA0) && !(lead == 0xED && second >= 0xA0) && !(lead == 0xF0 && second < 0x90)
           && !(lead == 0xF4 && second >= 0x90);
}

} // namespace

std::string quoteYaml(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out += {'\\', c};
        else if (c == '\n')
            out += "\\n";
        else if (c == '\r')
            out += "\\r";
        else if (c == '\t')
            out += "\\t";
        else if (byte < 0x20 || byte == 0x7F)
            absl::StrAppendFormat(&out, "\\x%02x", byte);
        else
            out += c;
    }
    return out + "\"";
}

std::string yamlBytes(std::string_view bytes)
{
    const bool printable = std::all_of(bytes.begin(), bytes.end(), [](unsigned char byte) {
        return (byte >= 0x20 && byte < 0x7F) || byte == '\r' || byte == '\n' || byte == '\t';
    });
    return printable ? quoteYaml(bytes) : concat("!!binary \"", absl::Base64Escape(toAbsl(bytes)), "\"");
}

std::optional<std::size_t> invalidUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const int count = continuationBytes(lead);
        if (count < 0 || i + std::size_t(count) >= text.size())
            return i;
        for (int k = 1; k <= count; ++k) {
            const auto byte = static_cast<unsigned char>(text[i + std::size_t(k)]);
            if ((byte & 0xC0U) != 0x80 || (k == 1 && !isAllowedSecondByte(lead, byte)))
                return i;
        }
        i += std::size_t(count) + 1;
    }
    return std::nullopt;
}

bool isBlank(std::string_view text)
{
    return absl::StripAsciiWhitespace(toAbsl(text)).empty();
}

} // namespace citroncrank
