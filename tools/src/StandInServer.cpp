#include "StandInServer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <limits>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Bodies are counted or are small control documents, so that the size of a body needs no bound here.
CallerLimits unlimitedBody()
{
    CallerLimits limits;
    limits.bodyBytes = ByteCount(std::numeric_limits<std::uint64_t>::max());
    return limits;
}

} // namespace

StandInServer::StandInServer(NetworkAddress address, RequestHandler handler)
    : m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_acceptor(m_io)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.ip), m_address.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // A test may hold the port with a socket of its own, so that no other process gets it while this one is down.
    m_acceptor.set_option(ReusePort(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
}

void StandInServer::run()
{
    std::cout << "listening " << toString({ m_address.ip, m_acceptor.local_endpoint().port() }) << std::endl;
    asio::co_spawn(m_io, accept(), asio::detached);
    m_io.run();
}

asio::awaitable<void> StandInServer::accept()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec)
            continue;
        boost::system::error_code optionError;
        socket.set_option(asio::ip::tcp::no_delay(true), optionError);
        const ConnectionId id(m_nextConnection++);
        m_sessions.emplace(id, std::make_unique<CallerSession>(std::move(socket), unlimitedBody(), m_handler));
        asio::co_spawn(m_io, serve(id), asio::detached);
    }
}

asio::awaitable<void> StandInServer::serve(ConnectionId id)
{
    co_await m_sessions.at(id)->run();
    m_sessions.erase(id);
}

asio::awaitable<std::optional<std::string>> readAll(ReadBody readBody)
{
    std::string body;
    std::array<char, 16 * 1024> buf;
    while (true) {
        auto n = co_await readBody(asio::buffer(buf));
        if (!n)
            co_return std::nullopt;
        if (*n == 0)
            co_return body;
        body.append(buf.data(), *n);
    }
}

asio::awaitable<std::optional<ByteCount>> discardAll(ReadBody readBody)
{
    std::uint64_t size = 0;
    std::array<char, 16 * 1024> buf;
    while (true) {
        auto n = co_await readBody(asio::buffer(buf));
        if (!n)
            co_return std::nullopt;
        if (*n == 0)
            co_return ByteCount(size);
        size += *n;
    }
}

asio::awaitable<void> writeAnswer(const ResponseWriter& writer, unsigned status, std::string body, HeaderFields fields)
{
    ResponseHead head;
    head.status = status;
    head.fields = std::move(fields);
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(body.size()) };
    if (!co_await writer.writeHead(head))
        co_return;
    if (!co_await writer.writeBody(asio::buffer(body)))
        co_return;
    co_await writer.finish();
}

std::uint64_t Target::number(const std::string& name, std::uint64_t otherwise) const
{
    auto it = parameters.find(name);
    return it == parameters.end() ? otherwise : std::stoull(it->second);
}

std::string Target::text(const std::string& name) const
{
    auto it = parameters.find(name);
    return it == parameters.end() ? std::string() : it->second;
}

Target parseTarget(std::string_view text)
{
    Target target;
    const auto question = text.find('?');
    target.path = std::string(text.substr(0, question));
    while (question != std::string_view::npos && !text.empty()) {
        text = text.substr(std::min(text.size(), text.find_first_of("?&") + 1));
        const auto pair = text.substr(0, text.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            target.parameters[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
        if (text.find('&') == std::string_view::npos)
            break;
    }
    return target;
}

} // namespace dogwoodhall
