#include "TestClient.h"

#include "dogwoodhall/exchange/AsioAddress.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <poll.h>

namespace dogwoodhall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBytes = 64 * 1024;
// Above the 64 KB that the daemon takes from an endpoint.
constexpr std::uint32_t responseHeadLimit = 128 * 1024;

} // namespace

TestClient::TestClient(const NetworkAddress& address, int receiveBufferBytes)
    : m_socket(m_io)
{
    const auto endpoint = toEndpoint(address);
    m_socket.open(endpoint.protocol());
    if (receiveBufferBytes > 0)
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    m_socket.connect(endpoint);
    m_socket.set_option(asio::ip::tcp::no_delay(true));
}

bool TestClient::canConnect(const NetworkAddress& address)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect(toEndpoint(address), ec);
    return !ec;
}

bool TestClient::send(std::string_view bytes)
{
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes), ec);
    return !ec;
}

std::string TestClient::readSome(std::size_t size)
{
    pollfd entry { m_socket.native_handle(), POLLIN, 0 };
    if (::poll(&entry, 1, static_cast<int>(std::chrono::milliseconds(testDeadline).count())) <= 0)
        return {};
    std::string bytes(size, '\0');
    boost::system::error_code ec;
    bytes.resize(m_socket.read_some(asio::buffer(bytes), ec));
    return bytes;
}

Response TestClient::readResponse(bool isHeadOnly)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(responseHeadLimit);
    parser.eager(true);
    parser.skip(isHeadOnly);
    boost::system::error_code ec;
    while (!parser.is_done() && (!ec || ec == http::error::need_more)) {
        if (m_unread.empty() || ec == http::error::need_more) {
            const auto bytes = readSome(readBytes);
            if (bytes.empty())
                break;
            m_unread += bytes;
        }
        m_unread.erase(0, parser.put(asio::buffer(m_unread), ec));
    }
    if (!parser.is_done())
        m_unread.clear(); // Rest of an incomplete response that the parser could not consume.
    const bool endsWithConnection = parser.is_header_done() && !parser.is_done() && parser.need_eof();
    if (endsWithConnection)
        parser.put_eof(ec);
    Response response;
    if (!parser.is_header_done())
        return response;
    response.isComplete = parser.is_done();
    response.closesConnection = !parser.keep_alive();
    response.status = parser.get().result_int();
    response.body = parser.get().body();
    response.fields = parser.get();
    return response;
}

void TestClient::closeSending()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void TestClient::abortConnection()
{
    m_socket.set_option(asio::socket_base::linger(true, 0));
    m_socket.close();
}

std::string TestRequest::text() const
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + fields;
    if (!id.empty())
        text += "X-Request-Id: " + id + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

Response call(const NetworkAddress& address, const TestRequest& request)
{
    TestClient client(address);
    client.send(request.text());
    return client.readResponse(request.method == "HEAD");
}

} // namespace dogwoodhall
