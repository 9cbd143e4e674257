#include "TableRows.h"

#include "dogwoodhall/configuration/ConfigurationLease.h"

#include <vector>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
constexpr Fraction half { 0.5 };
constexpr Duration never = TimePoint() - start;

struct Evidence {
    enum class Kind { Confirmed, Unreachable, Answered } kind;
    Duration at; // Since the start.
};
constexpr auto confirmed = Evidence::Kind::Confirmed;
constexpr auto unreachable = Evidence::Kind::Unreachable;
constexpr auto answered = Evidence::Kind::Answered; // Without a confirmation.

struct LeaseRow {
    const char* name;
    std::optional<Duration> maxAge;
    std::vector<Evidence> evidence;
    std::optional<Duration> validUntil; // Since the start; empty: no limit.
    std::optional<Duration> mayDenyUntil; // Likewise.
    std::optional<Duration> needsConfirmationAt; // By a read, since the start; empty: never.
    std::optional<Duration> isDueAt; // From peers; empty: never.
};

const LeaseRow rows[] = {
    { "confirmed once", 3s, { { confirmed, 1s } }, 4s, 4s, 2500ms, 2500ms },
    { "confirmed again", 3s, { { confirmed, 1s }, { confirmed, 2s } }, 5s, 5s, 3500ms, 3500ms },
    { "an older confirmation arrives later", 3s, { { confirmed, 2s }, { confirmed, 1s } }, 5s, 5s, 3500ms, 3500ms },
    { "store unreachable", 3s, { { confirmed, 1s }, { unreachable, 2s } }, std::nullopt, 4s, std::nullopt, 2500ms },
    { "store unreachable from the start", 3s, { { unreachable, 2s } }, std::nullopt, never, std::nullopt, 0ms },
    { "a peer reads the store that this member cannot", 3s, { { unreachable, 2s }, { confirmed, 3s } }, 6s, 6s, 4500ms,
        4500ms },
    { "a read that failed after a later confirmation", 3s, { { confirmed, 3s }, { unreachable, 2s } }, 6s, 6s, 4500ms,
        4500ms },
    { "the store answers again", 3s, { { confirmed, 1s }, { unreachable, 2s }, { confirmed, 8s } }, 11s, 11s, 9500ms,
        9500ms },
    { "the store answers again, with a part", 3s, { { confirmed, 1s }, { unreachable, 2s }, { answered, 3s } }, 4s, 4s,
        2500ms, 2500ms },
    { "unreachable after an answer", 3s, { { confirmed, 1s }, { answered, 2s }, { unreachable, 3s } }, std::nullopt, 4s,
        std::nullopt, 2500ms },
    { "no limit", std::nullopt, { { confirmed, 1s } }, std::nullopt, std::nullopt, std::nullopt, std::nullopt },
};

} // namespace

// Guards against members that decide by records of unknown age while the store answers, against members that refuse
// requests while it does not, against one that asks no peer because the store refuses it alone, and against one that
// denies requests by old records.
ParameterizedTestParameters(ConfigurationLease, lastsFromTheLastConfirmation) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ConfigurationLease, lastsFromTheLastConfirmation)
{
    const auto& row = rows[*index];
    ConfigurationLease lease(row.maxAge);
    for (const auto& [kind, at] : row.evidence) {
        if (kind == confirmed)
            lease.confirm(start + at);
        else if (kind == answered)
            lease.storeAnswered(Era(), start + at);
        else
            lease.storeUnreachable(start + at);
    }
    const auto expected = row.validUntil ? start + *row.validUntil : TimePoint::max();
    cr_expect(lease.term().validUntil == expected, "%s: valid until %f s", row.name,
        toSeconds(lease.term().validUntil - start));
    const auto denies = row.mayDenyUntil ? start + *row.mayDenyUntil : TimePoint::max();
    cr_expect(lease.term().mayDenyUntil == denies, "%s: denies until %f s", row.name,
        toSeconds(lease.term().mayDenyUntil - start));
    const TimePoint due = start + row.needsConfirmationAt.value_or(1h);
    cr_expect_eq(lease.needsConfirmation(half, due), row.needsConfirmationAt.has_value(), "%s", row.name);
    cr_expect_not(lease.needsConfirmation(half, due - 1ms), "%s", row.name);
    const TimePoint askedAt = start + row.isDueAt.value_or(1h);
    cr_expect_eq(lease.isDue(half, askedAt), row.isDueAt.has_value(), "%s", row.name);
    if (lease.isConfirmed())
        cr_expect_not(lease.isDue(half, askedAt - 1ms), "%s", row.name);
}

// Guards against a 404 by routes that the member knows not to be the newest. Known routes are served.
Test(ConfigurationLease, deniesNothingByOldRoutes)
{
    ConfigurationLease lease(3s);
    lease.confirm(start);
    lease.setMayDeny(false);
    cr_expect(lease.term().validUntil == start + 3s);
    cr_expect(lease.term().mayDenyUntil == TimePoint());
    lease.setMayDeny(true);
    cr_expect(lease.term().mayDenyUntil == start + 3s);
}

// Guards against a member that decides before its records were ever confirmed.
Test(ConfigurationLease, isInvalidBeforeTheFirstConfirmation)
{
    const ConfigurationLease lease(3s);
    cr_expect(lease.term().validUntil == TimePoint());
    cr_expect(lease.needsConfirmation(half, start));
}
