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
    bool wasUnavailable; // The registry was unavailable before.
    Duration removedAfterOutage; // The end of the outage.
    bool isLeaving;
    bool isRegisteredAgain; // The endpoint registers again after a second.
    bool isRetained;
    bool isRetainedLater; // 1.5 s after the end of the outage.
};

const LapseRow rows[] = {
    { "removed while the registry was available", false, 0s, false, false, false, false },
    { "lapsed while the registry was unavailable", true, 0s, false, false, true, true },
    { "had announced that it leaves", true, 0s, true, false, false, false },
    { "removed long after the outage", true, 3s, false, false, false, false },
    { "registered again", true, 0s, false, true, true, false },
};

// Guards against losing all endpoints when leases expire during an outage, and against retaining those that are gone.
ParameterizedTestParameters(LapsedEndpoints, retainsDuringGracePeriod) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, LapsedEndpoints, retainsDuringGracePeriod)
{
    const auto& row = rows[*index];
    LapsedEndpoints lapsed(2s);
    if (row.wasUnavailable)
        lapsed.registryLost();
    lapsed.registryReturned(start);
    const TimePoint removedAt = start + row.removedAfterOutage;
    cr_expect_eq(lapsed.removed(endpoint(row.isLeaving), removedAt), row.isRetained, "%s", row.name);
    cr_expect_eq(lapsed.retained(removedAt).size(), row.isRetained ? 1 : 0, "%s", row.name);
    if (row.isRegisteredAgain)
        lapsed.registered(EndpointId("e"));
    cr_expect_eq(lapsed.retained(start + 1500ms).size(), row.isRetainedLater ? 1 : 0, "%s", row.name);
    cr_expect_eq(lapsed.nextChange().has_value(), row.isRetainedLater, "%s", row.name);
    cr_expect(lapsed.retained(start + 2s).empty(), "%s: retained after the grace period", row.name);
}
