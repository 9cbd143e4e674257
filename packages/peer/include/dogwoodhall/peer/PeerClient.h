#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/peer/PeerLimits.h"
#include "dogwoodhall/peer/PeerSilence.h"

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <memory>

namespace dogwoodhall {

// Sends requests to other daemons over HTTP/2, all requests to one address on one connection. A connection is opened
// by the first request and again by the first request after its loss. Not thread-safe; runs on the executor's thread.
class PeerClient {
public:
    PeerClient(asio::any_io_executor, PeerLimits);

    // Closes every connection; exchanges in progress end with an error.
    ~PeerClient();

    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Sends the request and gives the answer once its head has arrived, by `deadline` on the steady clock. The body is
    // sent to its end first, unless the stream ends or an answer with a status of 400 or above arrives earlier.
    // An error is proven not-run where no byte of the request was handed to a connection, the stream ended with
    // REFUSED_STREAM, or its id is above the last stream id of a GOAWAY.
    ExchangeResult<IncomingResponse> exchange(
        const NetworkAddress& peer, OutgoingRequest, std::chrono::steady_clock::time_point deadline);
    // The same, but gives up the stream with PeerFailed where the peer is suspected and the hook allows it.
    ExchangeResult<IncomingResponse> exchange(
        const NetworkAddress& peer, OutgoingRequest, std::chrono::steady_clock::time_point deadline, LeaveSuspected);

    // Watches the connections with streams that wait for an answer from now on. Without it no peer is suspected.
    void detectSilence(SilenceHooks);
    bool isSuspected(const NetworkAddress& peer) const;

    // Receives one sentence for each malformed, oversized or silent peer.
    void setLog(PeerLog);

    const PeerCounters& counters() const;
    std::size_t openConnections() const;
    ByteCount bufferedBytes() const; // Received and not yet read, over all streams.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // Shared with the coroutines that run its connections only.
};

} // namespace dogwoodhall
