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
#include <unordered_map>

namespace dogwoodhall {

// How many unused connections to an address may be kept now.
using IdleLimit = std::function<std::size_t(const NetworkAddress&)>;

struct UpstreamLimits {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleTimeout = std::chrono::seconds(30); // After which an unused connection is closed.
    IdleLimit idleLimit = [](const NetworkAddress&) { return std::size_t { 64 }; };
};

// Sends requests to upstreams over HTTP/1.1, one at a time on each connection, and keeps connections for reuse. A
// connection is reused only when the whole answer was read and no byte is left over. Each request carries an id that no
// other request has (fields::exchange). An answer with another id is to another request, and so is one without id where
// its connection has carried an answer with one; it fails the exchange. Not thread-safe.
class UpstreamClient {
public:
    UpstreamClient(asio::any_io_executor, UpstreamLimits);
    ~UpstreamClient();

    // Sends the request and gives the answer once its head has arrived, by `deadline` on the steady clock. The error
    // is proven not-run only where no byte was handed to a connection. An error of the request's own body is passed on,
    // and is RequestTimeout where the body is what was late at the deadline;
    // Cancelled means that this call was cancelled.
    ExchangeResult<IncomingResponse> exchange(
        const NetworkAddress&, OutgoingRequest, std::chrono::steady_clock::time_point deadline);

    // Closes connections that were not used for the idle time-out, or that are more than the idle limit now allows. To
    // be called now and then: the other side of a connection to a host that is gone never closes it.
    void closeIdle();

    std::size_t openConnections() const { return m_connections.size(); }

private:
    class Connection;

    ExchangeResult<ConnectionId> acquire(const NetworkAddress&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<void> send(Connection&, OutgoingRequest&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<ResponseHead> readHead(Connection&);
    std::string newExchangeId();
    ExchangeResult<std::size_t> readBody(ConnectionId, asio::mutable_buffer);
    std::optional<ConnectionId> takeIdle(const NetworkAddress&);
    void putIdle(ConnectionId);
    void close(ConnectionId);

    asio::any_io_executor m_executor;
    UpstreamLimits m_limits;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    std::map<NetworkAddress, std::deque<ConnectionId>> m_idle;
    std::uint64_t m_nextConnection = 1;
    std::string m_idPrefix; // Of exchange ids; random, so that those of other threads and daemons differ.
    std::uint64_t m_nextExchange = 1;
};

} // namespace dogwoodhall
