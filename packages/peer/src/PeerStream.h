#pragma once

#include "PeerHeads.h"

#include "dogwoodhall/exchange/Exchange.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstring>
#include <string>

namespace dogwoodhall {

// FIFO queue of bytes.
class ByteQueue {
public:
    std::size_t size() const { return m_bytes.size() - m_consumed; }

    void append(const void* data, std::size_t n) { m_bytes.append(static_cast<const char*>(data), n); }

    // Moves at most `n` bytes to `data` and returns the number moved.
    std::size_t take(void* data, std::size_t n)
    {
        n = std::min(n, size());
        std::memcpy(data, m_bytes.data() + m_consumed, n);
        m_consumed += n;
        if (m_consumed == m_bytes.size() || m_consumed >= compactionBytes) {
            m_bytes.erase(0, m_consumed);
            m_consumed = 0;
        }
        return n;
    }

private:
    // Consumed bytes are erased in batches of at least this size, so that small reads do not move the rest each time.
    static constexpr std::size_t compactionBytes = 16 * 1024;

    std::string m_bytes;
    std::size_t m_consumed = 0;
};

// One stream of a PeerSession. The timers serve as condition variables: cancelling one resumes the coroutine that waits
// on it. They never expire, except that `changed` expires at the deadline of a client's stream.
struct PeerStream {
    explicit PeerStream(const asio::any_io_executor& executor)
        : changed(executor, asio::steady_timer::time_point::max())
        , writable(executor, asio::steady_timer::time_point::max())
    {
    }

    ReceivedHead head;
    bool headReceived = false;
    bool endReceived = false; // The remote message is complete.
    ByteQueue incoming;

    bool headSubmitted = false; // Server. The response head is queued.
    bool headMayBeSent = false; // Client. Set just before the request head is sent.
    bool endQueued = false; // The local message is complete.
    bool endSent = false;
    std::optional<std::uint64_t> bytesLeft; // Remaining body bytes to write, if the length is declared.
    ByteQueue outgoing;

    bool closed = false; // By nghttp2 or by connection loss.
    std::uint32_t closeCode = NGHTTP2_NO_ERROR;
    std::string closeReason;

    bool handlerRunning = false; // Server.
    asio::cancellation_signal cancelHandler;
    asio::steady_timer changed;
    asio::steady_timer writable;
};

} // namespace dogwoodhall
