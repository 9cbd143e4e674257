#include "TableRows.h"

#include "dogwoodhall/configuration/LapsedEndpoints.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

std::shared_ptr<const EndpointRegistration> endpoint(bool isLeaving = false)
{
    EndpointRegistration registration;
    registration.id = EndpointId("e");
    registration.isLeaving = isLeaving;
    return std::make_shared<const EndpointRegistration>(registration);
}

} // namespace

struct LapseRow {
    const char* name;
    bool wasAway; // The registry could not be read before.
    Duration removedAfter; // Its return.
    bool isLeaving;
    bool isBack; // It registers again after a second.
    bool isKept;
    bool isKeptLater; // 1.5 s after the return.
};

const LapseRow rows[] = {
    { "removed while the registry could be read", false, 0s, false, false, false, false },
    { "lapsed while the registry was away", true, 0s, false, false, true, true },
    { "had announced to leave", true, 0s, true, false, false, false },
    { "removed long after the return", true, 3s, false, false, false, false },
    { "registered again", true, 0s, false, true, true, false },
};

// Guards against losing all endpoints when leases run out in an outage, and against keeping those that are gone.
ParameterizedTestParameters(LapsedEndpoints, keepsForTheGrace) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, LapsedEndpoints, keepsForTheGrace)
{
    const auto& row = rows[*index];
    LapsedEndpoints lapsed(2s);
    if (row.wasAway)
        lapsed.registryLost();
    lapsed.registryReturned(start);
    const TimePoint removedAt = start + row.removedAfter;
    cr_expect_eq(lapsed.removed(endpoint(row.isLeaving), removedAt), row.isKept, "%s", row.name);
    cr_expect_eq(lapsed.kept(removedAt).size(), row.isKept ? 1 : 0, "%s", row.name);
    if (row.isBack)
        lapsed.registered(EndpointId("e"));
    cr_expect_eq(lapsed.kept(start + 1500ms).size(), row.isKeptLater ? 1 : 0, "%s", row.name);
    cr_expect_eq(lapsed.nextChange().has_value(), row.isKeptLater, "%s", row.name);
    cr_expect(lapsed.kept(start + 2s).empty(), "%s: kept for good", row.name);
}
