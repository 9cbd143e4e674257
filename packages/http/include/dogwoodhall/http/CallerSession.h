#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace dogwoodhall {

// Bounds on what one caller's connection may send.
struct CallerLimits {
    ByteCount headerBytes { 16 * 1024 };
    ByteCount bodyBytes { 64ULL * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(10); // For a whole head, and for each part of a body.
    Duration idleTimeout = std::chrono::seconds(60); // Between requests of a connection.
};

// Called for each request that the session itself answers.
using RequestRejected = std::function<void(ErrorKind)>;

// One caller's HTTP/1.1 connection: reads requests one after another, hands each to the handler and writes the answers
// in the same order. Malformed, oversized and slow requests are answered here and close the connection.
class CallerSession {
public:
    // `rejected` may be empty.
    CallerSession(asio::ip::tcp::socket, CallerLimits, RequestHandler, RequestRejected rejected = nullptr);
    ~CallerSession();

    // Serves requests until the connection ends.
    asio::awaitable<void> run();

    // Ends the connection after the request in progress, or at once where it is idle.
    void stopAfterCurrentRequest();

    // Tells the caller with the next answer that the connection ends with it. Until then an idle connection stays open.
    void closeAfterNextAnswer();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
