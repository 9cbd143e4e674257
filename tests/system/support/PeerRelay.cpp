#include "PeerRelay.h"

#include "Sockets.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <future>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dogwoodhall {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;

// The inode of the socket at the other end of an accepted connection over 127.0.0.1; empty where that is closed. The
// kernel looks up this one socket: its table of all sockets takes 0.2 s to read while it holds 120,000 closed
// connections of other tests, and the relay forwards nothing meanwhile.
std::optional<std::uint32_t> inodeOfOtherEnd(const tcp::socket& socket)
{
    boost::system::error_code ec;
    const auto other = socket.remote_endpoint(ec);
    if (ec)
        return std::nullopt;
    struct {
        nlmsghdr header { sizeof(header) + sizeof(query), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0 };
        inet_diag_req_v2 query {};
    } request;
    request.query.sdiag_family = AF_INET;
    request.query.sdiag_protocol = IPPROTO_TCP;
    request.query.idiag_states = ~0U;
    auto& id = request.query.id;
    id.idiag_sport = htons(other.port());
    id.idiag_dport = htons(socket.local_endpoint().port());
    id.idiag_src[0] = id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    id.idiag_cookie[0] = id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    struct {
        nlmsghdr header;
        inet_diag_msg socket;
        std::array<char, 4096> attributes;
    } reply {};
    const int diagnostics = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    const bool isAnswered
        = ::send(diagnostics, &request, sizeof(request), 0) > 0 && ::recv(diagnostics, &reply, sizeof(reply), 0) > 0;
    ::close(diagnostics);
    if (!isAnswered)
        throw std::runtime_error("the kernel does not answer questions about sockets");
    // Where the connection is gone, a listener on its port is found.
    const bool isFound = reply.header.nlmsg_type == SOCK_DIAG_BY_FAMILY && reply.socket.idiag_state != TCP_LISTEN;
    if (!isFound || reply.socket.idiag_inode == 0)
        return std::nullopt;
    return reply.socket.idiag_inode;
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
    onThread([&] {
        m_targets[name] = { address, process };
        m_changed.cancel();
    });
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
                resetConnection(connection->near);
                resetConnection(connection->far);
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
        auto connection = std::make_shared<Connection>(Connection { std::move(socket), tcp::socket(m_io), {}, to });
        asio::co_spawn(m_io, serve(std::move(connection)), asio::detached);
    }
}

// Waits until setTarget() has named the process that connected. False where that has closed the connection.
asio::awaitable<bool> PeerRelay::findOwner(ConnectionPointer connection)
{
    while (const auto inode = inodeOfOtherEnd(connection->near)) {
        connection->from = ownerOf(*inode);
        if (!connection->from.empty())
            co_return true;
        co_await m_changed.async_wait(useTuple);
    }
    co_return false;
}

asio::awaitable<void> PeerRelay::serve(ConnectionPointer connection)
{
    if (!co_await findOwner(connection))
        co_return;
    m_connections.push_back(connection);
    co_await waitWhileHung(connection);
    const auto target = m_targets.find(connection->to);
    if (target == m_targets.end() || isCut(*connection)) {
        resetConnection(connection->near);
        co_return;
    }
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), target->second.address.port);
    connection->far.open(tcp::v4());
    closeOnExec(connection->far);
    auto [ec] = co_await connection->far.async_connect(endpoint, useTuple);
    if (ec) {
        resetConnection(connection->near);
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
        resetConnection(connection->near);
        resetConnection(connection->far);
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

std::string PeerRelay::ownerOf(std::uint32_t inode) const
{
    const auto wanted = "socket:[" + std::to_string(inode) + "]";
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
