#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Standard base64 with padding, the encoding of values in responses of the platform's store.
inline std::string toBase64(std::string_view text)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            result += n + k > text.size() ? '=' : digits[bits >> (18 - 6 * k) & 63U];
    }
    return result;
}

} // namespace dogwoodhall
