#include "dogwoodhall/budget/PublicationPacer.h"

#include "TableRows.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;
using enum PublicationReason;

namespace {

TimePoint at(std::chrono::microseconds time) { return TimePoint(100s + time); }

// Totals of a pacer's publications.
struct Totals {
    Duration spent {};
    Duration longestWait {}; // Longest time that a change waited.
    unsigned publications = 0;
};

// Drives one pacer in virtual time, in which a publication takes no time.
class Run {
public:
    explicit Run(Duration cost)
        : m_cost(cost)
    {
    }

    void note(PublicationReason reason, TimePoint now)
    {
        runTimerUntil(now);
        m_pendingSince = m_pendingSince.value_or(now);
        perform(m_pacer.changeOccurred(reason, now), now);
    }

    void runTimerUntil(TimePoint now)
    {
        while (m_timer && *m_timer <= now) {
            const TimePoint due = *m_timer;
            m_timer.reset();
            perform(m_pacer.timerDue(due), due);
        }
    }

    const Totals& totals() const { return m_totals; }
    TimePoint lastAt() const { return m_lastAt; }

private:
    void perform(const std::optional<PublicationAction>& action, TimePoint now)
    {
        if (!action)
            return;
        if (const auto* timer = std::get_if<ArmPublicationTimer>(&*action)) {
            cr_assert_gt(timer->at, now);
            m_timer = timer->at;
            return;
        }
        m_totals.spent += m_cost;
        m_totals.longestWait = std::max(m_totals.longestWait, now - m_pendingSince.value_or(now));
        ++m_totals.publications;
        m_lastAt = now;
        m_pendingSince.reset();
        m_timer.reset();
        perform(m_pacer.published(m_cost, now), now);
    }

    Duration m_cost;
    PublicationPacer m_pacer;
    std::optional<TimePoint> m_timer;
    std::optional<TimePoint> m_pendingSince; // Time of the first pending change.
    TimePoint m_lastAt;
    Totals m_totals;
};

} // namespace

struct PaceRow {
    const char* guardsAgainst;
    std::chrono::microseconds cost;
    PublicationReason second; // 10 ms after a change of members, which is published at once.
    std::chrono::microseconds publishedAt;
};

const PaceRow paces[] = {
    { "a delay although publications cost little", 70us, Records, 10ms },
    { "members published beyond the share", 14ms, Members, 2000ms },
    { "records published beyond the share", 14ms, Records, 2000ms },
    { "an upstream that gets work while the share is exceeded", 14ms, LeavingUpstreams, 1010ms },
    { "readiness that waits", 14ms, Readiness, 10ms },
    { "a record that takes effect late on a slow machine", 1000ms, Records, 5010ms },
    { "homes that stay wrong on a slow machine", 1000ms, Members, 5010ms },
    { "an upstream that gets work on a slow machine", 1000ms, LeavingUpstreams, 1010ms },
};

ParameterizedTestParameters(PublicationPacer, paces) { return rowIndices(paces); }

ParameterizedTest(std::size_t* index, PublicationPacer, paces)
{
    const PaceRow& row = paces[*index];
    Run run(row.cost);
    run.note(Members, at(0us));
    cr_assert_eq(run.lastAt(), at(0us), "guards against a first change that waits");
    run.note(row.second, at(10ms));
    run.runTimerUntil(at(60s));
    cr_assert_eq(run.lastAt(), at(row.publishedAt), "guards against %s", row.guardsAgainst);
    cr_assert_eq(run.totals().publications, 2U);
}

struct LoadRow {
    const char* name;
    std::chrono::microseconds cost;
    std::chrono::milliseconds membersEvery;
    std::chrono::milliseconds recordsEvery;
    std::chrono::milliseconds upstreamsEvery; // The host list's period; 0: none leaves.
    bool isWithinShare;
};

const LoadRow loads[] = {
    { "small fleet", 300us, 3ms, 1400ms, 1000ms, true },
    { "mass restart at the design size", 14ms, 1ms, 1400ms, 0ms, true },
    { "the same, with upstreams that leave at each read of the host list", 14ms, 1ms, 1400ms, 6000ms, true },
    { "machine half as fast", 28ms, 1ms, 1400ms, 0ms, true },
    { "largest cost within the share", 35ms, 1ms, 1400ms, 0ms, true },
    { "machine a tenth as fast", 140ms, 1ms, 1400ms, 1000ms, false },
};

// Guards against publications that take the processor time of gossip during a mass restart, and against changes that
// wait beyond their limits because of it.
ParameterizedTestParameters(PublicationPacer, staysWithinItsShare) { return rowIndices(loads); }

ParameterizedTest(std::size_t* index, PublicationPacer, staysWithinItsShare)
{
    const LoadRow& row = loads[*index];
    constexpr std::chrono::milliseconds length = 120s;
    Run run(row.cost);
    for (std::chrono::milliseconds time = 0ms; time < length; time += 1ms) {
        if (row.upstreamsEvery > 0ms && time % row.upstreamsEvery == 0ms)
            run.note(LeavingUpstreams, at(time));
        if (time % row.recordsEvery == 0ms)
            run.note(Records, at(time));
        if (time % row.membersEvery == 0ms)
            run.note(Members, at(time));
    }
    const auto share = PublicationLimits {}.processorShare.value();
    // The first publication is charged afterwards.
    const bool isWithin = toSeconds(run.totals().spent) <= share * toSeconds(length) + 2 * toSeconds(row.cost);
    cr_assert_eq(isWithin, row.isWithinShare, "%s: %f s", row.name, toSeconds(run.totals().spent));
    cr_assert_leq(run.totals().longestWait, PublicationLimits {}.maxDelay, "%s", row.name);
    cr_assert_gt(run.totals().publications, 20U, "%s", row.name);
}

// Guards against a duplicate publication by a timer that fires after the change was published for another reason, and
// against immediate publications that do not defer later ones.
Test(PublicationPacer, batchesChanges)
{
    PublicationPacer pacer;
    cr_assert(pacer.changeOccurred(Records, at(0us)) == PublicationAction(PublishNow {}));
    cr_assert_not(pacer.published(14ms, at(0us)));
    cr_assert(pacer.changeOccurred(Records, at(10ms)) == PublicationAction(ArmPublicationTimer { at(2s) }));
    cr_assert(pacer.timerDue(at(1s)) == PublicationAction(ArmPublicationTimer { at(2s) }));
    cr_assert(pacer.changeOccurred(Readiness, at(1s)) == PublicationAction(PublishNow {}));
    cr_assert_not(pacer.published(14ms, at(1s)));
    cr_assert_not(pacer.timerDue(at(2s)));
    cr_assert(pacer.changeOccurred(Members, at(2s)) == PublicationAction(ArmPublicationTimer { at(4s) }));
}
