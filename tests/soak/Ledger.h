#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

enum class CallKind { Lookup, Order }; // Lookups are idempotent, orders are not.

// A final refusal of a request as wrong: its sender does not try again.
bool isDenial(unsigned status);

// One client request and its outcome.
struct CallRecord {
    CallKind kind = CallKind::Lookup;
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0; // Counts the starts of the daemon's process.
    bool isRestricted = false; // Its route allows only the region of one data centre.
    std::optional<std::uint64_t> version; // Routing version that added its route; empty for a permanent route.
    TimePoint sentAt;
    TimePoint endedAt;
    unsigned status = 0; // 0: no response.
    bool isComplete = false; // The response was received completely.
    bool matchesRequest = false; // Signature and body are those of an endpoint's response to this request.
    std::string denial {}; // Body of a denial, without line ends.
};

// The period of an unplanned fault. Planned changes get no window, as they must not affect requests.
struct FaultWindow {
    TimePoint begin;
    TimePoint end;
    std::optional<std::size_t> daemon; // The only daemon affected; empty if all may be affected.
    bool isStoreFault = false; // Delays changes of configuration and endpoints, but must not interrupt requests.
    bool delaysChanges = true;
};

// From the store's acknowledgement of an evacuation to the call that ended it.
struct Evacuation {
    std::string dataCentre;
    TimePoint begin;
    TimePoint end = TimePoint::max();
};

struct Violation {
    std::string rule;
    std::string detail;
};

// Bounds of the guarantees in docs/platform.md, with a margin for a busy test machine.
struct LedgerLimits {
    Duration maxDrainDelay = std::chrono::seconds(3); // Bound 2 s, margin 1 s.
    Duration maxConfigurationDelay = std::chrono::seconds(3); // Bound 2 s, margin 1 s.
    Duration maxEvacuationDelay = std::chrono::seconds(5);
    Duration recoveryTime = std::chrono::seconds(4); // Guarantees hold again 3 s after a fault; margin 1 s.
    Duration reorderingTolerance = std::chrono::milliseconds(500); // Bound 250 ms; margin for reordered requests.
    double maxRetryRatio = 0.2;
    double retryBurstPerWindow = 20; // In each window.
    Duration retryWindow = std::chrono::seconds(10);
    std::size_t maxColdRequestsPerSecond = 14; // At each cold endpoint, of all daemons together.
    double minRecoveredShare = 0.9;
};

// Records what clients and endpoints observed in a run, and checks the records against the guarantees of the system.
class Ledger {
public:
    explicit Ledger(LedgerLimits limits = {})
        : m_limits(limits)
    {
    }

    void add(const std::string& id, const CallRecord& call) { m_calls[id] = call; }
    void addExecution(const std::string& id, const std::string& endpoint) { m_executions[id].push_back(endpoint); }
    // A request, run or not, that reached an endpoint.
    void addArrival(const std::string& id, TimePoint at) { m_arrivals[id].push_back(at); }
    void addFaultWindow(const FaultWindow& window) { m_faultWindows.push_back(window); }
    void addDrainingEndpoint(const std::string& endpoint, TimePoint at) { m_drainStartedAt.emplace(endpoint, at); }
    void addPublishedVersion(std::uint64_t version, TimePoint at) { m_publishedAt.emplace(version, at); }
    void addEvacuation(const Evacuation& evacuation) { m_evacuations.push_back(evacuation); }
    void addEndpoint(const std::string& endpoint, const std::string& dataCentre)
    {
        m_dataCentres[endpoint] = dataCentre;
    }
    // The most requests that an endpoint got in any second while it was cold.
    void addColdPeak(const std::string& endpoint, std::size_t requests) { m_coldPeaks[endpoint] = requests; }
    // The only data centre in which restricted calls may be executed.
    void setAllowedDataCentre(const std::string& dataCentre) { m_allowedDataCentre = dataCentre; }
    // No fault is active from this time on.
    void setFaultsEndedAt(TimePoint at) { m_faultsEndedAt = at; }

    std::size_t calls() const { return m_calls.size(); }
    std::size_t served() const;
    std::vector<Violation> findViolations() const;

private:
    using Violations = std::vector<Violation>;

    void checkResponses(Violations&) const;
    void checkExecutions(Violations&) const;
    void checkDeniedRequests(Violations&) const;
    void checkInterruptedRequests(Violations&) const;
    void checkDrainingEndpoints(Violations&) const;
    void checkEvacuations(Violations&) const;
    void checkAllowedRegions(Violations&) const;
    void checkColdEndpoints(Violations&) const;
    void checkRoutingVersions(Violations&) const;
    void checkRetryBudget(Violations&) const;
    void checkRetryWindows(Violations&) const;
    void checkRecovery(Violations&) const;
    std::size_t executionCount(const std::string& id) const;
    // Latest time by which the call's daemon must have applied a change made at `changedAt`. Fault windows between the
    // change and the call postpone it.
    TimePoint propagationDeadline(TimePoint changedAt, Duration bound, const CallRecord&) const;
    bool isOutsideFaultWindows(const CallRecord&) const;

    LedgerLimits m_limits;
    std::map<std::string, CallRecord> m_calls; // By request id.
    std::map<std::string, std::vector<std::string>> m_executions; // Endpoints that executed a request, by request id.
    std::map<std::string, std::vector<TimePoint>> m_arrivals; // By request id.
    std::vector<FaultWindow> m_faultWindows;
    std::map<std::string, TimePoint> m_drainStartedAt; // By endpoint.
    std::vector<Evacuation> m_evacuations;
    std::map<std::string, std::string> m_dataCentres; // By endpoint.
    std::string m_allowedDataCentre;
    std::map<std::string, std::size_t> m_coldPeaks; // By endpoint.
    std::map<std::uint64_t, TimePoint> m_publishedAt; // By version.
    std::optional<TimePoint> m_faultsEndedAt;
};

} // namespace dogwoodhall::soak
