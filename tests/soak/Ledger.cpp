#include "Ledger.h"

#include <algorithm>
#include <tuple>

namespace dogwoodhall::soak {

namespace {

// A route added by version n is removed by version n + 2.
constexpr std::uint64_t versionsPerRoute = 2;
constexpr unsigned statusNotFound = 404;
constexpr double retryWindowSeconds = 10;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

// Statuses that guarantee that the request has not been and will not be executed.
bool guaranteesNotExecuted(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string toMillisecondText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

} // namespace

bool isDenial(unsigned status) { return status >= 300 && status < 500 && !guaranteesNotExecuted(status); }

std::size_t Ledger::served() const
{
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const auto& item) { return isSuccess(item.second.status); }));
}

std::vector<Violation> Ledger::findViolations() const
{
    Violations violations;
    checkResponses(violations);
    checkExecutions(violations);
    checkDeniedRequests(violations);
    checkInterruptedRequests(violations);
    checkDrainingEndpoints(violations);
    checkEvacuations(violations);
    checkAllowedRegions(violations);
    checkColdEndpoints(violations);
    checkRoutingVersions(violations);
    checkRetryBudget(violations);
    checkRetryWindows(violations);
    checkRecovery(violations);
    return violations;
}

void Ledger::checkResponses(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        if (isSuccess(call.status) && call.isComplete && !call.matchesRequest)
            violations.push_back({ "whole own answer", id + " got a success response that no endpoint sent for it" });
    }
}

void Ledger::checkExecutions(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        const auto executions = executionCount(id);
        if (call.kind == CallKind::Order && executions > 1)
            violations.push_back({ "at most once", id + " was executed " + std::to_string(executions) + " times" });
        if (call.kind == CallKind::Order && executions > 0 && guaranteesNotExecuted(call.status))
            violations.push_back(
                { "truth of not run", id + " got " + std::to_string(call.status) + " but was executed" });
    }
    for (const auto& [id, endpoints] : m_executions) {
        if (!m_calls.contains(id))
            violations.push_back({ "only what was asked", endpoints.front() + " executed unknown request " + id });
    }
}

// Every request of the clients is proper. Only the routes of versions come and go; checkRoutingVersions() judges the
// 404 of their requests. No fault excuses the others: each version has their routes, and a daemon that knows none must
// say that it is not ready.
void Ledger::checkDeniedRequests(Violations& violations) const
{
    const auto first = std::min_element(
        m_calls.begin(), m_calls.end(), [](const auto& a, const auto& b) { return a.second.sentAt < b.second.sentAt; });
    for (const auto& [id, call] : m_calls) {
        const bool isMissingRoute = call.version && call.status == statusNotFound;
        if (isDenial(call.status) && !isMissingRoute)
            violations.push_back({ "no proper request denied",
                id + " got " + std::to_string(call.status) + " at daemon " + std::to_string(call.daemon) + ", start "
                    + std::to_string(call.incarnation) + ", " + toMillisecondText(call.sentAt - first->second.sentAt)
                    + " after the first request: \"" + call.denial + "\"" });
    }
}

// Planned stops, reloads and configuration changes open no fault window: a request that reached an endpoint must still
// get a complete response.
void Ledger::checkInterruptedRequests(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        const bool isInterrupted = !call.isComplete && executionCount(id) > 0;
        if (isInterrupted && isOutsideFaultWindows(call))
            violations.push_back({ "planned work cuts nothing",
                id + " at daemon " + std::to_string(call.daemon) + " ended without a complete response after "
                    + toMillisecondText(call.endedAt - call.sentAt) });
    }
}

void Ledger::checkDrainingEndpoints(Violations& violations) const
{
    for (const auto& [id, endpoints] : m_executions) {
        const auto call = m_calls.find(id);
        for (const auto& endpoint : endpoints) {
            const auto drainStartedAt = m_drainStartedAt.find(endpoint);
            if (drainStartedAt == m_drainStartedAt.end() || call == m_calls.end())
                continue;
            if (call->second.sentAt > propagationDeadline(drainStartedAt->second, m_limits.maxDrainDelay, call->second))
                violations.push_back({ "leaving endpoints",
                    id + " was executed by " + endpoint + " although sent "
                        + toMillisecondText(call->second.sentAt - drainStartedAt->second)
                        + " after the endpoint started draining" });
        }
    }
}

void Ledger::checkEvacuations(Violations& violations) const
{
    for (const auto& [id, endpoints] : m_executions) {
        const auto call = m_calls.find(id);
        for (const auto& endpoint : endpoints) {
            const auto dataCentre = m_dataCentres.find(endpoint);
            if (call == m_calls.end() || dataCentre == m_dataCentres.end())
                continue;
            for (const auto& evacuation : m_evacuations) {
                const bool isDuring = evacuation.dataCentre == dataCentre->second
                    && call->second.sentAt >= evacuation.begin && call->second.endedAt <= evacuation.end;
                if (isDuring
                    && call->second.sentAt
                        > propagationDeadline(evacuation.begin, m_limits.maxEvacuationDelay, call->second))
                    violations.push_back({ "evacuated data centres",
                        id + " was executed by " + endpoint + " although sent "
                            + toMillisecondText(call->second.sentAt - evacuation.begin) + " after the evacuation" });
            }
        }
    }
}

void Ledger::checkAllowedRegions(Violations& violations) const
{
    for (const auto& [id, endpoints] : m_executions) {
        const auto call = m_calls.find(id);
        for (const auto& endpoint : endpoints) {
            const auto dataCentre = m_dataCentres.find(endpoint);
            const bool isOutside = dataCentre != m_dataCentres.end() && dataCentre->second != m_allowedDataCentre;
            if (call != m_calls.end() && call->second.isRestricted && isOutside)
                violations.push_back(
                    { "allowed regions", id + " was executed by " + endpoint + " outside its regions" });
        }
    }
}

void Ledger::checkColdEndpoints(Violations& violations) const
{
    for (const auto& [endpoint, requests] : m_coldPeaks) {
        if (requests > m_limits.maxColdRequestsPerSecond)
            violations.push_back(
                { "cold endpoints", endpoint + " got " + std::to_string(requests) + " requests in a second" });
    }
}

void Ledger::checkRoutingVersions(Violations& violations) const
{
    // Time of the first success on each version's route, by daemon process.
    std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, TimePoint> firstSuccess;
    const auto keyOf
        = [](const CallRecord& call) { return std::make_tuple(call.daemon, call.incarnation, *call.version); };
    for (const auto& [id, call] : m_calls) {
        if (!call.version || !isSuccess(call.status))
            continue;
        const auto [it, isInserted] = firstSuccess.emplace(keyOf(call), call.endedAt);
        it->second = std::min(it->second, call.endedAt);
    }
    for (const auto& [id, call] : m_calls) {
        const auto addedAt = call.version ? m_publishedAt.find(*call.version) : m_publishedAt.end();
        if (addedAt == m_publishedAt.end())
            continue;
        const auto removedAt = m_publishedAt.find(*call.version + versionsPerRoute);
        const bool isRemoved = removedAt != m_publishedAt.end() && call.endedAt >= removedAt->second;
        if (call.status == statusNotFound && !isRemoved) {
            const auto first = firstSuccess.find(keyOf(call));
            if (call.sentAt > propagationDeadline(addedAt->second, m_limits.maxConfigurationDelay, call))
                violations.push_back({ "newest version in force",
                    id + " got 404 for the route added by version " + std::to_string(*call.version) + ", "
                        + toMillisecondText(call.sentAt - addedAt->second) + " after its publication" });
            else if (first != firstSuccess.end() && call.sentAt > first->second + m_limits.reorderingTolerance)
                violations.push_back({ "never back to an older version",
                    id + " got 404 after an earlier success for the route added by version "
                        + std::to_string(*call.version) });
        }
        const bool isLate = isSuccess(call.status) && removedAt != m_publishedAt.end()
            && call.sentAt > propagationDeadline(removedAt->second, m_limits.maxConfigurationDelay, call);
        if (isLate)
            violations.push_back({ "newest version in force",
                id + " was served by the removed route of version " + std::to_string(*call.version) });
    }
}

void Ledger::checkRetryBudget(Violations& violations) const
{
    if (m_calls.empty())
        return;
    std::size_t repeatedExecutions = 0;
    for (const auto& [id, endpoints] : m_executions)
        repeatedExecutions += endpoints.size() - 1;
    const auto bySending = [](const auto& a, const auto& b) { return a.second.sentAt < b.second.sentAt; };
    const auto [first, last] = std::minmax_element(m_calls.begin(), m_calls.end(), bySending);
    const double windows = 1 + toSeconds(last->second.sentAt - first->second.sentAt) / retryWindowSeconds;
    const double allowed
        = m_limits.maxRetryRatio * static_cast<double>(m_calls.size()) + m_limits.retryBurstPerWindow * windows;
    if (static_cast<double>(repeatedExecutions) > allowed)
        violations.push_back({ "retry budget",
            std::to_string(repeatedExecutions) + " repeated executions for " + std::to_string(m_calls.size())
                + " requests" });
}

// Repeats count when they arrive, requests when clients sent them. The rule takes the most requests of the window, the
// one before it and the one between.
void Ledger::checkRetryWindows(Violations& violations) const
{
    std::vector<TimePoint> sent;
    for (const auto& [id, call] : m_calls)
        sent.push_back(call.sentAt);
    std::vector<TimePoint> repeats;
    for (const auto& [id, arrivals] : m_arrivals) {
        auto times = arrivals;
        std::sort(times.begin(), times.end());
        repeats.insert(repeats.end(), times.begin() + 1, times.end());
    }
    std::sort(sent.begin(), sent.end());
    std::sort(repeats.begin(), repeats.end());
    const auto countUntil = [&](const std::vector<TimePoint>& times, TimePoint end) {
        const auto first = std::upper_bound(times.begin(), times.end(), end - m_limits.retryWindow);
        return static_cast<double>(std::upper_bound(first, times.end(), end) - first);
    };
    std::optional<Violation> worst;
    double worstExcess = 0;
    for (const auto end : repeats) {
        const double requests = std::max({ countUntil(sent, end), countUntil(sent, end - m_limits.retryWindow / 2),
            countUntil(sent, end - m_limits.retryWindow) });
        const double allowed = m_limits.maxRetryRatio * requests + m_limits.retryBurstPerWindow;
        const double count = countUntil(repeats, end);
        if (count - allowed <= worstExcess)
            continue;
        worstExcess = count - allowed;
        worst = Violation { "retry budget",
            std::to_string(count) + " repeats arrived in a window with " + std::to_string(requests)
                + " requests, allowed " + std::to_string(allowed) + ", at "
                + std::to_string(toSeconds(end - sent.front())) + " s" };
    }
    if (worst)
        violations.push_back(*worst);
}

void Ledger::checkRecovery(Violations& violations) const
{
    if (!m_faultsEndedAt)
        return;
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& [id, call] : m_calls) {
        if (call.version || call.sentAt < *m_faultsEndedAt + m_limits.recoveryTime)
            continue;
        ++sent;
        served += isSuccess(call.status) ? 1 : 0;
    }
    if (static_cast<double>(served) < m_limits.minRecoveredShare * static_cast<double>(sent))
        violations.push_back({ "recovery",
            std::to_string(served) + " of " + std::to_string(sent) + " requests served after the recovery time" });
}

std::size_t Ledger::executionCount(const std::string& id) const
{
    const auto executions = m_executions.find(id);
    return executions == m_executions.end() ? 0 : executions->second.size();
}

TimePoint Ledger::propagationDeadline(TimePoint changedAt, Duration bound, const CallRecord& call) const
{
    TimePoint deadline = changedAt + bound;
    for (const auto& window : m_faultWindows) {
        const bool applies = window.delaysChanges && (!window.daemon || *window.daemon == call.daemon);
        if (applies && window.begin <= call.sentAt && window.end >= changedAt)
            deadline = std::max(deadline, std::min(window.end, call.sentAt) + m_limits.recoveryTime);
    }
    return deadline;
}

bool Ledger::isOutsideFaultWindows(const CallRecord& call) const
{
    return std::none_of(m_faultWindows.begin(), m_faultWindows.end(), [&](const FaultWindow& it) {
        const bool applies = !it.isStoreFault && (!it.daemon || *it.daemon == call.daemon);
        return applies && it.begin <= call.endedAt && it.end >= call.sentAt - m_limits.recoveryTime;
    });
}

} // namespace dogwoodhall::soak
