#pragma once

#include "Clients.h"
#include "Scenario.h"
#include "SoakCluster.h"

#include <boost/asio/executor_work_guard.hpp>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace dogwoodhall::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    std::string selection = "all";
    std::size_t clients = 24;
    std::size_t maxPauseMs = defaultMaxPauseMs;
    ScenarioLimits limits;
};

struct SoakReport {
    std::size_t calls = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> faults; // Number of injected faults by kind.
    std::vector<Violation> violations;
};

// One run: starts the processes, injects the faults of the seed's scenario while clients send requests, and checks the
// observations of clients and endpoints. Signals only processes that it started.
class SoakRun {
public:
    explicit SoakRun(SoakOptions);
    ~SoakRun();

    SoakReport run();

private:
    // A scheduled action: the start or the end of a fault, or a check whether a process has exited.
    using Task = std::function<void()>;
    struct ResourceUsage {
        std::size_t kilobytes = 0;
        std::size_t descriptors = 0;
        std::size_t threads = 0;
    };

    void injectFault(const Fault&);
    void injectDaemonFault(const Fault&);
    void injectEndpointFault(const Fault&);
    void injectStoreFault(const Fault&);
    void changeRouting();
    void copyStore(const Fault&);
    void restoreStore(const Fault&);
    void replaceEndpoint(const Fault&);
    void evacuate(const Fault&);
    void injectFleetFault(const Fault&);
    void killManyDaemons(const Fault&);
    void starveDaemons(const Fault&);
    void refuseDaemons(const Fault&);
    void turnAwayDaemons(const Fault&);
    void faultManyEndpoints(const Fault&);
    std::vector<std::size_t> thirdOfDaemons(const Fault&) const;
    void setStoreLinks(const std::vector<std::size_t>& daemons, LinkFault);
    // Stops the daemon's process, or lets it go on, by turns until `end`.
    void starve(std::size_t daemon, bool runs, TimePoint end);
    void pollForExit(std::size_t daemon, TimePoint since);
    void restartDaemon(std::size_t daemon);
    // Must be called before the fault is injected, so that the window contains all requests that it interrupts.
    void recordFaultWindow(
        std::optional<std::size_t> daemon, bool isStoreFault, Duration duration, bool delaysChanges = true);
    void scheduleAt(TimePoint when, Task task) { m_tasks.emplace(when, std::move(task)); }
    void runTasksUntil(TimePoint end);
    void runOnEventLoop(const std::function<void()>&); // Waits until the function has run on the event loop's thread.
    void stopClients();
    void checkResources();
    static ResourceUsage resourceUsageOf(const Process&);

    SoakOptions m_options;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_eventLoopThread;
    SoakCluster m_cluster;
    Ledger m_ledger;
    Clients m_clients;
    std::multimap<TimePoint, Task> m_tasks;
    std::set<std::size_t> m_busyDaemons; // Being stopped, paused or restarted.
    std::set<std::size_t> m_busyEndpoints;
    bool m_isRestoring = false; // From the copy of the store until all has been written again.
    bool m_isEvacuating = false; // One data centre at a time, so that the other serves.
    SoakReport m_report;
};

} // namespace dogwoodhall::soak
