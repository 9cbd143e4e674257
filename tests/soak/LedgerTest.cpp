#include "Ledger.h"

#include "TableRows.h"

#include <string>

using namespace dogwoodhall;
using namespace dogwoodhall::soak;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1000s };

CallRecord served(CallKind kind, Duration at)
{
    CallRecord call;
    call.kind = kind;
    call.lifetime = 1;
    call.sentAt = start + at;
    call.endedAt = call.sentAt + 50ms;
    call.status = 200;
    call.isWhole = true;
    call.isOwn = true;
    return call;
}

// A run in which every promise holds: an order, a lookup, and two versions.
void addHealthy(Ledger& ledger)
{
    for (int n = 0; n < 20; ++n) {
        const auto id = "healthy-" + std::to_string(n);
        ledger.add(id, served(n % 2 == 0 ? CallKind::Order : CallKind::Lookup, n * 1s));
        ledger.ran(id, "i-1");
    }
    ledger.published(5, start + 1s);
    ledger.published(7, start + 30s);
    ledger.endpointLeft("i-2", start + 2s);
    ledger.calmFrom(start + 10s);
}

CallRecord versioned(unsigned status, Duration at)
{
    auto call = served(CallKind::Lookup, at);
    call.version = 5;
    call.status = status;
    return call;
}

} // namespace

struct LedgerRow {
    const char* name;
    void (*tamper)(Ledger&);
    const char* rule; // That is found broken; empty: none.
};

const LedgerRow ledgerRows[] = {
    { "healthy", [](Ledger&) {}, "" },
    { "success of another request",
        [](Ledger& ledger) {
            auto call = served(CallKind::Lookup, 3s);
            call.isOwn = false;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
        },
        "whole own answer" },
    { "order run twice",
        [](Ledger& ledger) {
            ledger.add("a", served(CallKind::Order, 3s));
            ledger.ran("a", "i-1");
            ledger.ran("a", "i-3");
        },
        "at most once" },
    { "refused order that ran",
        [](Ledger& ledger) {
            auto call = served(CallKind::Order, 3s);
            call.status = 503;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
        },
        "truth of not run" },
    { "failed order that ran",
        [](Ledger& ledger) {
            auto call = served(CallKind::Order, 3s);
            call.status = 502;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
        },
        "" },
    { "request that no client sent", [](Ledger& ledger) { ledger.ran("smuggled", "i-1"); }, "only what was asked" },
    { "answer that breaks off in calm",
        [](Ledger& ledger) {
            auto call = served(CallKind::Lookup, 8s);
            call.isWhole = false;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
        },
        "planned work cuts nothing" },
    { "answer that breaks off while the daemon's store is away",
        [](Ledger& ledger) {
            auto call = served(CallKind::Lookup, 8s);
            call.isWhole = false;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
            ledger.disturbed({ start + 7s, start + 9s, std::nullopt, true });
        },
        "planned work cuts nothing" },
    { "answer that breaks off as another daemon is killed",
        [](Ledger& ledger) {
            auto call = served(CallKind::Lookup, 8s);
            call.isWhole = false;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
            ledger.disturbed({ start + 7s, start + 9s, 1, false });
        },
        "planned work cuts nothing" },
    { "answer that breaks off as its daemon is killed",
        [](Ledger& ledger) {
            auto call = served(CallKind::Lookup, 8s);
            call.isWhole = false;
            ledger.add("a", call);
            ledger.ran("a", "i-1");
            ledger.disturbed({ start + 7s, start + 9s, 0, false });
        },
        "" },
    { "work at an endpoint that has left",
        [](Ledger& ledger) {
            ledger.add("a", served(CallKind::Lookup, 6s));
            ledger.ran("a", "i-2");
        },
        "leaving endpoints" },
    { "work at an endpoint that has left while the store is away",
        [](Ledger& ledger) {
            ledger.add("a", served(CallKind::Lookup, 6s));
            ledger.ran("a", "i-2");
            ledger.disturbed({ start + 1s, start + 7s, std::nullopt, true });
        },
        "" },
    { "route not found too long", [](Ledger& ledger) { ledger.add("a", versioned(404, 5s)); },
        "newest version in force" },
    { "route not found yet", [](Ledger& ledger) { ledger.add("a", versioned(404, 2s)); }, "" },
    { "route lost again",
        [](Ledger& ledger) {
            ledger.add("a", versioned(200, 2s));
            ledger.ran("a", "i-1");
            ledger.add("b", versioned(404, 3s));
        },
        "never back to an older version" },
    { "removed route used",
        [](Ledger& ledger) {
            ledger.add("a", versioned(200, 40s));
            ledger.ran("a", "i-1");
        },
        "newest version in force" },
    { "lookups repeated without bound",
        [](Ledger& ledger) {
            ledger.add("a", served(CallKind::Lookup, 3s));
            for (int n = 0; n < 100; ++n)
                ledger.ran("a", "i-1");
        },
        "retry budget" },
    { "refused after the last fault",
        [](Ledger& ledger) {
            for (int n = 0; n < 20; ++n) {
                auto call = served(CallKind::Lookup, 15s);
                call.status = 503;
                ledger.add("late-" + std::to_string(n), call);
            }
        },
        "recovery" },
};

// Guards against a soak that passes whatever happens: each promise is broken on purpose and must be found broken, and
// what is allowed must not be.
ParameterizedTestParameters(Ledger, findsWhatIsBroken) { return rowIndices(ledgerRows); }

ParameterizedTest(std::size_t* index, Ledger, findsWhatIsBroken)
{
    const auto& row = ledgerRows[*index];
    Ledger ledger;
    addHealthy(ledger);
    row.tamper(ledger);
    const auto violations = ledger.judge();
    const std::string expected = row.rule;
    if (expected.empty()) {
        cr_assert(violations.empty(), "%s: found \"%s: %s\"", row.name,
            violations.empty() ? "" : violations[0].rule.c_str(),
            violations.empty() ? "" : violations[0].detail.c_str());
        return;
    }
    cr_assert_eq(violations.size(), 1, "%s: %zu found", row.name, violations.size());
    cr_assert(violations[0].rule == expected, "%s: found \"%s\"", row.name, violations[0].rule.c_str());
}
