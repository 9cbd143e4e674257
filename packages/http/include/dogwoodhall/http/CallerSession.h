#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace dogwoodhall {

// Limits on the input of one caller's connection.
struct CallerLimits {
    ByteCount headerBytes { 16 * 1024 };
    ByteCount bodyBytes { 64ULL * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(10); // For a complete head, and for each part of a body.
    Duration idleTimeout = std::chrono::seconds(60); // Between requests on a connection.

    bool operator==(const CallerLimits&) const = default;
};

// Called for each request that the session rejects without calling the handler.
using RequestRejected = std::function<void(ErrorKind)>;

// Server side of one caller's HTTP/1.1 connection: reads requests one at a time, passes each to the handler and writes
// its response. Malformed, oversized and slow requests get an error response, after which the connection is closed.
class CallerSession {
public:
    // `rejected` may be empty.
    CallerSession(asio::ip::tcp::socket, CallerLimits, RequestHandler, RequestRejected rejected = nullptr);
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

    // Cancels the request in progress if its response has not begun, and responds that its deadline has passed. Returns
    // whether there was such a request. Closes the connection then.
    bool endRequestInProgress();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
