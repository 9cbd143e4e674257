#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/peer/PeerLimits.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address.hpp>
#include <functional>
#include <memory>
#include <string>

namespace dogwoodhall {

// Whether a connection from this address is served.
using AcceptsAddress = std::function<bool(const asio::ip::address&)>;

// Serves requests of other daemons over HTTP/2: one run of the handler for each stream. The handler is cancelled when
// its stream is reset or its connection is lost. Malformed, oversized and excess input closes the stream or the
// connection. Not thread-safe; runs on the executor's thread.
class PeerServer {
public:
    PeerServer(asio::any_io_executor, PeerLimits, RequestHandler, AcceptsAddress);

    // Closes every connection and cancels the handlers.
    ~PeerServer();

    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Listens with SO_REUSEPORT, so that each traffic thread can have a server on the same port. Gives the bound
    // address, or the reason of the failure.
    tl::expected<NetworkAddress, std::string> listen(const NetworkAddress&);

    // Accepts no connection and no stream from now on, tells the clients by GOAWAY, and calls `done` when the running
    // streams have ended. Without a time limit.
    void shutdown(std::function<void()> done);

    // Receives one sentence for each rejected address, and for each malformed, oversized or silent peer.
    void setLog(PeerLog);

    const PeerCounters& counters() const;
    std::size_t openConnections() const;
    std::size_t runningStreams() const; // Handlers that have not returned.
    ByteCount bufferedBytes() const; // Received and not yet read, over all streams.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // Shared with the coroutines that run its connections and handlers only.
};

} // namespace dogwoodhall
