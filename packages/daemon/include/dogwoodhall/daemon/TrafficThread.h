#pragma once

#include "dogwoodhall/daemon/RequestRunner.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <unordered_map>

namespace dogwoodhall {

// One traffic thread: its event loop, caller connections, requests, upstream connections and share of the pools.
// start(), post() and join() are for other threads; everything else runs on this one.
class TrafficThread {
public:
    struct Options {
        std::uint32_t index = 0;
        DataCentreId dataCentre;
        NetworkAddress callerAddress;
        CallerLimits callerLimits;
        UpstreamLimits upstreamLimits;
        std::uint64_t seed = 0;
        PostToShard postToShard;
    };

    explicit TrafficThread(Options);
    ~TrafficThread();

    // Binds the caller port; gives the address bound, with the kernel's choice where the port was 0.
    NetworkAddress listen();
    void start();
    void join();

    void post(std::function<void(TrafficThread&)>);
    void apply(SnapshotPointer);

    // Stops accepting, ends idle connections, and calls `done` when the last request has been answered.
    void drain(std::function<void()> done);
    // Cuts off what is in flight.
    void stop();

    PoolShard& shard() { return m_shard; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(ConnectionId);
    void checkDrained();

    Options m_options;
    asio::io_context m_io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::ip::tcp::acceptor m_acceptor;
    PoolShard m_shard;
    SlotGateway m_slots;
    UpstreamClient m_upstreams;
    RequestRunner m_runner;
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    std::function<void()> m_drained;
    std::thread m_thread;
};

} // namespace dogwoodhall
