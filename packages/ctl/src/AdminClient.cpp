#include "dogwoodhall/ctl/AdminClient.h"

#include "dogwoodhall/exchange/AsioAddress.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <optional>

namespace dogwoodhall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// The status of 1,200 services in 7 data centres, at about 500 bytes per pool, takes 4 MB.
constexpr std::uint64_t maxReplyBytes = 16 * 1024 * 1024;
// Short enough for interactive use, with negligible load on the process.
constexpr auto stopCheckPeriod = std::chrono::milliseconds(200);
constexpr auto connectTimeout = std::chrono::seconds(2);
// After this many consecutive connection failures other than a refusal the wait ends with an error: the network is
// down, and the process may still be running.
constexpr int maxConnectFailures = 5;

std::string cannotReach(const NetworkAddress& address, const boost::system::error_code& ec)
{
    return "cannot reach " + toString(address) + ": " + ec.message();
}

using Reply = tl::expected<AdminReply, std::string>;

asio::awaitable<Reply> exchange(NetworkAddress address, std::string method, std::string target, Duration timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    auto [connectError] = co_await stream.async_connect(toEndpoint(address), useTuple);
    if (connectError)
        co_return tl::unexpected(cannotReach(address, connectError));
    http::request<http::empty_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, toString(address));
    request.set(http::field::connection, "close");
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(stream, request, useTuple);
    if (writeError)
        co_return tl::unexpected(cannotReach(address, writeError));
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    auto [readError, read] = co_await http::async_read(stream, buf, parser, useTuple);
    if (readError)
        co_return tl::unexpected("no complete answer from " + toString(address) + ": " + readError.message());
    co_return AdminReply { parser.get().result_int(), std::move(parser.get().body()) };
}

using StopResult = tl::expected<bool, std::string>;

asio::awaitable<StopResult> pollUntilStopped(NetworkAddress address, Duration limit)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto start = std::chrono::steady_clock::now();
    int connectFailures = 0;
    while (true) {
        beast::tcp_stream stream(executor);
        stream.expires_after(connectTimeout);
        auto [ec] = co_await stream.async_connect(toEndpoint(address), useTuple);
        if (ec == asio::error::connection_refused)
            co_return true;
        connectFailures = ec ? connectFailures + 1 : 0;
        if (connectFailures == maxConnectFailures)
            co_return tl::unexpected(cannotReach(address, ec) + "; the process may still run");
        if (limit != Duration {} && std::chrono::steady_clock::now() - start >= limit)
            co_return false;
        asio::steady_timer timer(executor, stopCheckPeriod);
        co_await timer.async_wait(useTuple);
    }
}

// Runs a coroutine to completion on this thread.
template <typename T> T runToCompletion(asio::awaitable<T> work)
{
    asio::io_context io(1);
    std::optional<T> result;
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr error, T value) {
        failure = error;
        result = std::move(value);
    });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::move(*result);
}

} // namespace

AdminClient::AdminClient(NetworkAddress address)
    : m_address(address)
{
}

Reply AdminClient::request(const std::string& method, const std::string& target, Duration timeout)
{
    return runToCompletion(exchange(m_address, method, target, timeout));
}

StopResult AdminClient::waitUntilStopped(Duration limit) { return runToCompletion(pollUntilStopped(m_address, limit)); }

} // namespace dogwoodhall
