#include "dogwoodhall/pool/ConnectionQuota.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct QuotaRow {
    const char* name;
    unsigned maxConnections;
    unsigned requests;
    std::size_t members;
    unsigned threads;
    std::size_t atHome;
    std::size_t elsewhere;
};

const QuotaRow rows[] = {
    { "15 entry hosts of 2 threads", 200, 7, 15, 2, 7, 3 },
    { "429 members of a large data centre", 200, 7, 429, 2, 7, 0 },
    { "few connections", 16, 7, 15, 2, 2, 0 },
    { "no more connections than slots", 3, 7, 15, 2, 0, 0 },
    { "a single entry host", 50, 7, 1, 1, 7, 21 },
};

// Guards against opening more connections to an endpoint than it accepts.
ParameterizedTestParameters(ConnectionQuota, respectsEndpointLimit) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ConnectionQuota, respectsEndpointLimit)
{
    const auto& row = rows[*index];
    const ConnectionQuota quota { row.maxConnections, SlotCount(row.requests), row.members, row.threads };
    cr_assert_eq(idleConnectionsAtHome(quota), row.atHome, "%s: %zu", row.name, idleConnectionsAtHome(quota));
    cr_assert_eq(idleConnectionsElsewhere(quota), row.elsewhere, "%s: %zu", row.name, idleConnectionsElsewhere(quota));
    const std::size_t idle = row.threads * (row.atHome + row.members * row.elsewhere);
    cr_assert(idle == 0 || idle + row.requests + 1 <= row.maxConnections, "%s: %zu idle", row.name, idle);
}
