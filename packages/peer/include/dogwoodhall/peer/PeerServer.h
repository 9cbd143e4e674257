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

// Returns whether connections from this address are accepted.
using AcceptsAddress = std::function<bool(const asio::ip::address&)>;

// Serves requests from other daemons over HTTP/2, calling the handler once per stream. The handler is cancelled when
// its stream is reset or its connection is lost. Malformed, oversized or excess input closes the stream or the
// connection. Not thread-safe; runs on the executor's thread.
class PeerServer {
public:
    PeerServer(asio::any_io_executor, PeerLimits, RequestHandler, AcceptsAddress);

    // Closes all connections and cancels the handlers.
    ~PeerServer();

    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Listens with SO_REUSEPORT, so that each traffic thread can have a server on the same port. Returns the bound
    // address or an error message.
    tl::expected<NetworkAddress, std::string> listen(const NetworkAddress&);

    // Stops accepting connections and streams, sends GOAWAY to the clients, and calls `done` when all running streams
    // have ended. Has no time limit.
    void shutdown(std::function<void()> done);

    // The callback receives one message for each rejected address and each malformed, oversized or silent peer.
    void setLog(PeerLog);

    const PeerCounters& counters() const;
    std::size_t openConnections() const;
    std::size_t runningStreams() const; // Number of handlers that have not returned.
    ByteCount bufferedBytes() const; // Received but not yet read, over all streams.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl; // Shared only with the coroutines that run its connections and handlers.
};

} // namespace dogwoodhall
