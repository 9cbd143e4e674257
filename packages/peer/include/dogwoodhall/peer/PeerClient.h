#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/peer/PeerLimits.h"
#include "dogwoodhall/peer/PeerSilence.h"

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <memory>

namespace dogwoodhall {

// Sends requests to other daemons over HTTP/2, multiplexing all requests to an address over one connection. The first
// request to an address opens the connection; the first request after a loss reopens it. Not thread-safe; runs on the
// executor's thread.
class PeerClient {
public:
    PeerClient(asio::any_io_executor, PeerLimits);

    // Closes all connections; exchanges in progress fail.
    ~PeerClient();

    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Sends the request and returns the response once its head has arrived; fails at `deadline` (steady clock). The
    // request body is sent completely first, unless the stream ends or a response with status 400 or above arrives
    // earlier. An error has `provenNotRun` set if no byte of the request was passed to a connection, the stream was
    // reset with REFUSED_STREAM, or the stream id exceeds the last stream id of a GOAWAY.
    ExchangeResult<IncomingResponse> exchange(
        const NetworkAddress& peer, OutgoingRequest, std::chrono::steady_clock::time_point deadline);
    // As above, but also fails with PeerFailed and resets the stream if the peer is suspected and the hook returns
    // true.
    ExchangeResult<IncomingResponse> exchange(const NetworkAddress& peer, OutgoingRequest,
        std::chrono::steady_clock::time_point deadline, ShouldAbandonSuspected);

    // Starts silence detection on connections with streams that wait for a response. Until then no peer is suspected.
    void detectSilence(SilenceHooks);
    bool isSuspected(const NetworkAddress& peer) const;

    // The callback receives one message for each malformed, oversized or silent peer.
    void setLog(PeerLog);

    const PeerCounters& counters() const;
    std::size_t openConnections() const;
    ByteCount bufferedBytes() const; // Received but not yet read, over all streams.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // Shared only with the coroutines that run its connections.
};

} // namespace dogwoodhall
