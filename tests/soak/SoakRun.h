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
    ScenarioLimits limits;
};

struct SoakReport {
    std::size_t calls = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> faults; // Injected, by kind.
    std::vector<Violation> violations;
};

// One run: starts the processes, injects the faults of the seed's scenario while clients send, and judges what callers
// and endpoints saw. Ends only processes that it started.
class SoakRun {
public:
    explicit SoakRun(SoakOptions);
    ~SoakRun();

    SoakReport run();

private:
    // Something to do at a time: the begin of a fault, its end, or a look whether a process has ended.
    using Task = std::function<void()>;
    struct Resources {
        std::size_t kilobytes = 0;
        std::size_t descriptors = 0;
        std::size_t threads = 0;
    };

    void begin(const Fault&);
    void beginDaemonFault(const Fault&);
    void beginEndpointFault(const Fault&);
    void beginStoreFault(const Fault&);
    void replaceEndpoint(const Fault&);
    void awaitStop(std::size_t daemon, TimePoint since);
    void restartDaemon(std::size_t daemon);
    // To be called before the fault strikes: what it cuts must not look as if it was cut before.
    void disturb(std::optional<std::size_t> daemon, bool isOfStore, Duration duration);
    void at(TimePoint when, Task task) { m_tasks.emplace(when, std::move(task)); }
    void performTasksUntil(TimePoint end);
    void onLoop(const std::function<void()>&); // Runs it on the loop's thread and waits for its end.
    void stopClients();
    void judgeResources();
    static Resources resourcesOf(const Process&);

    SoakOptions m_options;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    SoakCluster m_cluster;
    Ledger m_ledger;
    Clients m_clients;
    std::multimap<TimePoint, Task> m_tasks;
    std::set<std::size_t> m_busyDaemons; // Being stopped, paused or started.
    std::set<std::size_t> m_busyEndpoints;
    SoakReport m_report;
};

} // namespace dogwoodhall::soak
