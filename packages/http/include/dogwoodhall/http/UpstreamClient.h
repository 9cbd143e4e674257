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

// How many unused connections to an address may be kept now.
using IdleLimit = std::function<std::size_t(const NetworkAddress&)>;

// How an answer is shown to be the one to its request.
struct Correlation {
    enum class Source : std::uint8_t {
        Client, // The client numbers its exchanges. An upstream that does not echo the field is accepted.
        Caller, // The request carries its caller's id, which the answer must repeat; one without id gets none back.
    };
    Source source = Source::Client;
    std::string field { fields::exchange };
};

struct UpstreamLimits {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration idleTimeout = std::chrono::seconds(30); // After which an unused connection is closed.
    IdleLimit idleLimit = [](const NetworkAddress&) { return std::size_t { 64 }; };
    Correlation correlation {};
    // A connection on which the other side's host acknowledges nothing for about this long is closed, also while a
    // request waits for its answer (TCP keep-alive probes and TCP_USER_TIMEOUT). Empty: only deadlines end the wait.
    std::optional<Duration> deadPeerTimeout {};
};

// Sends requests to upstreams over HTTP/1.1, one at a time on each connection, and keeps connections for reuse. A
// connection is reused only when the whole answer was read, no byte is left over, the whole request was sent before the
// answer began, and it is not idle for longer than the upstream's Keep-Alive field allows. An answer with another id
// than its request's is to another request and fails the exchange; see Correlation. Not thread-safe.
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
    // Closes the unused connections to an address, for example after one of them fell silent.
    void closeIdleTo(const NetworkAddress&);

    // Connections opened since the start.
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    std::size_t openConnections() const { return m_connections.size(); }

private:
    class Connection;

    ExchangeResult<ConnectionId> acquire(const NetworkAddress&, std::chrono::steady_clock::time_point deadline);
    ExchangeResult<ResponseHead> sendAndReadHead(
        Connection&, OutgoingRequest&, std::chrono::steady_clock::time_point deadline);
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
    std::uint64_t m_connectionsOpened = 0;
};

} // namespace dogwoodhall
