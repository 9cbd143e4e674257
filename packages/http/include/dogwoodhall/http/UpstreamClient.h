#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace dogwoodhall {

// Returns how many idle connections to an address may currently be kept.
using IdleLimit = std::function<std::size_t(const NetworkAddress&)>;

// How a response is matched to its request.
struct Correlation {
    enum class Source : std::uint8_t {
        Client, // The client generates an id per exchange. Upstreams that do not echo the field are accepted.
        Caller, // The response must repeat the caller's id from the request, or have none if the request has none.
    };
    Source source = Source::Client;
    std::string field { fields::exchange };
};

struct UpstreamLimits {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleTimeout = std::chrono::seconds(30); // After which an idle connection is closed.
    IdleLimit idleLimit = [](const NetworkAddress&) { return std::size_t { 64 }; };
    Correlation correlation {};
    // A connection is closed if the remote host acknowledges nothing for about this long, even while a request waits
    // for its response (TCP keep-alive probes and TCP_USER_TIMEOUT). If empty, only deadlines end the wait.
    std::optional<Duration> deadPeerTimeout {};
};

// Sends requests to upstreams over HTTP/1.1, one at a time on each connection, and keeps connections for reuse. A
// connection is reused only if the response was read completely, no bytes are left over, the request was sent
// completely before the response began, and the connection has not been idle for longer than the upstream's Keep-Alive
// field allows. Heads, interim responses, chunk extensions and trailers of a response are bounded; a longer one fails
// the exchange. A response with an id other than its request's belongs to another request and fails the exchange; see
// Correlation. Not thread-safe.
class UpstreamClient {
public:
    UpstreamClient(asio::any_io_executor, UpstreamLimits);
    ~UpstreamClient();

    // Sends the request and returns the response once its head has arrived; fails at `deadline` (steady clock). The
    // error has `provenNotRun` set only if no byte was passed to a connection. An error from reading the request body
    // is passed on. RequestTimeout means that the request body was late at the deadline; Cancelled means that this call
    // was cancelled. An error with `isWithheld` set has the kind UpstreamRefused.
    ExchangeResult<IncomingResponse> exchange(
        const NetworkAddress&, OutgoingRequest, std::chrono::steady_clock::time_point deadline);

    // Closes connections that exceed the idle time-out or the current idle limit. Must be called periodically: a host
    // that has disappeared never closes its side of a connection.
    void closeIdleConnections();
    // Closes the idle connections to an address, for example after one of them has stopped responding.
    void closeIdleConnectionsTo(const NetworkAddress&);

    // Number of connections opened since construction.
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    std::size_t openConnections() const { return m_connections.size(); }

private:
    class Connection;

    ExchangeResult<ConnectionId> acquire(const NetworkAddress&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<ResponseHead> sendAndReadHead(
        Connection&, OutgoingRequest&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<void> send(Connection&, OutgoingRequest&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<ResponseHead> readHead(Connection&, const OutgoingRequest&);
    std::string newExchangeId();
    ExchangeResult<std::size_t> readBody(ConnectionId, asio::mutable_buffer);
    std::optional<ConnectionId> acquireIdleConnection(const NetworkAddress&);
    void releaseConnection(ConnectionId);
    void close(ConnectionId);

    asio::any_io_executor m_executor;
    UpstreamLimits m_limits;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    std::map<NetworkAddress, std::deque<ConnectionId>> m_idleConnections;
    std::uint64_t m_nextConnection = 1;
    std::string m_idPrefix; // Of exchange ids. Random, so that ids differ between threads and daemons.
    std::uint64_t m_nextExchange = 1;
    std::uint64_t m_connectionsOpened = 0;
};

} // namespace dogwoodhall
