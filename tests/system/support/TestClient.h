#pragma once

#include "Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <unistd.h>

namespace dogwoodhall {

// An answer as received. `isWhole` is false where the connection ended before the framing said so.
struct Answer {
    unsigned status = 0; // 0: no head was received.
    boost::beast::http::fields fields;
    std::string body;
    bool isWhole = false;
    bool closesConnection = false;

    std::string field(std::string_view name) const { return std::string(fields[name]); }
};

// A caller's connection over a blocking socket, for raw bytes, slow reading and cut connections. Every wait ends at
// testDeadline; an answer that has not arrived by then is not whole.
class TestClient {
public:
    explicit TestClient(const NetworkAddress&, int receiveBufferBytes = 0);

    // False where the connection is refused, which connecting throws for otherwise.
    static bool canConnect(const NetworkAddress&);

    // False where the other side has closed the connection.
    bool send(std::string_view bytes);
    Answer readAnswer(bool toHead = false);
    // Reads what has arrived, at most `size` bytes; empty at the end of the connection.
    std::string readSome(std::size_t size);
    // True when the other side has closed the connection and nothing is left to read.
    bool isAtEnd() { return m_unread.empty() && readSome(1).empty(); }
    void closeSending();
    void cut(); // Closes with a reset.

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread; // Received after the end of the last answer.
};

// One request on a connection of its own.
struct TestRequest {
    std::string method = "GET";
    std::string target = "/";
    std::string fields; // Whole lines, with CRLF.
    std::string body;
    std::string id; // X-Request-Id; empty for none.

    std::string text() const;
};

Answer call(const NetworkAddress&, const TestRequest&);

// Waits until the condition holds; false at testDeadline. For state that can only be asked for.
template <typename Condition> bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + testDeadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        ::usleep(20'000);
    }
    return true;
}

} // namespace dogwoodhall
