#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <string>

namespace dogwoodhall {

// A request body that can be read again from the start as long as no more than `limit` bytes have been read.
class ReplayableBody {
public:
    ReplayableBody(ReadBody source, ByteCount limit);

    // Returns a hook that reads from the current position. This object must outlive the hook.
    ReadBody reader();

    // Reads ahead up to the limit, so that a slow sender's small body arrives before resources are reserved for the
    // request. Rewinds to the first byte afterwards.
    ExchangeResult<void> prefetch();

    // True if the source has been read completely.
    bool hasEnded() const { return m_ended; }
    bool canRewind() const { return !m_overflowed; }
    void rewind();

private:
    ExchangeResult<std::size_t> read(asio::mutable_buffer);

    ReadBody m_source;
    ByteCount m_limit;
    std::string m_buffered;
    std::size_t m_position = 0; // Read position in m_buffered since the last rewind.
    bool m_ended = false;
    bool m_overflowed = false;
};

} // namespace dogwoodhall
