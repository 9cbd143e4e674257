#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/http/CallerSessions.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>

namespace dogwoodhall {

// A single-threaded HTTP/1.1 server for the stand-ins.
class StandInServer {
public:
    // Binds; throws std::runtime_error where it cannot listen there.
    StandInServer(const NetworkAddress&, RequestHandler);

    asio::io_context& io() { return m_io; }

    // Prints "listening <address>" on standard output and serves until the process ends.
    void run();

private:
    asio::io_context m_io { 1 };
    Acceptor m_acceptor;
    NetworkAddress m_address; // Bound.
    CallerSessions m_sessions;
};

// Reads a body to its end without keeping it, and gives its size. Empty where it was cut short.
asio::awaitable<std::optional<ByteCount>> discardAll(ReadBody);

asio::awaitable<void> writeAnswer(const ResponseWriter&, unsigned status, std::string body, HeaderFields = {});

// Path and query parameters of a request target; parameters are not percent-decoded.
struct Target {
    std::string path;
    std::map<std::string, std::string> parameters;

    std::uint64_t number(const std::string& name, std::uint64_t otherwise) const;
    std::string text(const std::string& name) const; // Empty where absent.
};

Target parseTarget(std::string_view);

} // namespace dogwoodhall
