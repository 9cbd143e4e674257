#include "StandInServer.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace dogwoodhall {

namespace {

// Bodies need no size limit here: they are either only counted or small control documents.
CallerLimits unlimitedBody()
{
    CallerLimits limits;
    limits.bodyBytes = ByteCount(std::numeric_limits<std::uint64_t>::max());
    return limits;
}

CallerShares unlimitedShares()
{
    CallerShares shares;
    shares.memory = ByteCount(std::numeric_limits<std::uint64_t>::max());
    shares.connections = std::numeric_limits<std::size_t>::max();
    return shares;
}

std::chrono::steady_clock::time_point lastReceivedAt(int fd)
{
    const auto now = std::chrono::steady_clock::now();
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        throw std::runtime_error("cannot read TCP_INFO");
    return now - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace

StandInServer::StandInServer(const NetworkAddress& address, RequestHandler handler)
    : m_acceptor(m_io.get_executor())
    , m_sessions(m_io.get_executor(), unlimitedBody(), std::move(handler))
{
    listen(address);
}

StandInServer::StandInServer(const NetworkAddress& address, TimedHandler handler)
    : m_acceptor(m_io.get_executor())
    , m_sessions(m_io.get_executor(), unlimitedBody(), nullptr)
    , m_timedHandler(std::move(handler))
{
    listen(address);
}

void StandInServer::listen(const NetworkAddress& address)
{
    // A test may keep the port bound by a socket of its own, so that no other process gets it while this one is down.
    auto bound = m_acceptor.listen(address, PortSharing::Shared);
    if (!bound)
        throw std::runtime_error(bound.error());
    m_address = *bound;
}

void StandInServer::run()
{
    std::cout << "listening " << toString(m_address) << std::endl;
    const auto serve = [this](asio::ip::tcp::socket socket) {
        if (m_timedHandler)
            asio::co_spawn(m_io, serveTimed(std::move(socket)), rethrowToLoop);
        else
            m_sessions.serve(std::move(socket));
    };
    asio::co_spawn(m_io, m_acceptor.run(serve), asio::detached);
    m_io.run();
}

// The handlers of m_sessions do not know their connections.
asio::awaitable<void> StandInServer::serveTimed(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const int fd = socket.native_handle();
    CallerAccount account(unlimitedShares());
    RequestHandler handler = [this, fd](IncomingRequest request, ResponseWriter writer) {
        return m_timedHandler(std::move(request), std::move(writer), lastReceivedAt(fd));
    };
    CallerSessionHooks hooks;
    hooks.relieve = [] {};
    CallerSession session(
        std::move(socket), unlimitedBody(), std::move(handler), std::move(hooks), account, ConnectionId(1));
    co_await session.run();
}

asio::awaitable<std::optional<ByteCount>> discardBody(ReadBody readBody)
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
    co_await writeFullResponse(writer, head, body);
}

std::uint64_t Target::number(const std::string& name, std::uint64_t defaultValue) const
{
    auto it = parameters.find(name);
    return it == parameters.end() ? defaultValue : std::stoull(it->second);
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
