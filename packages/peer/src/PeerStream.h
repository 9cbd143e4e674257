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

// Bytes in the order they were added.
class ByteQueue {
public:
    std::size_t size() const { return m_bytes.size() - m_taken; }

    void append(const void* data, std::size_t n) { m_bytes.append(static_cast<const char*>(data), n); }

    // Moves at most `n` bytes to `data`; gives their number.
    std::size_t take(void* data, std::size_t n)
    {
        n = std::min(n, size());
        std::memcpy(data, m_bytes.data() + m_taken, n);
        m_taken += n;
        if (m_taken == m_bytes.size() || m_taken >= compactBytes) {
            m_bytes.erase(0, m_taken);
            m_taken = 0;
        }
        return n;
    }

private:
    // Taken bytes are removed in portions of this size, so that small reads do not move the rest each time.
    static constexpr std::size_t compactBytes = 16 * 1024;

    std::string m_bytes;
    std::size_t m_taken = 0;
};

// One stream of a PeerSession. The timers never expire by themselves, except for `changed` at the deadline of a
// client's stream; cancelling one wakes the coroutine that waits for a change.
struct PeerStream {
    explicit PeerStream(const asio::any_io_executor& executor)
        : changed(executor, asio::steady_timer::time_point::max())
        , writable(executor, asio::steady_timer::time_point::max())
    {
    }

    ReceivedHead head;
    bool headReceived = false;
    bool endReceived = false; // The other side's message is whole.
    ByteQueue incoming;

    bool headSubmitted = false; // Server: the response head is queued.
    bool handedOver = false; // Client: the head may have left this process.
    bool endQueued = false; // This side's message is whole.
    bool endSent = false;
    std::optional<std::uint64_t> bytesLeft; // To be written, where the length is declared.
    ByteQueue outgoing;

    bool closed = false; // By nghttp2 or by the loss of the connection.
    std::uint32_t closeCode = NGHTTP2_NO_ERROR;
    std::string closeReason;

    bool handlerRunning = false; // Server.
    asio::cancellation_signal cancelHandler;
    asio::steady_timer changed;
    asio::steady_timer writable;
};

} // namespace dogwoodhall
