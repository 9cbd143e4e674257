#include "dogwoodhall/peer/PeerClient.h"

#include "PeerSession.h"

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/EventLoop.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dogwoodhall {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

// Owns an exchange's stream; resets it on destruction unless it has ended.
class StreamHandle {
public:
    StreamHandle(std::shared_ptr<PeerSession> session, StreamId id)
        : m_session(std::move(session))
        , m_id(id)
    {
    }
    ~StreamHandle() { release(); }

    StreamHandle(const StreamHandle&) = delete;
    StreamHandle& operator=(const StreamHandle&) = delete;

    void release() { m_session->release(m_id, NGHTTP2_CANCEL); }
    PeerSession& session() { return *m_session; }
    StreamId id() const { return m_id; }

private:
    std::shared_ptr<PeerSession> m_session;
    StreamId m_id;
};

// Marks an exchange as waiting for its response for the lifetime of the object.
class ResponseWaitScope {
public:
    explicit ResponseWaitScope(std::shared_ptr<PeerSession> session)
        : m_session(std::move(session))
    {
        m_session->waitStarted();
    }
    ~ResponseWaitScope() { m_session->waitEnded(); }

    ResponseWaitScope(const ResponseWaitScope&) = delete;
    ResponseWaitScope& operator=(const ResponseWaitScope&) = delete;

private:
    std::shared_ptr<PeerSession> m_session;
};

ExchangeResult<std::size_t> readStreamBody(std::shared_ptr<StreamHandle> handle, asio::mutable_buffer buf)
{
    auto n = co_await handle->session().readBody(handle->id(), buf);
    if (!n || *n == 0)
        handle->release();
    co_return n;
}

IncomingResponse makeResponse(ResponseHead head, std::shared_ptr<StreamHandle> handle)
{
    IncomingResponse response;
    response.head = std::move(head);
    response.readBody = [handle](asio::mutable_buffer buf) { return readStreamBody(handle, buf); };
    response.abandon = [handle] { handle->release(); };
    return response;
}

} // namespace

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, PeerLimits limits)
        : m_executor(std::move(executor))
        , m_limits(limits)
        , m_diagnostics(std::make_shared<PeerDiagnostics>())
    {
    }

    // Returns the session that accepts new requests to this peer, opening one if necessary. Null for a malformed
    // address.
    std::shared_ptr<PeerSession> sessionFor(const NetworkAddress&);
    void closeAll();

    void detectSilence(SilenceHooks);
    bool isSuspected(const NetworkAddress&) const;
    // Restarts the tick timer, which stops while no exchange waits.
    void resumeMonitoring();

    PeerDiagnostics& diagnostics() { return *m_diagnostics; }
    std::size_t openConnections() const { return m_sessions.size(); }
    ByteCount bufferedBytes() const;

private:
    static asio::awaitable<void> monitorSilence(std::shared_ptr<Impl>);
    void tick();
    bool hasWaitingExchanges() const;
    static asio::awaitable<void> runSession(
        std::shared_ptr<Impl>, std::shared_ptr<PeerSession>, ConnectionId, asio::ip::tcp::endpoint);

    asio::any_io_executor m_executor;
    PeerLimits m_limits;
    std::shared_ptr<PeerDiagnostics> m_diagnostics;
    std::unordered_map<ConnectionId, std::shared_ptr<PeerSession>> m_sessions;
    std::map<NetworkAddress, ConnectionId> m_activeConnections; // Connections that new requests use.
    std::uint64_t m_nextConnection = 1;
    SilenceHooks m_silenceHooks;
    std::optional<asio::steady_timer> m_tickTimer;
    bool m_isMonitorIdle = false;
    bool m_isClosed = false;
};

std::shared_ptr<PeerSession> PeerClient::Impl::sessionFor(const NetworkAddress& peer)
{
    if (auto it = m_activeConnections.find(peer); it != m_activeConnections.end()) {
        auto session = m_sessions.find(it->second);
        if (session != m_sessions.end() && session->second->acceptsRequests())
            return session->second;
    }
    const ConnectionId id(m_nextConnection++);
    auto session = std::make_shared<PeerSession>(
        asio::ip::tcp::socket(m_executor), PeerSession::Role::Client, m_limits, m_diagnostics, toString(peer), nullptr);
    m_sessions[id] = session;
    m_activeConnections[peer] = id;
    session->setSilenceChanged([this, peer](SilenceChange change) {
        if (m_silenceHooks.changed)
            m_silenceHooks.changed(peer, change);
    });
    ++m_diagnostics->counters.connectionsOpened;
    asio::co_spawn(m_executor, runSession(shared_from_this(), session, id, toEndpoint(peer)), rethrowToLoop);
    return session;
}

asio::awaitable<void> PeerClient::Impl::runSession(
    std::shared_ptr<Impl> self, std::shared_ptr<PeerSession> session, ConnectionId id, asio::ip::tcp::endpoint target)
{
    if (auto reason = co_await session->connect(target))
        session->close(*reason);
    else
        co_await session->run();
    std::erase_if(self->m_activeConnections, [&](const auto& entry) { return entry.second == id; });
    self->m_sessions.erase(id);
}

void PeerClient::Impl::detectSilence(SilenceHooks hooks)
{
    m_silenceHooks = std::move(hooks);
    m_tickTimer.emplace(m_executor);
    asio::co_spawn(m_executor, monitorSilence(shared_from_this()), rethrowToLoop);
}

bool PeerClient::Impl::isSuspected(const NetworkAddress& peer) const
{
    auto it = m_activeConnections.find(peer);
    if (it == m_activeConnections.end())
        return false;
    auto session = m_sessions.find(it->second);
    return session != m_sessions.end() && session->second->silence().isSuspected();
}

void PeerClient::Impl::resumeMonitoring()
{
    if (m_tickTimer && m_isMonitorIdle)
        m_tickTimer->cancel();
}

bool PeerClient::Impl::hasWaitingExchanges() const
{
    return std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& item) { return item.second->silence().isWaiting(); });
}

// Runs one timer for all connections. The timer is stopped while no exchange waits for a response.
asio::awaitable<void> PeerClient::Impl::monitorSilence(std::shared_ptr<Impl> self)
{
    const auto period = std::chrono::duration_cast<std::chrono::steady_clock::duration>(SilenceLimits {}.tickPeriod);
    while (!self->m_isClosed) {
        self->m_isMonitorIdle = !self->hasWaitingExchanges();
        if (self->m_isMonitorIdle)
            self->m_tickTimer->expires_at(asio::steady_timer::time_point::max());
        else
            self->m_tickTimer->expires_after(period);
        auto [ec] = co_await self->m_tickTimer->async_wait(useTuple);
        if (!ec)
            self->tick();
    }
}

// If the budget does not cover all PINGs, the connections whose last PING is oldest take precedence.
void PeerClient::Impl::tick()
{
    std::vector<std::pair<PeerSession*, bool>> due;
    for (const auto& [id, session] : m_sessions) {
        if (const auto ping = session->tickSilence())
            due.emplace_back(session.get(), ping->isRepeated);
    }
    std::sort(due.begin(), due.end(),
        [](const auto& a, const auto& b) { return a.first->lastSilencePing() < b.first->lastSilencePing(); });
    for (const auto& [session, isRepeated] : due) {
        if (m_silenceHooks.tryChargePing(isRepeated))
            session->sendSilencePing();
    }
}

void PeerClient::Impl::closeAll()
{
    m_isClosed = true;
    m_silenceHooks.changed = nullptr;
    if (m_tickTimer)
        m_tickTimer->cancel();
    for (auto& [id, session] : m_sessions)
        session->close("the client was closed");
}

ByteCount PeerClient::Impl::bufferedBytes() const
{
    ByteCount n;
    for (const auto& [id, session] : m_sessions)
        n += session->bufferedBytes();
    return n;
}

PeerClient::PeerClient(asio::any_io_executor executor, PeerLimits limits)
    : m_impl(std::make_shared<Impl>(std::move(executor), limits))
{
}

PeerClient::~PeerClient() { m_impl->closeAll(); }

ExchangeResult<IncomingResponse> PeerClient::exchange(
    const NetworkAddress& peer, OutgoingRequest request, std::chrono::steady_clock::time_point deadline)
{
    return exchange(peer, std::move(request), deadline, nullptr);
}

ExchangeResult<IncomingResponse> PeerClient::exchange(const NetworkAddress& peer, OutgoingRequest request,
    std::chrono::steady_clock::time_point deadline, ShouldAbandonSuspected shouldAbandonSuspected)
{
    auto session = m_impl->sessionFor(peer);
    auto id = session->submitRequest(request.head, deadline);
    if (!id)
        co_return tl::unexpected(id.error());
    auto handle = std::make_shared<StreamHandle>(session, *id);
    const ResponseWaitScope waiting(session);
    m_impl->resumeMonitoring();
    if (request.head.bodyLength.kind != BodyLength::Kind::None) {
        auto sent = co_await session->sendRequestBody(*id, std::move(request.readBody));
        if (!sent)
            co_return tl::unexpected(sent.error());
    }
    auto head = co_await session->readHead(*id, deadline, shouldAbandonSuspected);
    if (!head)
        co_return tl::unexpected(head.error());
    co_return makeResponse(std::move(*head), std::move(handle));
}

void PeerClient::detectSilence(SilenceHooks hooks) { m_impl->detectSilence(std::move(hooks)); }

bool PeerClient::isSuspected(const NetworkAddress& peer) const { return m_impl->isSuspected(peer); }

void PeerClient::setLog(PeerLog log) { m_impl->diagnostics().log = std::move(log); }

const PeerCounters& PeerClient::counters() const { return m_impl->diagnostics().counters; }

std::size_t PeerClient::openConnections() const { return m_impl->openConnections(); }

ByteCount PeerClient::bufferedBytes() const { return m_impl->bufferedBytes(); }

} // namespace dogwoodhall
