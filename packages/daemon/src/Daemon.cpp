#include "dogwoodhall/daemon/Daemon.h"

#include "dogwoodhall/daemon/Log.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <iostream>
#include <random>

namespace dogwoodhall {

namespace {

constexpr int forcedStopStatus = 3;

} // namespace

Daemon::Daemon(const Settings& settings)
    : m_settings(settings)
    , m_control(settings,
          { [this](SnapshotPointer snapshot) {
               for (auto& thread : m_traffic)
                   thread->post([snapshot](TrafficThread& target) { target.apply(snapshot); });
           },
              [this] { beginDrain(); }, [this] { stopNow(); } })
    , m_signals(m_control.io(), SIGTERM, SIGINT)
{
}

int Daemon::run()
{
    startTraffic();
    const auto admin = m_control.listen();
    std::cout << "listening caller=" << toString(m_settings.callerAddress) << " admin=" << toString(admin) << std::endl;
    waitForSignal();
    m_control.run();
    for (auto& thread : m_traffic) {
        thread->stop();
        thread->join();
    }
    return m_exitStatus;
}

void Daemon::startTraffic()
{
    std::random_device entropy;
    for (std::uint32_t n = 0; n < m_settings.trafficThreads; ++n) {
        TrafficThread::Options options;
        options.index = n;
        options.dataCentre = m_settings.dataCentre;
        options.callerAddress = m_settings.callerAddress;
        options.callerLimits.headerBytes = m_settings.maxHeaderBytes;
        options.callerLimits.bodyBytes = m_settings.maxBodyBytes;
        options.callerLimits.headerTimeout = m_settings.slowSenderTimeout;
        options.seed = entropy();
        options.postToShard = [this](const PoolId& pool, std::function<void(PoolShard&)> task) {
            auto& owner = *m_traffic[std::hash<PoolId> {}(pool) % m_traffic.size()];
            owner.post([task = std::move(task)](TrafficThread& thread) { task(thread.shard()); });
        };
        m_traffic.push_back(std::make_unique<TrafficThread>(std::move(options)));
        m_settings.callerAddress = m_traffic.back()->listen();
    }
    for (auto& thread : m_traffic)
        thread->start();
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        if (m_isDraining)
            DOGWOODHALL_LOG(daemon, warning) << "Still draining; waiting for the requests in flight.";
        beginDrain();
        waitForSignal();
    });
}

void Daemon::beginDrain()
{
    if (std::exchange(m_isDraining, true))
        return;
    DOGWOODHALL_LOG(daemon, info) << "Draining.";
    m_control.setDraining();
    for (auto& thread : m_traffic) {
        thread->post([this](TrafficThread& target) {
            target.drain([this] { asio::post(m_control.io(), [this] { threadDrained(); }); });
        });
    }
}

void Daemon::threadDrained()
{
    if (++m_drainedThreads < m_traffic.size())
        return;
    DOGWOODHALL_LOG(daemon, info) << "Drained.";
    m_control.stop();
}

void Daemon::stopNow()
{
    DOGWOODHALL_LOG(daemon, warning) << "Forced stop; requests in flight are cut off.";
    m_exitStatus = forcedStopStatus;
    m_control.stop();
}

} // namespace dogwoodhall
