#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// Compresses the values of large records and lists of small ones. A routing document of hundreds of kilobytes is sent
// to each member of a data centre; compressed to a tenth of that, it passes their slowest links in time. Results are
// cached because the same records are sent to many peers.
class RecordCompressor {
public:
    // Null if the plain value should be sent because it is small or compression does not make it smaller. Valid until
    // the next call.
    const std::string* compressed(const Record&);

    // The encoded list in compressed form. Null if the list is short or compression does not make it smaller. `encode`
    // is called if the result is not cached. Valid until the next call.
    const std::string* compressedList(
        const std::vector<Record>&, const std::function<std::string(const std::vector<Record>&)>& encode);

private:
    struct Entry {
        RecordKey key;
        Revision revision;
        std::optional<std::string> value; // Empty if the plain value is sent.
    };

    struct List {
        std::vector<Revision> revisions; // Of its records, which they identify.
        std::optional<std::string> value; // Empty if the plain list is sent.
    };

    std::deque<Entry> m_entries; // Latest first.
    std::deque<List> m_lists; // Latest first.
};

// Empty if the input is malformed or the decompressed value is longer than `limit`.
std::optional<std::string> decompress(std::string_view, ByteCount limit);

} // namespace dogwoodhall
