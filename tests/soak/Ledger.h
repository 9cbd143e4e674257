#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

enum class CallKind { Lookup, Order }; // Lookups are idempotent, orders are not.

// One request of a client, from its sending to its end.
struct CallRecord {
    CallKind kind = CallKind::Lookup;
    std::size_t daemon = 0;
    std::uint64_t lifetime = 0; // Of the daemon's process.
    std::optional<std::uint64_t> version; // That added its route; empty for a route of all versions.
    TimePoint sentAt;
    TimePoint endedAt;
    unsigned status = 0; // 0: no answer.
    bool isWhole = false; // The answer did not break off.
    bool isOwn = false; // Signature and body are those of an endpoint's answer to this request.
};

// A span in which something unplanned was done to the system.
struct Disturbance {
    TimePoint from;
    TimePoint to;
    std::optional<std::size_t> daemon; // The only one that it concerns; empty where it may concern all.
    bool isOfStore = false; // It delays news, and excuses no request that is cut.
};

struct Violation {
    std::string rule;
    std::string detail;
};

// The bounds that the promises name; those of docs/platform.md, with a margin for a busy test machine.
struct LedgerLimits {
    Duration drain = std::chrono::seconds(3); // 2 s, and 1 s for a busy machine.
    Duration configuration = std::chrono::seconds(3); // 2 s, and the same.
    Duration calmBefore = std::chrono::seconds(4); // A promise holds again 3 s after a disturbance; the same.
    Duration rollbackSlack = std::chrono::milliseconds(500); // 250 ms, and requests that overtake one another.
    double retryRatio = 0.2;
    double retrySlack = 20; // In each window of 10 s.
    double recoveredShare = 0.9;
};

// What callers and endpoints have seen, and the promises that it is judged by.
class Ledger {
public:
    explicit Ledger(LedgerLimits limits = {})
        : m_limits(limits)
    {
    }

    void add(const std::string& id, const CallRecord& call) { m_calls[id] = call; }
    void ran(const std::string& id, const std::string& endpoint) { m_runs[id].push_back(endpoint); }
    void disturbed(const Disturbance& disturbance) { m_disturbances.push_back(disturbance); }
    void endpointLeft(const std::string& endpoint, TimePoint at) { m_left.emplace(endpoint, at); }
    void published(std::uint64_t version, TimePoint at) { m_published.emplace(version, at); }
    // From then on nothing is done to the system.
    void calmFrom(TimePoint at) { m_calmFrom = at; }

    std::size_t calls() const { return m_calls.size(); }
    std::size_t served() const;
    std::vector<Violation> judge() const;

private:
    using Violations = std::vector<Violation>;

    void judgeAnswers(Violations&) const;
    void judgeRuns(Violations&) const;
    void judgeCuts(Violations&) const;
    void judgeLeaving(Violations&) const;
    void judgeVersions(Violations&) const;
    void judgeRetries(Violations&) const;
    void judgeRecovery(Violations&) const;
    std::size_t runsOf(const std::string& id) const;
    // When news that was there before the call was sent must be known to its daemon.
    TimePoint knownBy(TimePoint newsAt, Duration bound, const CallRecord&) const;
    bool isCalmAround(const CallRecord&) const;

    LedgerLimits m_limits;
    std::map<std::string, CallRecord> m_calls; // By id.
    std::map<std::string, std::vector<std::string>> m_runs; // Endpoints that ran a request, by its id.
    std::vector<Disturbance> m_disturbances;
    std::map<std::string, TimePoint> m_left; // By endpoint.
    std::map<std::uint64_t, TimePoint> m_published; // By version.
    std::optional<TimePoint> m_calmFrom;
};

} // namespace dogwoodhall::soak
