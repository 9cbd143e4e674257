#include "LoadRun.h"

#include "dogwoodhall/exchange/AsioAddress.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <limits>

namespace dogwoodhall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

std::string requestText(const std::string& target, unsigned deadlineMs = 0)
{
    const auto deadline = deadlineMs ? "Dogwoodhall-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" : "";
    return "GET " + target + " HTTP/1.1\r\nHost: load\r\n" + deadline + "\r\n";
}

// Sends the requests of one connection.
class LoadConnection {
public:
    LoadConnection(
        asio::io_context& io, const LoadPlan& plan, std::size_t index, Clock::time_point start, LoadResult& result)
        : m_plan(plan)
        , m_index(index)
        , m_start(start)
        , m_end(start + std::chrono::duration_cast<Clock::duration>(plan.duration))
        , m_socket(io)
        , m_timer(io)
        , m_result(result)
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<bool> exchange();
    // Returns when the n-th request of this connection is due. The requests of all connections are spread evenly in
    // time.
    Clock::time_point dueAt(std::size_t n) const;

    const LoadPlan& m_plan;
    std::size_t m_index;
    Clock::time_point m_start;
    Clock::time_point m_end;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    LoadResult& m_result;
};

Clock::time_point LoadConnection::dueAt(std::size_t n) const
{
    const double seconds = static_cast<double>(n * m_plan.connections + m_index) / m_plan.rate;
    return m_start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

asio::awaitable<bool> LoadConnection::exchange()
{
    boost::system::error_code ec;
    if (!m_socket.is_open()) {
        m_buffer.clear();
        std::tie(ec) = co_await m_socket.async_connect(toEndpoint(m_plan.address), useTuple);
        if (ec)
            co_return false;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    }
    const auto text = requestText(m_plan.target, m_plan.deadlineMs);
    std::size_t n = 0;
    std::tie(ec, n) = co_await asio::async_write(m_socket, asio::buffer(text), useTuple);
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (!ec)
        std::tie(ec, n) = co_await http::async_read(m_socket, m_buffer, parser, useTuple);
    const bool succeeded = !ec && parser.get().result_int() == 200;
    if (ec || !parser.keep_alive())
        m_socket.close(ec);
    co_return succeeded;
}

asio::awaitable<void> LoadConnection::run()
{
    for (std::size_t n = 0; Clock::now() < m_end; ++n) {
        auto due = Clock::now();
        if (m_plan.rate > 0) {
            due = dueAt(n);
            if (due >= m_end)
                co_return;
            m_timer.expires_at(due);
            co_await m_timer.async_wait(useTuple);
        }
        if (co_await exchange())
            m_result.latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - due));
        else
            ++m_result.failures;
    }
}

} // namespace

void LoadResult::add(const LoadResult& other)
{
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    failures += other.failures;
    elapsed += other.elapsed;
}

std::chrono::microseconds LoadResult::percentile(double share) const
{
    if (latencies.empty())
        return {};
    auto sorted = latencies;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    auto it = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), it, sorted.end());
    return *it;
}

double LoadResult::rate() const
{
    return elapsed.count() > 0 ? static_cast<double>(latencies.size()) / elapsed.count() : 0;
}

LoadResult runLoad(const LoadPlan& plan)
{
    asio::io_context io { 1 };
    LoadResult result;
    std::vector<std::unique_ptr<LoadConnection>> loadConnections;
    const auto start = Clock::now();
    for (std::size_t n = 0; n < plan.connections; ++n) {
        loadConnections.push_back(std::make_unique<LoadConnection>(io, plan, n, start, result));
        asio::co_spawn(io, loadConnections.back()->run(), asio::detached);
    }
    io.run();
    result.elapsed = Clock::now() - start;
    return result;
}

class PersistentConnections::Impl {
public:
    asio::io_context io;
    std::vector<asio::ip::tcp::socket> sockets;
};

PersistentConnections::PersistentConnections(const LoadPlan& plan)
    : m_impl(std::make_unique<Impl>())
{
    for (std::size_t n = 0; n < plan.connections; ++n)
        m_impl->sockets.emplace_back(m_impl->io).connect(toEndpoint(plan.address));
}

PersistentConnections::~PersistentConnections() = default;

void PersistentConnections::requestOnEach(const std::string& target)
{
    for (auto& socket : m_impl->sockets) {
        asio::write(socket, asio::buffer(requestText(target)));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
    }
}

void PersistentConnections::startOnEach(const std::string& target)
{
    for (auto& socket : m_impl->sockets)
        asio::write(socket, asio::buffer(requestText(target)));
    std::array<char, 1> byte;
    for (auto& socket : m_impl->sockets)
        asio::read(socket, asio::buffer(byte));
}

} // namespace dogwoodhall
