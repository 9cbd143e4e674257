#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/http/CallerSessions.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dogwoodhall {

// A single-threaded HTTP/1.1 server for the stand-ins.
class StandInServer {
public:
    // Like RequestHandler, with the time at which the kernel received the last part of the request so far, at the
    // resolution of its ticks (10 ms or less). A busy or stopped stand-in reads a request later than that.
    using TimedHandler
        = std::function<asio::awaitable<void>(IncomingRequest, ResponseWriter, std::chrono::steady_clock::time_point)>;

    // Both bind the address, and throw std::runtime_error if the server cannot listen there.
    StandInServer(const NetworkAddress&, RequestHandler);
    StandInServer(const NetworkAddress&, TimedHandler);

    asio::io_context& io() { return m_io; }

    // Prints "listening <address>" on standard output and serves until the process ends.
    void run();

private:
    void listen(const NetworkAddress&);
    asio::awaitable<void> serveTimed(asio::ip::tcp::socket);

    asio::io_context m_io { 1 };
    Acceptor m_acceptor;
    NetworkAddress m_address; // As bound, with the port that the kernel chose.
    CallerSessions m_sessions;
    TimedHandler m_timedHandler; // Empty if m_sessions serves the connections.
};

// Reads and discards a body. Returns its size, or nullopt if it was truncated.
asio::awaitable<std::optional<ByteCount>> discardBody(ReadBody);

asio::awaitable<void> writeAnswer(const ResponseWriter&, unsigned status, std::string body, HeaderFields = {});

// Path and query parameters of a request target; parameters are not percent-decoded.
struct Target {
    std::string path;
    std::map<std::string, std::string> parameters;

    std::uint64_t number(const std::string& name, std::uint64_t defaultValue) const;
    std::string text(const std::string& name) const; // Empty if absent.
};

Target parseTarget(std::string_view);

} // namespace dogwoodhall
