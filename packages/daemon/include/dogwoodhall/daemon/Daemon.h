#pragma once

#include "dogwoodhall/daemon/PlatformAdapter.h"
#include "dogwoodhall/daemon/control/ControlThread.h"
#include "dogwoodhall/daemon/traffic/TrafficThread.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall {

// One entry host's process: a control thread and its traffic threads.
class Daemon {
public:
    // `settingsPath` is read again at SIGHUP.
    Daemon(const Settings&, PlatformAdapter, std::string settingsPath);

    // Serves until a graceful or forced stop has ended. Gives the process's exit status.
    int run();

private:
    void startTraffic();
    TrafficThread::Options trafficOptions(std::uint32_t index);
    void waitForSignal();
    void waitForReload();
    void reload();
    asio::awaitable<void> writeEvents();
    void armForcedEnd();
    void logLifecycle(EventLine);
    void beginDrain();
    void threadDrained();
    void stopNow();
    void shareLoads(std::vector<PoolLoadSummary>);
    void observeLoads(const std::vector<PoolLoadSummary>&);
    void reportHealth(const ProbeTarget&, const HealthReport&);
    std::size_t requestsRunning() const;

    Settings m_settings; // With the addresses as bound.
    const Settings m_settingsAtStart;
    PlatformAdapter m_adapter;
    std::string m_settingsPath;
    EventLog m_events;
    Incarnation m_incarnation;
    MetricsRegistry m_registry;
    DaemonMetrics m_metrics;
    ControlThread m_control;
    asio::signal_set m_signals;
    asio::signal_set m_reloads;
    asio::steady_timer m_forcedEnd; // Where the settings state when the process is killed.
    std::unique_ptr<SharedTicketLedger> m_ticketLedger; // Its ledger belongs to the first traffic thread.
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    bool m_isDraining = false;
    std::size_t m_drainedThreads = 0;
    int m_exitStatus = 0;
};

} // namespace dogwoodhall
