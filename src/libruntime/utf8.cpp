#include "utf8_pvt.h"

#include <cstddef>
#include <cstdint>

namespace citroncrank {

namespace {

constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;

bool isContinuation(char byte)
{
    return (std::uint8_t(byte) & 0xC0U) == 0x80U;
}

std::size_t sequenceBytes(std::uint8_t lead)
{
    if (lead < 0x80)
        return 1;
    if (lead >= 0xC2 && lead < 0xE0)
        return 2;
    if (lead >= 0xE0 && lead < 0xF0)
        return 3;
    if (lead >= 0xF0 && lead < 0xF5)
        return 4;
    return 0;
}

// Rejects overlong forms, surrogates and code points above U+10FFFF, which are invalid although the lead and
// continuation bytes are well formed.
bool isValidCodePoint(std::uint32_t codePoint, std::size_t size)
{
    if (size == 3)
        return codePoint >= 0x800 && (codePoint < 0xD800 || codePoint > 0xDFFF);
    if (size == 4)
        return codePoint >= 0x10000 && codePoint <= kMaxCodePoint;
    return true;
}

// Length in bytes of the valid sequence at the start of `text`, 0 if there is none.
std::size_t validSequence(std::string_view text)
{
    const auto lead = std::uint8_t(text[0]);
    const std::size_t size = sequenceBytes(lead);
    if (size <= 1 || size > text.size())
        return size == 1 ? 1 : 0;
    std::uint32_t codePoint = lead & (0x7FU >> size);
    for (std::size_t i = 1; i < size; ++i) {
        if (!isContinuation(text[i]))
            return 0;
        codePoint = (codePoint << 6U) | (std::uint8_t(text[i]) & 0x3FU);
    }
    return isValidCodePoint(codePoint, size) ? size : 0;
}

} // namespace

std::string cleanUtf8(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    while (!text.empty()) {
        const std::size_t size = validSequence(text);
        if (size == 0)
            out.append("\xEF\xBF\xBD");
        else
            out.append(text.substr(0, size));
        text.remove_prefix(size == 0 ? 1 : size);
    }
    return out;
}

} // namespace citroncrank
