#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Compresses the values of large records. A routing document of hundreds of kilobytes is sent to each member of a data
// centre; compressed to a tenth of that, it passes their slowest links in time. Results are cached because the same
// record is sent to many peers.
class RecordCompressor {
public:
    // Null if the plain value should be sent because it is small or compression does not make it smaller. Valid until
    // the next call.
    const std::string* compressed(const Record&);

private:
    struct Entry {
        RecordKey key;
        Revision revision;
        std::optional<std::string> value; // Empty if the plain value is sent.
    };

    std::deque<Entry> m_entries; // Latest first.
};

// Empty if the input is malformed or the decompressed value is longer than `limit`.
std::optional<std::string> decompress(std::string_view, ByteCount limit);

} // namespace dogwoodhall
