#include "dogwoodhall/wire/RecordCompressor.h"

#include <algorithm>
#include <utility>
#include <zlib.h>

namespace dogwoodhall {

namespace {

// Compressing endpoint entries of a few hundred bytes is not worth the time.
constexpr std::size_t minCompressedValueBytes = 2048;
// Fastest level: 1 ms for 300 KB. The best level reduces the size by only another tenth and takes twice as long.
constexpr int compressionLevel = 1;
// Routing documents shrink to a twelfth, so decompression rarely has to be retried with a larger buffer.
constexpr std::size_t expectedCompressionRatio = 16;
// There are few large records: the routing document and its next version.
constexpr std::size_t maxCachedValues = 2;
// Some peers receive the same update, others the next part of an older list at the same time.
constexpr std::size_t maxCachedLists = 4;
constexpr std::size_t minCompressedListBytes = 256;

std::optional<std::string> compress(std::string_view value)
{
    uLongf size = compressBound(static_cast<uLong>(value.size()));
    std::string result(size, '\0');
    const int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size,
        reinterpret_cast<const Bytef*>(value.data()), static_cast<uLong>(value.size()), compressionLevel);
    // The buffer is large enough for the worst case, so compression fails only when out of memory. The plain value is
    // sent in that case.
    if (status != Z_OK || size >= value.size())
        return std::nullopt;
    result.resize(size);
    return result;
}

} // namespace

const std::string* RecordCompressor::compressed(const Record& record)
{
    if (record.value.size() < minCompressedValueBytes)
        return nullptr;
    auto it = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const Entry& entry) { return entry.key == record.key && entry.revision == record.revision; });
    if (it == m_entries.end()) {
        m_entries.push_front({ record.key, record.revision, compress(record.value) });
        if (m_entries.size() > maxCachedValues)
            m_entries.pop_back();
        it = m_entries.begin();
    }
    return it->value ? &*it->value : nullptr;
}

const std::string* RecordCompressor::compressedList(
    const std::vector<Record>& records, const std::function<std::string(const std::vector<Record>&)>& encode)
{
    std::vector<Revision> revisions;
    revisions.reserve(records.size());
    for (const auto& record : records)
        revisions.push_back(record.revision);
    auto it
        = std::find_if(m_lists.begin(), m_lists.end(), [&](const List& list) { return list.revisions == revisions; });
    if (it == m_lists.end()) {
        const std::string plain = encode(records);
        auto value = plain.size() < minCompressedListBytes ? std::nullopt : compress(plain);
        m_lists.push_front({ std::move(revisions), std::move(value) });
        if (m_lists.size() > maxCachedLists)
            m_lists.pop_back();
        it = m_lists.begin();
    }
    return it->value ? &*it->value : nullptr;
}

std::optional<std::string> decompress(std::string_view input, ByteCount limit)
{
    std::size_t capacity = std::min<std::size_t>(
        limit.count(), std::max(input.size() * expectedCompressionRatio, minCompressedValueBytes));
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
