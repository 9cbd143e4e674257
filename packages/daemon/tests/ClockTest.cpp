#include "TableRows.h"

#include "dogwoodhall/configuration/ConfigurationLease.h"
#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/fleet/PauseDetector.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

time_t suspendedSeconds = 0;

} // namespace

// Stands in for the one of the C library: while a machine is suspended, only CLOCK_MONOTONIC stands still.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock != CLOCK_MONOTONIC)
        time->tv_sec += suspendedSeconds;
    return result;
}

struct SuspensionRow {
    const char* name;
    Duration suspended;
    bool isPause;
    bool isLeaseValid; // The lease lasts for 2 s and is confirmed just before.
};

const SuspensionRow suspensionRows[] = {
    { "not suspended", 0s, false, true },
    { "shorter than a lease", 1s, false, true },
    { "longer than a lease", 3s, true, false },
    { "a minute", 60s, true, false },
};

// Guards against a member that decides by an old configuration, and tells its peers that it is new, because its machine
// was suspended and its clock did not count that time.
ParameterizedTestParameters(Clock, countsSuspension) { return rowIndices(suspensionRows); }

ParameterizedTest(std::size_t* index, Clock, countsSuspension)
{
    const auto& row = suspensionRows[*index];
    constexpr Duration pauseThreshold = 2s;
    PauseDetector pauses(pauseThreshold);
    ConfigurationLease lease(2s);
    const TimePoint before = monotonicNow();
    pauses.observe(before);
    lease.confirm(before);
    suspendedSeconds = std::chrono::duration_cast<std::chrono::seconds>(row.suspended).count();
    const TimePoint after = monotonicNow();
    cr_expect(after - before >= row.suspended, "%s: %f s", row.name, toSeconds(after - before));
    cr_expect_eq(pauses.observe(after).has_value(), row.isPause, "%s", row.name);
    cr_expect_eq(after < lease.term().validUntil, row.isLeaseValid, "%s", row.name);
    const auto timer = toSteadyClock(after + 100ms) - std::chrono::steady_clock::now();
    cr_expect(timer <= 100ms && timer > 0ms, "%s: the timer ends in %f s", row.name, toSeconds(timer));
}
