#pragma once

#include "Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <unistd.h>

namespace dogwoodhall {

// A response as received. `isComplete` is false if the connection ended before the end that the framing declares.
struct Response {
    unsigned status = 0; // 0: no head was received.
    boost::beast::http::fields fields;
    std::string body;
    bool isComplete = false;
    bool closesConnection = false;

    std::string field(std::string_view name) const { return std::string(fields[name]); }
};

// A caller's connection over a blocking socket, for raw bytes, slow reading and aborted connections. Every wait ends at
// testDeadline; a response that has not arrived by then is incomplete.
class TestClient {
public:
    explicit TestClient(const NetworkAddress&, int receiveBufferBytes = 0);

    // False if the connection fails, where the constructor throws.
    static bool canConnect(const NetworkAddress&);

    // False if the peer has closed the connection.
    bool send(std::string_view bytes);
    Response readResponse(bool isHeadOnly = false);
    // Reads what has arrived, at most `size` bytes; empty at the end of the connection.
    std::string readSome(std::size_t size);
    // True if the peer has closed the connection and nothing is left to read.
    bool isAtEnd() { return m_unread.empty() && readSome(1).empty(); }
    void closeSending();
    void abortConnection(); // Closes the connection with a reset.

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread; // Received after the end of the last response.
};

// One request on a connection of its own.
struct TestRequest {
    std::string method = "GET";
    std::string target = "/";
    std::string fields; // Header lines, with CRLF.
    std::string body;
    std::string id; // Value of X-Request-Id; empty for none.

    std::string text() const;
};

Response call(const NetworkAddress&, const TestRequest&);

// Polls until the condition holds; false after `limit`. For state whose changes are not signalled.
template <typename Condition> bool eventually(Condition condition, std::chrono::milliseconds limit = testDeadline)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        ::usleep(20'000);
    }
    return true;
}

} // namespace dogwoodhall
