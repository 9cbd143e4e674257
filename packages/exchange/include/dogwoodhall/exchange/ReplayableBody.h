#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <string>

namespace dogwoodhall {

// A request body that can be read again from its start while no more than `limit` bytes of it were read.
class ReplayableBody {
public:
    ReplayableBody(ReadBody source, ByteCount limit);

    // Reads from the current position. The object must outlive the hook.
    ReadBody reader();

    // Reads ahead up to the limit, so that a slow sender's small body arrives before anything is reserved for it.
    // Reading starts at the first byte afterwards.
    ExchangeResult<void> prefetch();

    // The body has been read to its end.
    bool hasEnded() const { return m_ended; }
    bool canRewind() const { return !m_overflowed; }
    void rewind();

private:
    ExchangeResult<std::size_t> read(asio::mutable_buffer);

    ReadBody m_source;
    ByteCount m_limit;
    std::string m_kept;
    std::size_t m_position = 0; // In m_kept; bytes before it were read since the last rewind.
    bool m_ended = false;
    bool m_overflowed = false;
};

} // namespace dogwoodhall
