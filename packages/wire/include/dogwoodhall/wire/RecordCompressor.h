#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Compresses the values of large records. A routing document of hundreds of kilobytes goes to each member of a data
// centre; compressed to a tenth it fits through their smallest links in time. The result is kept, since the same
// record goes to many peers in turn.
class RecordCompressor {
public:
    // Null where the plain value is to be sent: it is small, or compression does not make it smaller. Valid until the
    // next call.
    const std::string* compressed(const Record&);

private:
    struct Entry {
        RecordKey key;
        Revision revision;
        std::optional<std::string> value; // Empty where the plain value is sent.
    };

    std::deque<Entry> m_entries; // The latest first.
};

// Empty where the input is malformed or its value is longer than `limit`.
std::optional<std::string> decompress(std::string_view, ByteCount limit);

} // namespace dogwoodhall
