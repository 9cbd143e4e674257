#include "dogwoodhall/daemon/ControlThread.h"

#include "dogwoodhall/daemon/Log.h"
#include "dogwoodhall/declarations/RecordParser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration watchWait = std::chrono::seconds(20);
constexpr Duration hostListPeriod = std::chrono::seconds(1);
constexpr Duration retryDelay = std::chrono::milliseconds(500);

asio::awaitable<void> writeText(const ResponseWriter& writer, unsigned status, std::string text)
{
    ResponseHead head;
    head.status = status;
    head.fields.add("Content-Type", "text/plain");
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(text.size()) };
    if (!co_await writer.writeHead(head))
        co_return;
    if (!co_await writer.writeBody(asio::buffer(text)))
        co_return;
    co_await writer.finish();
}

} // namespace

ControlThread::ControlThread(const Settings& settings, Hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_acceptor(m_io)
    , m_records(m_io.get_executor(), settings.platformAddress)
    , m_hostLists(m_io.get_executor(), settings.platformAddress)
    , m_configuration(parseRecord)
{
}

NetworkAddress ControlThread::listen()
{
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(m_settings.adminAddress.ip), m_settings.adminAddress.port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    asio::co_spawn(m_io, acceptOperators(), asio::detached);
    asio::co_spawn(m_io, watchRecords(), asio::detached);
    asio::co_spawn(m_io, watchHosts(), asio::detached);
    return { m_settings.adminAddress.ip, m_acceptor.local_endpoint().port() };
}

asio::awaitable<void> ControlThread::watchRecords()
{
    while (true) {
        auto batch = co_await m_records.readRecords(m_configuration.highestRevision(), watchWait);
        if (batch) {
            accept(*batch);
            continue;
        }
        DOGWOODHALL_LOG(config, warning) << "Cannot read the configuration service: " << batch.error().detail << ".";
        co_await pause(retryDelay);
    }
}

void ControlThread::accept(const RecordBatch& batch)
{
    bool changed = false;
    for (const auto& record : batch.records) {
        const auto outcome = m_configuration.offer(record);
        changed = changed || outcome.result == OfferResult::Accepted;
        if (outcome.result == OfferResult::Rejected)
            DOGWOODHALL_LOG(config, error) << "Rejected record: " << outcome.reason << ".";
    }
    if (changed) {
        DOGWOODHALL_LOG(config, info) << "Revision " << m_configuration.highestRevision() << " is in force.";
        publish();
    }
}

asio::awaitable<void> ControlThread::watchHosts()
{
    while (true) {
        auto hosts = co_await m_hostLists.readHosts();
        if (hosts && hosts->version > m_hosts.version) {
            m_hosts = std::move(*hosts);
            publish();
        }
        co_await pause(hostListPeriod);
    }
}

asio::awaitable<void> ControlThread::pause(Duration duration)
{
    asio::steady_timer timer(m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
    co_await timer.async_wait(useTuple);
}

void ControlThread::publish()
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->revision = m_configuration.highestRevision();
    snapshot->routes = RouteTable(m_configuration.services());
    snapshot->topology = m_configuration.topology();
    for (const auto& host : m_hosts.hosts) {
        if (!host.isEntry)
            snapshot->leavingUpstreamHosts[host.id] = host.isLeaving;
    }
    snapshot->isReady = !snapshot->routes.services().empty();
    snapshot->isDraining = m_isDraining;
    m_hooks.publish(std::move(snapshot));
}

void ControlThread::setDraining()
{
    m_isDraining = true;
    publish();
}

asio::awaitable<void> ControlThread::acceptOperators()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec)
            co_return;
        const ConnectionId id(m_nextConnection++);
        m_operators.emplace(id,
            std::make_unique<CallerSession>(
                std::move(socket), CallerLimits {}, [this](IncomingRequest request, ResponseWriter writer) {
                    return handleOperator(std::move(request), std::move(writer));
                }));
        asio::co_spawn(m_io, serveOperator(id), asio::detached);
    }
}

asio::awaitable<void> ControlThread::serveOperator(ConnectionId id)
{
    co_await m_operators.at(id)->run();
    m_operators.erase(id);
}

asio::awaitable<void> ControlThread::handleOperator(IncomingRequest request, ResponseWriter writer)
{
    const auto& [method, target, fields, length] = request.head;
    if (method == "GET" && target == "/health") {
        co_await writeText(writer, 200, "ok\n");
    } else if (method == "GET" && target == "/ready") {
        const bool ready = m_configuration.highestRevision() > Revision(0) && !m_isDraining;
        co_await writeText(writer, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    } else if (method == "POST" && target == "/drain") {
        m_hooks.beginDrain();
        co_await writeText(writer, 202, "draining\n");
    } else if (method == "POST" && target == "/stop-now") {
        co_await writeText(writer, 202, "stopping\n");
        m_hooks.stopNow();
    } else {
        co_await writeText(writer, 404, "not found\n");
    }
}

} // namespace dogwoodhall
