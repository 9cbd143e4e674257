#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <functional>
#include <string>

namespace dogwoodhall {

// A request body that can be read again from the start as long as no more than `limit` bytes have been read.
class ReplayableBody {
public:
    // `resized` is called with the memory in use when it changes; it may be empty.
    ReplayableBody(ReadBody source, ByteCount limit, std::function<void(std::size_t)> resized = nullptr);

    // Returns a hook that reads from the current position. This object must outlive the hook.
    ReadBody reader();

    // Reads ahead up to the limit, so that a slow sender's small body arrives before resources are reserved for the
    // request. Rewinds to the first byte afterwards.
    ExchangeResult<void> prefetch();

    // True if the source has been read completely.
    bool hasEnded() const { return m_ended; }
    bool canRewind() const { return !m_overflowed; }
    void rewind();
    std::size_t memory() const { return m_buffered.capacity() + m_prefetchBytes; }

private:
    ExchangeResult<std::size_t> read(asio::mutable_buffer);
    void append(asio::const_buffer);
    void dropBuffered();
    void setPrefetchBytes(std::size_t);

    ReadBody m_source;
    ByteCount m_limit;
    std::function<void(std::size_t)> m_resized;
    std::string m_buffered;
    std::size_t m_prefetchBytes = 0; // Of the buffer of a prefetch in progress.
    std::size_t m_position = 0; // Read position in m_buffered since the last rewind.
    bool m_ended = false;
    bool m_overflowed = false;
};

} // namespace dogwoodhall
