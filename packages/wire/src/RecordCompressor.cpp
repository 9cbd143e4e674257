#include "dogwoodhall/wire/RecordCompressor.h"

#include <algorithm>
#include <utility>
#include <zlib.h>

namespace dogwoodhall {

namespace {

// Endpoint entries of a few hundred bytes are not worth the time.
constexpr std::size_t smallestValue = 2048;
// Fastest: 1 ms for 300 KB; the best level makes it smaller by a tenth only and takes twice as long.
constexpr int compressionLevel = 1;
// Routing documents shrink to a twelfth; the result rarely needs a second try with a larger buffer.
constexpr std::size_t usualRatio = 16;
// Large records are few: the routing document and its next version.
constexpr std::size_t mostKept = 2;

std::optional<std::string> compress(std::string_view value)
{
    uLongf size = compressBound(static_cast<uLong>(value.size()));
    std::string result(size, '\0');
    const int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size,
        reinterpret_cast<const Bytef*>(value.data()), static_cast<uLong>(value.size()), compressionLevel);
    // The buffer has room for the worst case, so that only memory can be missing; the plain value goes out then.
    if (status != Z_OK || size >= value.size())
        return std::nullopt;
    result.resize(size);
    return result;
}

} // namespace

const std::string* RecordCompressor::compressed(const Record& record)
{
    if (record.value.size() < smallestValue)
        return nullptr;
    auto it = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const Entry& entry) { return entry.key == record.key && entry.revision == record.revision; });
    if (it == m_entries.end()) {
        m_entries.push_front({ record.key, record.revision, compress(record.value) });
        if (m_entries.size() > mostKept)
            m_entries.pop_back();
        it = m_entries.begin();
    }
    return it->value ? &*it->value : nullptr;
}

std::optional<std::string> decompress(std::string_view input, ByteCount limit)
{
    std::size_t capacity = std::min<std::size_t>(limit.count(), std::max(input.size() * usualRatio, smallestValue));
    while (true) {
        std::string result(capacity, '\0');
        uLongf size = capacity;
        uLong consumed = input.size();
        const int status = uncompress2(
            reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(input.data()), &consumed);
        if (status == Z_OK && consumed == input.size()) {
            result.resize(size);
            return result;
        }
        if (status != Z_BUF_ERROR || capacity == limit.count())
            return std::nullopt;
        capacity = std::min<std::size_t>(limit.count(), capacity * 2);
    }
}

} // namespace dogwoodhall
