#include "dogwoodhall/peer/PeerServer.h"

#include "PeerSession.h"

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/EventLoop.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <unordered_map>
#include <utility>

namespace dogwoodhall {

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, PeerLimits limits, RequestHandler handler, AcceptsAddress acceptsAddress)
        : m_executor(std::move(executor))
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_acceptsAddress(std::move(acceptsAddress))
        , m_diagnostics(std::make_shared<PeerDiagnostics>())
        , m_acceptor(m_executor)
    {
    }

    tl::expected<NetworkAddress, std::string> listen(const NetworkAddress&);
    void shutdown(std::function<void()> done);
    void closeAll();

    PeerDiagnostics& diagnostics() { return *m_diagnostics; }
    std::size_t openConnections() const { return m_sessions.size(); }
    std::size_t runningStreams() const { return m_runningStreams; }
    ByteCount bufferedBytes() const;

private:
    static asio::awaitable<void> accept(std::shared_ptr<Impl>);
    static asio::awaitable<void> runSession(std::shared_ptr<Impl>, std::shared_ptr<PeerSession>, ConnectionId);
    static asio::awaitable<void> runHandler(
        std::shared_ptr<Impl>, std::shared_ptr<PeerSession>, StreamId, IncomingRequest);
    void serveConnection(asio::ip::tcp::socket);
    void serveStream(ConnectionId, StreamId);
    void handlerEnded(PeerSession&, StreamId, std::exception_ptr);
    void checkShutdown();

    asio::any_io_executor m_executor;
    PeerLimits m_limits;
    RequestHandler m_handler;
    AcceptsAddress m_acceptsAddress;
    std::shared_ptr<PeerDiagnostics> m_diagnostics;
    Acceptor m_acceptor;
    std::unordered_map<ConnectionId, std::shared_ptr<PeerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    std::size_t m_runningStreams = 0;
    bool m_isShuttingDown = false;
    std::function<void()> m_shutdownDone;
};

tl::expected<NetworkAddress, std::string> PeerServer::Impl::listen(const NetworkAddress& address)
{
    auto bound = m_acceptor.listen(address, PortSharing::Shared);
    if (bound)
        asio::co_spawn(m_executor, accept(shared_from_this()), rethrowToLoop);
    return bound;
}

asio::awaitable<void> PeerServer::Impl::accept(std::shared_ptr<Impl> self)
{
    Acceptor::ConnectionHandler serve
        = [impl = self.get()](asio::ip::tcp::socket socket) { impl->serveConnection(std::move(socket)); };
    co_await self->m_acceptor.run(std::move(serve));
}

void PeerServer::Impl::serveConnection(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    const auto remote = socket.remote_endpoint(ec);
    if (ec || m_isShuttingDown)
        return;
    const std::string remoteText = toString(fromEndpoint(remote));
    if (!m_acceptsAddress(remote.address())) {
        ++m_diagnostics->counters.addressesRejected;
        m_diagnostics->report("Rejected a connection from " + remoteText + ": not the address of a member.");
        return;
    }
    const ConnectionId id(m_nextConnection++);
    // Capturing `this` is safe: the session calls back only from its run coroutine, which keeps this object alive.
    auto session = std::make_shared<PeerSession>(std::move(socket), PeerSession::Role::Server, m_limits, m_diagnostics,
        remoteText, [this, id](StreamId stream) { serveStream(id, stream); });
    m_sessions[id] = session;
    ++m_diagnostics->counters.connectionsOpened;
    asio::co_spawn(m_executor, runSession(shared_from_this(), session, id), rethrowToLoop);
}

asio::awaitable<void> PeerServer::Impl::runSession(
    std::shared_ptr<Impl> self, std::shared_ptr<PeerSession> session, ConnectionId id)
{
    co_await session->run();
    self->m_sessions.erase(id);
    self->checkShutdown();
}

void PeerServer::Impl::serveStream(ConnectionId connection, StreamId id)
{
    const std::shared_ptr<PeerSession> session = m_sessions.at(connection);
    PeerStream& stream = *session->find(id);
    IncomingRequest request;
    // The method is needed again for the response: HEAD has no body.
    const std::string method = stream.head.method;
    request.head = std::move(stream.head).toRequest();
    stream.head.method = method;
    request.readBody = [session, id](asio::mutable_buffer buf) { return session->readBody(id, buf); };
    request.remote = session->remote();
    stream.handlerRunning = true;
    ++m_runningStreams;
    asio::co_spawn(m_executor, runHandler(shared_from_this(), session, id, std::move(request)),
        asio::bind_cancellation_slot(stream.cancelHandler.slot(),
            [self = shared_from_this(), session, id](std::exception_ptr e) { self->handlerEnded(*session, id, e); }));
}

asio::awaitable<void> PeerServer::Impl::runHandler(
    std::shared_ptr<Impl> self, std::shared_ptr<PeerSession> session, StreamId id, IncomingRequest request)
{
    ResponseWriter writer;
    writer.writeHead = [session, id](const ResponseHead& head) { return session->submitResponse(id, head); };
    writer.writeBody = [session, id](asio::const_buffer buf) { return session->writeBody(id, buf); };
    writer.finish = [session, id] { return session->finish(id); };
    co_await self->m_handler(std::move(request), std::move(writer));
}

void PeerServer::Impl::handlerEnded(PeerSession& session, StreamId id, std::exception_ptr e)
{
    if (e && !session.isCancelled(id))
        m_diagnostics->report("A request handler failed: " + describe(e));
    session.handlerEnded(id);
    --m_runningStreams;
    checkShutdown();
}

void PeerServer::Impl::shutdown(std::function<void()> done)
{
    m_shutdownDone = std::move(done);
    m_isShuttingDown = true;
    m_acceptor.close();
    for (auto& [id, session] : m_sessions)
        session->startShutdown();
    asio::post(m_executor, [self = shared_from_this()] { self->checkShutdown(); });
}

void PeerServer::Impl::checkShutdown()
{
    if (m_isShuttingDown && m_sessions.empty() && m_runningStreams == 0 && m_shutdownDone)
        std::exchange(m_shutdownDone, nullptr)();
}

void PeerServer::Impl::closeAll()
{
    m_acceptor.close();
    for (auto& [id, session] : m_sessions)
        session->close("the server was closed");
}

ByteCount PeerServer::Impl::bufferedBytes() const
{
    ByteCount n;
    for (const auto& [id, session] : m_sessions)
        n += session->bufferedBytes();
    return n;
}

PeerServer::PeerServer(
    asio::any_io_executor executor, PeerLimits limits, RequestHandler handler, AcceptsAddress acceptsAddress)
    : m_impl(std::make_shared<Impl>(std::move(executor), limits, std::move(handler), std::move(acceptsAddress)))
{
}

PeerServer::~PeerServer() { m_impl->closeAll(); }

tl::expected<NetworkAddress, std::string> PeerServer::listen(const NetworkAddress& address)
{
    return m_impl->listen(address);
}

void PeerServer::shutdown(std::function<void()> done) { m_impl->shutdown(std::move(done)); }

void PeerServer::setLog(PeerLog log) { m_impl->diagnostics().log = std::move(log); }

const PeerCounters& PeerServer::counters() const { return m_impl->diagnostics().counters; }

std::size_t PeerServer::openConnections() const { return m_impl->openConnections(); }

std::size_t PeerServer::runningStreams() const { return m_impl->runningStreams(); }

ByteCount PeerServer::bufferedBytes() const { return m_impl->bufferedBytes(); }

} // namespace dogwoodhall
