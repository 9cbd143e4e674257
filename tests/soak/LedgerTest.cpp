#include "Ledger.h"

#include "TableRows.h"

#include <string>

using namespace dogwoodhall;
using namespace dogwoodhall::soak;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

CallRecord successfulCall(CallKind kind, Duration at)
{
    CallRecord call;
    call.kind = kind;
    call.incarnation = 1;
    call.sentAt = start + at;
    call.endedAt = call.sentAt + 50ms;
    call.status = 200;
    call.isComplete = true;
    call.matchesRequest = true;
    return call;
}

// A run in which every guarantee holds: orders, lookups, two published versions and a draining endpoint.
void addCompliantRun(Ledger& ledger)
{
    for (int n = 0; n < 20; ++n) {
        const auto id = "healthy-" + std::to_string(n);
        ledger.add(id, successfulCall(n % 2 == 0 ? CallKind::Order : CallKind::Lookup, n * 1s));
        ledger.addExecution(id, "i-1");
    }
    ledger.addPublishedVersion(5, start + 1s);
    ledger.addPublishedVersion(7, start + 30s);
    ledger.addDrainingEndpoint("i-2", start + 2s);
    ledger.addEndpoint("i-1", "dc0");
    ledger.addEndpoint("i-4", "dc1");
    ledger.addEvacuation({ "dc1", start + 1s, start + 9s });
    ledger.setAllowedDataCentre("dc0");
    ledger.setFaultsEndedAt(start + 10s);
}

void addCallAt(Ledger& ledger, const char* endpoint, Duration at, bool isRestricted = false)
{
    auto call = successfulCall(CallKind::Lookup, at);
    call.isRestricted = isRestricted;
    ledger.add("a", call);
    ledger.addExecution("a", endpoint);
}

CallRecord versionedCall(unsigned status, Duration at)
{
    auto call = successfulCall(CallKind::Lookup, at);
    call.version = 5;
    call.status = status;
    return call;
}

} // namespace

struct LedgerRow {
    const char* name;
    void (*modify)(Ledger&);
    const char* rule; // The only rule that is violated; empty: none.
};

const LedgerRow ledgerRows[] = {
    { "no violation", [](Ledger&) {}, "" },
    { "response to another request",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 3s);
            call.matchesRequest = false;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
        },
        "whole own answer" },
    { "order executed twice",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Order, 3s));
            ledger.addExecution("a", "i-1");
            ledger.addExecution("a", "i-3");
        },
        "at most once" },
    { "executed order answered 503",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Order, 3s);
            call.status = 503;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
        },
        "truth of not run" },
    { "executed order answered 502",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Order, 3s);
            call.status = 502;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
        },
        "" },
    { "404 for a permanent route",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 3s);
            call.status = 404;
            ledger.add("a", call);
        },
        "no proper request denied" },
    { "413 beside a fault",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Order, 8s);
            call.status = 413;
            ledger.add("a", call);
            ledger.addFaultWindow({ start + 7s, start + 9s, std::nullopt, false });
        },
        "no proper request denied" },
    { "400 for the route of a version", [](Ledger& ledger) { ledger.add("a", versionedCall(400, 10s)); },
        "no proper request denied" },
    { "404 for a version that has just been published", [](Ledger& ledger) { ledger.add("a", versionedCall(404, 2s)); },
        "" },
    { "408, 429 and 503",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 3s);
            for (const unsigned status : { 408U, 429U, 503U }) {
                call.status = status;
                ledger.add(std::to_string(status), call);
            }
        },
        "" },
    { "execution of a request that no client sent", [](Ledger& ledger) { ledger.addExecution("unknown", "i-1"); },
        "only what was asked" },
    { "interrupted response outside fault windows",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 8s);
            call.isComplete = false;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
        },
        "planned work cuts nothing" },
    { "interrupted response during a store fault",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 8s);
            call.isComplete = false;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
            ledger.addFaultWindow({ start + 7s, start + 9s, std::nullopt, true });
        },
        "planned work cuts nothing" },
    { "interrupted response during the kill of another daemon",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 8s);
            call.isComplete = false;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
            ledger.addFaultWindow({ start + 7s, start + 9s, 1, false });
        },
        "planned work cuts nothing" },
    { "interrupted response during the kill of its daemon",
        [](Ledger& ledger) {
            auto call = successfulCall(CallKind::Lookup, 8s);
            call.isComplete = false;
            ledger.add("a", call);
            ledger.addExecution("a", "i-1");
            ledger.addFaultWindow({ start + 7s, start + 9s, 0, false });
        },
        "" },
    { "execution at a draining endpoint",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Lookup, 6s));
            ledger.addExecution("a", "i-2");
        },
        "leaving endpoints" },
    { "execution at a draining endpoint during a store fault",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Lookup, 6s));
            ledger.addExecution("a", "i-2");
            ledger.addFaultWindow({ start + 1s, start + 7s, std::nullopt, true });
        },
        "" },
    { "execution in an evacuated data centre", [](Ledger& ledger) { addCallAt(ledger, "i-4", 6001ms); },
        "evacuated data centres" },
    { "execution in an evacuated data centre within the bound", [](Ledger& ledger) { addCallAt(ledger, "i-4", 6s); },
        "" },
    { "execution after the end of an evacuation", [](Ledger& ledger) { addCallAt(ledger, "i-4", 8960ms); }, "" },
    { "execution in another data centre", [](Ledger& ledger) { addCallAt(ledger, "i-1", 7s); }, "" },
    { "execution in an evacuated data centre during a store fault",
        [](Ledger& ledger) {
            addCallAt(ledger, "i-4", 7s);
            ledger.addFaultWindow({ start + 1s, start + 8s, std::nullopt, true });
        },
        "" },
    { "cold endpoint over its bound", [](Ledger& ledger) { ledger.addColdPeak("i-1", 15); }, "cold endpoints" },
    { "cold endpoint at its bound", [](Ledger& ledger) { ledger.addColdPeak("i-1", 14); }, "" },
    { "execution outside the allowed regions", [](Ledger& ledger) { addCallAt(ledger, "i-4", 3s, true); },
        "allowed regions" },
    { "execution in an allowed region", [](Ledger& ledger) { addCallAt(ledger, "i-1", 3s, true); }, "" },
    { "404 for a new route after the propagation bound",
        [](Ledger& ledger) { ledger.add("a", versionedCall(404, 5s)); }, "newest version in force" },
    { "404 for a new route within the propagation bound",
        [](Ledger& ledger) { ledger.add("a", versionedCall(404, 2s)); }, "" },
    { "404 for a new route after a success",
        [](Ledger& ledger) {
            ledger.add("a", versionedCall(200, 2s));
            ledger.addExecution("a", "i-1");
            ledger.add("b", versionedCall(404, 3s));
        },
        "never back to an older version" },
    { "success on a removed route",
        [](Ledger& ledger) {
            ledger.add("a", versionedCall(200, 40s));
            ledger.addExecution("a", "i-1");
        },
        "newest version in force" },
    { "retries above the budget",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Lookup, 3s));
            for (int n = 0; n < 100; ++n)
                ledger.addExecution("a", "i-1");
        },
        "retry budget" },
    { "repeats that arrive in one window",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Lookup, 3s));
            for (int n = 0; n < 30; ++n)
                ledger.addArrival("a", start + 3s + n * 100ms);
        },
        "retry budget" },
    { "as many repeats in two windows",
        [](Ledger& ledger) {
            ledger.add("a", successfulCall(CallKind::Lookup, 3s));
            for (int n = 0; n < 30; ++n)
                ledger.addArrival("a", start + 3s + n * 800ms);
        },
        "" },
    { "refusals after the recovery time",
        [](Ledger& ledger) {
            for (int n = 0; n < 20; ++n) {
                auto call = successfulCall(CallKind::Lookup, 15s);
                call.status = 503;
                ledger.add("late-" + std::to_string(n), call);
            }
        },
        "recovery" },
};

// Guards against checks that pass whatever happens: each row adds one violation, which must be the only one reported,
// or a permitted case, which must not be reported.
ParameterizedTestParameters(Ledger, reportsExactlyTheViolatedRule) { return rowIndices(ledgerRows); }

ParameterizedTest(std::size_t* index, Ledger, reportsExactlyTheViolatedRule)
{
    const auto& row = ledgerRows[*index];
    Ledger ledger;
    addCompliantRun(ledger);
    row.modify(ledger);
    const auto violations = ledger.findViolations();
    const std::string expected = row.rule;
    if (expected.empty()) {
        cr_assert(violations.empty(), "%s: found \"%s: %s\"", row.name,
            violations.empty() ? "" : violations[0].rule.c_str(),
            violations.empty() ? "" : violations[0].detail.c_str());
        return;
    }
    cr_assert_eq(violations.size(), 1, "%s: %zu violations found", row.name, violations.size());
    cr_assert(violations[0].rule == expected, "%s: found \"%s\"", row.name, violations[0].rule.c_str());
}
