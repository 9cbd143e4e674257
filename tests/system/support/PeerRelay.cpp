#include "PeerRelay.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace dogwoodhall {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;
constexpr unsigned lookUps = 20;

// A process that the test starts later would hold an inherited socket open past its end here.
template <typename SocketType> void closeOnExec(SocketType& socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

void reset(tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

std::string portText(const tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << endpoint.port();
    return text.str();
}

// The inode of the socket at the other end of an accepted connection over 127.0.0.1; empty where it is closed.
std::string inodeOfOtherEnd(const tcp::socket& socket)
{
    boost::system::error_code ec;
    const auto local = portText(socket.remote_endpoint(ec));
    const auto remote = portText(socket.local_endpoint(ec));
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::array<std::string, 10> word;
        for (auto& it : word)
            words >> it;
        if (word[1].ends_with(local) && word[2].ends_with(remote))
            return word[9];
    }
    return {};
}

} // namespace

PeerRelay::PeerRelay()
    : m_changed(m_io, asio::steady_timer::time_point::max())
    , m_thread([this] {
        const auto guard = asio::make_work_guard(m_io);
        m_io.run();
    })
{
}

PeerRelay::~PeerRelay()
{
    m_io.stop();
    m_thread.join();
}

NetworkAddress PeerRelay::listenFor(const std::string& name)
{
    NetworkAddress address;
    onThread([&] {
        auto& acceptor = m_acceptors.emplace_back(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        closeOnExec(acceptor);
        address = { "127.0.0.1", acceptor.local_endpoint().port() };
        asio::co_spawn(m_io, accept(acceptor, name), asio::detached);
    });
    return address;
}

void PeerRelay::setTarget(const std::string& name, const NetworkAddress& address, pid_t process)
{
    onThread([&] { m_targets[name] = { address, process }; });
}

void PeerRelay::split(std::set<std::string> group, Fault fault)
{
    onThread([&] {
        m_group = std::move(group);
        m_fault = fault;
        std::erase_if(m_connections, [](const auto& connection) { return connection.expired(); });
        for (const auto& it : m_connections) {
            const auto connection = it.lock();
            if (fault == Fault::Reset && isCut(*connection)) {
                reset(connection->near);
                reset(connection->far);
            }
        }
        m_changed.cancel();
    });
}

asio::awaitable<void> PeerRelay::accept(tcp::acceptor& acceptor, std::string to)
{
    while (true) {
        auto [ec, socket] = co_await acceptor.async_accept(useTuple);
        if (ec)
            continue;
        closeOnExec(socket);
        asio::co_spawn(m_io, serve(addConnection(std::move(socket), to)), asio::detached);
    }
}

PeerRelay::ConnectionPointer PeerRelay::addConnection(tcp::socket near, const std::string& to)
{
    auto from = ownerOf(near);
    auto connection
        = std::make_shared<Connection>(Connection { std::move(near), tcp::socket(m_io), std::move(from), to });
    m_connections.push_back(connection);
    return connection;
}

asio::awaitable<void> PeerRelay::serve(ConnectionPointer connection)
{
    co_await waitWhileHung(connection);
    const auto target = m_targets.find(connection->to);
    if (connection->from.empty() || target == m_targets.end() || isCut(*connection)) {
        reset(connection->near);
        co_return;
    }
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), target->second.address.port);
    connection->far.open(tcp::v4());
    closeOnExec(connection->far);
    auto [ec] = co_await connection->far.async_connect(endpoint, useTuple);
    if (ec) {
        reset(connection->near);
        co_return;
    }
    asio::co_spawn(m_io, pump(connection, &Connection::far, &Connection::near), asio::detached);
    co_await pump(connection, &Connection::near, &Connection::far);
}

asio::awaitable<void> PeerRelay::pump(ConnectionPointer connection, Socket from, Socket to)
{
    std::array<char, bufferBytes> buf;
    while (true) {
        auto [ec, n] = co_await ((*connection).*from).async_read_some(asio::buffer(buf), useTuple);
        co_await waitWhileHung(connection);
        if (ec == asio::error::eof) {
            ((*connection).*to).shutdown(tcp::socket::shutdown_send, ec);
            co_return;
        }
        if (!ec)
            std::tie(ec, n) = co_await asio::async_write((*connection).*to, asio::buffer(buf.data(), n), useTuple);
        if (!ec)
            continue;
        reset(connection->near);
        reset(connection->far);
        co_return;
    }
}

asio::awaitable<void> PeerRelay::waitWhileHung(ConnectionPointer connection)
{
    while (m_fault == Fault::Hang && isCut(*connection))
        co_await m_changed.async_wait(useTuple);
}

bool PeerRelay::isCut(const Connection& connection) const
{
    return m_group.contains(connection.from) != m_group.contains(connection.to);
}

std::string PeerRelay::ownerOf(const tcp::socket& accepted) const
{
    // The kernel's table may miss a line while other sockets come and go.
    std::string inode;
    for (unsigned n = 0; n < lookUps && inode.empty(); ++n)
        inode = inodeOfOtherEnd(accepted);
    if (inode.empty())
        std::cerr << "relay: a connection's owner is not known\n";
    const auto wanted = "socket:[" + inode + "]";
    for (const auto& [name, target] : m_targets) {
        std::error_code ec;
        const auto folder = "/proc/" + std::to_string(target.process) + "/fd";
        for (std::filesystem::directory_iterator it(folder, ec), end; !ec && it != end; it.increment(ec)) {
            std::error_code gone;
            if (std::filesystem::read_symlink(it->path(), gone) == wanted)
                return name;
        }
    }
    return {};
}

void PeerRelay::onThread(std::function<void()> task)
{
    std::promise<void> done;
    asio::post(m_io, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace dogwoodhall
