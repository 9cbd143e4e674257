#pragma once

#include "dogwoodhall/daemon/ControlThread.h"
#include "dogwoodhall/daemon/TrafficThread.h"
#include "dogwoodhall/declarations/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <vector>

namespace dogwoodhall {

// One entry host's process: a control thread and its traffic threads.
class Daemon {
public:
    explicit Daemon(const Settings&);

    // Serves until a graceful or forced stop has ended. Gives the process's exit status.
    int run();

private:
    void startTraffic();
    TrafficThread::Options trafficOptions(std::uint32_t index);
    void waitForSignal();
    void beginDrain();
    void threadDrained();
    void stopNow();
    void shareLoads(std::vector<PoolLoadSummary>);
    void observeLoads(const std::vector<PoolLoadSummary>&);
    void reportHealth(const ProbeTarget&, const HealthReport&);
    std::size_t requestsRunning() const;

    Settings m_settings;
    Incarnation m_incarnation;
    MetricsRegistry m_registry;
    DaemonMetrics m_metrics;
    ControlThread m_control;
    asio::signal_set m_signals;
    std::unique_ptr<TicketDesk> m_ticketDesk; // Its ledger belongs to the first traffic thread.
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    bool m_isDraining = false;
    std::size_t m_drainedThreads = 0;
    int m_exitStatus = 0;
};

} // namespace dogwoodhall
