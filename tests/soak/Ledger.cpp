#include "Ledger.h"

#include <algorithm>
#include <tuple>

namespace dogwoodhall::soak {

namespace {

// A route that a version adds is removed by the second version after it.
constexpr std::uint64_t versionsInForce = 2;
constexpr unsigned statusNotFound = 404;
constexpr double windowSeconds = 10;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

// Statuses that promise that the request has not run and never will.
bool promisesNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string since(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

} // namespace

std::size_t Ledger::served() const
{
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const auto& item) { return isSuccess(item.second.status); }));
}

std::vector<Violation> Ledger::judge() const
{
    Violations violations;
    judgeAnswers(violations);
    judgeRuns(violations);
    judgeCuts(violations);
    judgeLeaving(violations);
    judgeVersions(violations);
    judgeRetries(violations);
    judgeRecovery(violations);
    return violations;
}

void Ledger::judgeAnswers(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        if (isSuccess(call.status) && call.isWhole && !call.isOwn)
            violations.push_back({ "whole own answer", id + " got a success that no endpoint gave it" });
    }
}

void Ledger::judgeRuns(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        const auto runs = runsOf(id);
        if (call.kind == CallKind::Order && runs > 1)
            violations.push_back({ "at most once", id + " ran " + std::to_string(runs) + " times" });
        if (call.kind == CallKind::Order && runs > 0 && promisesNotRun(call.status))
            violations.push_back({ "truth of not run", id + " got " + std::to_string(call.status) + " and ran" });
    }
    for (const auto& [id, endpoints] : m_runs) {
        if (!m_calls.contains(id))
            violations.push_back({ "only what was asked", endpoints.front() + " ran unknown request " + id });
    }
}

// Planned stops, reloads and changes are no disturbances: a request that an endpoint works on is answered.
void Ledger::judgeCuts(Violations& violations) const
{
    for (const auto& [id, call] : m_calls) {
        const bool isCut = !call.isWhole && runsOf(id) > 0;
        if (isCut && isCalmAround(call))
            violations.push_back({ "planned work cuts nothing",
                id + " at daemon " + std::to_string(call.daemon) + " ended without a whole answer after "
                    + since(call.endedAt - call.sentAt) });
    }
}

void Ledger::judgeLeaving(Violations& violations) const
{
    for (const auto& [id, endpoints] : m_runs) {
        const auto call = m_calls.find(id);
        for (const auto& endpoint : endpoints) {
            const auto left = m_left.find(endpoint);
            if (left == m_left.end() || call == m_calls.end())
                continue;
            if (call->second.sentAt > knownBy(left->second, m_limits.drain, call->second))
                violations.push_back({ "leaving endpoints",
                    id + " ran at " + endpoint + " " + since(call->second.sentAt - left->second) + " after it left" });
        }
    }
}

void Ledger::judgeVersions(Violations& violations) const
{
    // First sight of each version by each run of a daemon.
    std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, TimePoint> seen;
    const auto keyOf
        = [](const CallRecord& call) { return std::make_tuple(call.daemon, call.lifetime, *call.version); };
    for (const auto& [id, call] : m_calls) {
        if (!call.version || !isSuccess(call.status))
            continue;
        const auto [it, isNew] = seen.emplace(keyOf(call), call.endedAt);
        it->second = std::min(it->second, call.endedAt);
    }
    for (const auto& [id, call] : m_calls) {
        const auto added = call.version ? m_published.find(*call.version) : m_published.end();
        if (added == m_published.end())
            continue;
        const auto removed = m_published.find(*call.version + versionsInForce);
        const bool isRemoved = removed != m_published.end() && call.endedAt >= removed->second;
        if (call.status == statusNotFound && !isRemoved) {
            const auto first = seen.find(keyOf(call));
            if (call.sentAt > knownBy(added->second, m_limits.configuration, call))
                violations.push_back({ "newest version in force",
                    id + " did not find the route of version " + std::to_string(*call.version) + " "
                        + since(call.sentAt - added->second) + " after it was published" });
            else if (first != seen.end() && call.sentAt > first->second + m_limits.rollbackSlack)
                violations.push_back({ "never back to an older version",
                    id + " lost the route of version " + std::to_string(*call.version) });
        }
        const bool isLate = isSuccess(call.status) && removed != m_published.end()
            && call.sentAt > knownBy(removed->second, m_limits.configuration, call);
        if (isLate)
            violations.push_back({ "newest version in force",
                id + " used the removed route of version " + std::to_string(*call.version) });
    }
}

void Ledger::judgeRetries(Violations& violations) const
{
    if (m_calls.empty())
        return;
    std::size_t repeats = 0;
    for (const auto& [id, endpoints] : m_runs)
        repeats += endpoints.size() - 1;
    const auto bySending = [](const auto& a, const auto& b) { return a.second.sentAt < b.second.sentAt; };
    const auto [first, last] = std::minmax_element(m_calls.begin(), m_calls.end(), bySending);
    const double windows = 1 + toSeconds(last->second.sentAt - first->second.sentAt) / windowSeconds;
    const double allowed = m_limits.retryRatio * static_cast<double>(m_calls.size()) + m_limits.retrySlack * windows;
    if (static_cast<double>(repeats) > allowed)
        violations.push_back({ "retry budget",
            std::to_string(repeats) + " repeats of " + std::to_string(m_calls.size()) + " requests" });
}

void Ledger::judgeRecovery(Violations& violations) const
{
    if (!m_calmFrom)
        return;
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const auto& [id, call] : m_calls) {
        if (call.version || call.sentAt < *m_calmFrom + m_limits.calmBefore)
            continue;
        ++asked;
        served += isSuccess(call.status) ? 1 : 0;
    }
    if (static_cast<double>(served) < m_limits.recoveredShare * static_cast<double>(asked))
        violations.push_back(
            { "recovery", std::to_string(served) + " of " + std::to_string(asked) + " served after the last fault" });
}

std::size_t Ledger::runsOf(const std::string& id) const
{
    const auto runs = m_runs.find(id);
    return runs == m_runs.end() ? 0 : runs->second.size();
}

TimePoint Ledger::knownBy(TimePoint newsAt, Duration bound, const CallRecord& call) const
{
    TimePoint known = newsAt + bound;
    for (const auto& disturbance : m_disturbances) {
        const bool concernsIt = !disturbance.daemon || *disturbance.daemon == call.daemon;
        if (concernsIt && disturbance.from <= call.sentAt && disturbance.to >= newsAt)
            known = std::max(known, std::min(disturbance.to, call.sentAt) + m_limits.calmBefore);
    }
    return known;
}

bool Ledger::isCalmAround(const CallRecord& call) const
{
    return std::none_of(m_disturbances.begin(), m_disturbances.end(), [&](const Disturbance& it) {
        const bool concernsIt = !it.isOfStore && (!it.daemon || *it.daemon == call.daemon);
        return concernsIt && it.from <= call.endedAt && it.to >= call.sentAt - m_limits.calmBefore;
    });
}

} // namespace dogwoodhall::soak
