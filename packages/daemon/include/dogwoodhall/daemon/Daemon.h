#pragma once

#include "dogwoodhall/daemon/PlatformAdapter.h"
#include "dogwoodhall/daemon/control/ControlThread.h"
#include "dogwoodhall/daemon/traffic/TrafficThread.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// The process of one entry host: a control thread and several traffic threads.
class Daemon {
public:
    // `settingsPath` is reloaded on SIGHUP.
    Daemon(const Settings&, PlatformAdapter, std::string settingsPath);

    // Runs until a graceful or forced stop has completed. Returns the process's exit status.
    int run();

private:
    void startTraffic();
    TrafficThread::Options trafficOptions(std::uint32_t index);
    void waitForSignal();
    void waitForReloadSignal();
    void reload();
    asio::awaitable<void> writeEvents();
    // Returns nothing if the settings give no grace period.
    std::optional<StopSchedule> scheduleStop();
    void endRequestsAt(TimePoint);
    void threadEndedRequests();
    void forceStopAt(TimePoint);
    void logLifecycle(EventLine);
    void beginDrain();
    void threadDrained();
    void stopNow();
    void shareLoads(std::vector<PoolLoadSummary>);
    void observeLoads(const std::vector<PoolLoadSummary>&);
    void shareWithdrawal(std::uint32_t fromThread, const EndpointWithdrawal&);
    void reportHealth(const ProbeTarget&, const HealthReport&);
    std::size_t requestsRunning() const;
    // Empty if endpoints do not register themselves.
    OperatorServer::Explain explainHook();

    Settings m_settings; // Holds the bound addresses once listening.
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
    asio::steady_timer m_stopTimer; // Used if the settings give the platform's grace period.
    std::unique_ptr<SharedTicketLedger> m_ticketLedger; // Owned by the first traffic thread.
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    bool m_isDraining = false;
    std::size_t m_drainedThreads = 0;
    std::size_t m_threadsWithoutRequests = 0; // That have completed endRequests().
    int m_exitStatus = 0;
};

} // namespace dogwoodhall
