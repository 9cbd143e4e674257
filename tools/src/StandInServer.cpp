#include "StandInServer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <limits>
#include <stdexcept>
#include <utility>

namespace dogwoodhall {

namespace {

// Bodies are counted or are small control documents, so that the size of a body needs no bound here.
CallerLimits unlimitedBody()
{
    CallerLimits limits;
    limits.bodyBytes = ByteCount(std::numeric_limits<std::uint64_t>::max());
    return limits;
}

} // namespace

StandInServer::StandInServer(const NetworkAddress& address, RequestHandler handler)
    : m_handler(std::move(handler))
    , m_acceptor(m_io.get_executor())
{
    // A test may hold the port with a socket of its own, so that no other process gets it while this one is down.
    auto bound = m_acceptor.listen(address, PortSharing::Shared);
    if (!bound)
        throw std::runtime_error(bound.error());
    m_address = *bound;
}

void StandInServer::run()
{
    std::cout << "listening " << toString(m_address) << std::endl;
    asio::co_spawn(m_io, m_acceptor.run([this](asio::ip::tcp::socket socket) { startSession(std::move(socket)); }),
        asio::detached);
    m_io.run();
}

void StandInServer::startSession(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const ConnectionId id(m_nextConnection++);
    m_sessions.emplace(id, std::make_unique<CallerSession>(std::move(socket), unlimitedBody(), m_handler));
    asio::co_spawn(m_io, serve(id), asio::detached);
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
