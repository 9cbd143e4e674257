#include "dogwoodhall/daemon/TrafficThread.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

TrafficThread::TrafficThread(Options options)
    : m_options(std::move(options))
    , m_work(asio::make_work_guard(m_io))
    , m_acceptor(m_io)
    , m_shard(m_io, m_options.seed)
    , m_slots(m_io, m_options.index, m_options.postToShard)
    , m_upstreams(m_io.get_executor(), m_options.upstreamLimits)
    , m_runner(m_slots, m_upstreams, m_options.dataCentre)
{
}

TrafficThread::~TrafficThread() { join(); }

NetworkAddress TrafficThread::listen()
{
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(m_options.callerAddress.ip), m_options.callerAddress.port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // Each traffic thread accepts on a socket of its own; the kernel spreads connections over them.
    m_acceptor.set_option(ReusePort(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    asio::co_spawn(m_io, accept(), asio::detached);
    return { m_options.callerAddress.ip, m_acceptor.local_endpoint().port() };
}

void TrafficThread::start()
{
    m_thread = std::thread([this] { m_io.run(); });
}

void TrafficThread::join()
{
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficThread::post(std::function<void(TrafficThread&)> task)
{
    asio::post(m_io, [this, task = std::move(task)] { task(*this); });
}

void TrafficThread::apply(SnapshotPointer snapshot)
{
    m_shard.apply(snapshot);
    m_runner.apply(std::move(snapshot));
}

asio::awaitable<void> TrafficThread::accept()
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        boost::system::error_code optionError;
        socket.set_option(asio::ip::tcp::no_delay(true), optionError);
        const ConnectionId id(m_nextConnection++);
        m_sessions.emplace(id,
            std::make_unique<CallerSession>(
                std::move(socket), m_options.callerLimits, [this](IncomingRequest request, ResponseWriter writer) {
                    return m_runner.run(std::move(request), std::move(writer));
                }));
        asio::co_spawn(m_io, serve(id), asio::detached);
    }
}

asio::awaitable<void> TrafficThread::serve(ConnectionId id)
{
    co_await m_sessions.at(id)->run();
    m_sessions.erase(id);
    checkDrained();
}

void TrafficThread::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (auto& [id, session] : m_sessions)
        session->stopAfterCurrentRequest();
    checkDrained();
}

void TrafficThread::checkDrained()
{
    if (m_drained && m_sessions.empty())
        std::exchange(m_drained, nullptr)();
}

void TrafficThread::stop()
{
    m_work.reset();
    m_io.stop();
}

} // namespace dogwoodhall
