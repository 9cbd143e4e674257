#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/http/CallerCharge.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace dogwoodhall {

// Limits on the input of one caller's connection.
struct CallerLimits {
    ByteCount headerBytes { 16 * 1024 };
    ByteCount bodyBytes { 64ULL * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(10); // For a complete head, and for each part of a body.
    Duration idleTimeout = std::chrono::seconds(60); // Between requests on a connection.
    std::size_t headerFields = 4096; // In one head.
    // Least pace of a body, and of the reading of a response, over 30 s and 60 s or the two times above if longer.
    ByteCount leastBytesPerSecond { 64 };
    // Requests in progress on one connection, if all have no body and the method GET or HEAD.
    std::size_t requestsAhead = 1;

    bool operator==(const CallerLimits&) const = default;
};

// Called for each request that the session rejects without calling the handler, with the reason for logs.
using RequestRejected = std::function<void(ErrorKind, std::string_view detail)>;

// Asked at the first byte of each request. Empty if the limits of heads and bodies are certain to be those in force.
// Otherwise a request that exceeds them is refused as NotReady, to be sent again after this time, since its caller
// would not repeat a request that is denied. After a part of the body has been passed on, the handler decides the
// outcome.
using RetryIfUncertain = std::function<std::optional<Duration>()>;

// What a session asks and tells its owner.
struct CallerSessionHooks {
    RequestRejected rejected; // May be empty.
    RetryIfUncertain retryIfUncertain; // May be empty: the limits are certain then.
    std::function<void()> relieve; // The account is short.
};

// Server side of one caller's HTTP/1.1 connection: reads requests, passes each to the handler and writes the responses
// in the order of the requests. Requests are served one at a time, beside those that RequestPipeline lets run ahead.
// Malformed, oversized and slow requests get an error response, after which the connection is closed.
class CallerSession {
public:
    // The account must outlive the session.
    CallerSession(
        asio::ip::tcp::socket, CallerLimits, RequestHandler, CallerSessionHooks, CallerAccount&, ConnectionId);
    ~CallerSession();

    // Serves requests until the connection ends.
    asio::awaitable<void> run();

    // Applies to requests whose first byte arrives later, and to an idle time in progress.
    void setLimits(const CallerLimits&);

    // Closes the connection after the request in progress, or immediately if it is idle.
    void stopAfterCurrentRequest();

    // Closes the connection after the next response, announcing this in the response. An idle connection stays open
    // until then.
    void closeAfterNextResponse();

    // Cancels the requests in progress whose responses have not begun, and responds to each that its deadline has
    // passed. Returns their number. Closes the connection then.
    std::size_t endRequestsInProgress();

    // Closes the connection for want of room. A request that no endpoint has received is refused before, and a request
    // that has just arrived on an idle connection is read and refused. With `mayLinger`, a refused caller that is still
    // sending is read from until abortIfEvicted(), so that no reset discards the refusal.
    void evict(bool mayLinger);
    // To be called regularly. The second call after evict() closes a connection that has not ended by itself, unless
    // its request may have been passed on.
    void abortIfEvicted();
    // Refuses the request whose body arrives too slowly, or closes the connection if it may run or is answered.
    void endSlowTransfer();
    // Charges what the kernel has received for this connection and the session has not read.
    void chargeUnread();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
