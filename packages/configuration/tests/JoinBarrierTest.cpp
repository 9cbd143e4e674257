#include "dogwoodhall/configuration/JoinBarrier.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct JoinRow {
    const char* name;
    int listedPeers; // Below 0: no host list has been read.
    std::size_t answers;
    std::uint64_t peersHighest;
    std::uint64_t platform; // 0: did not answer.
    std::uint64_t held;
    std::chrono::milliseconds waited;
    bool isReady;
    std::size_t answersNotReady = 0; // Number of answers, the first ones, from peers that are not ready.
};

const JoinRow joins[] = {
    { "alone, with the platform", 0, 0, 0, 5, 5, 0ms, true },
    { "alone, without the platform", 0, 0, 0, 0, 0, 60000ms, false },
    { "peers and platform agree", 5, 3, 9, 9, 9, 1000ms, true },
    { "too few peers have answered", 5, 2, 9, 9, 9, 1000ms, false },
    { "both of two peers have answered", 2, 2, 9, 9, 9, 1000ms, true },
    { "three peers that are not ready", 5, 3, 9, 9, 9, 9999ms, false, 3 },
    { "a ready peer and two that are not", 5, 3, 9, 9, 9, 9999ms, false, 2 },
    { "all peers, none ready", 5, 5, 9, 9, 9, 1000ms, true, 5 },
    { "three ready peers of five", 5, 5, 9, 9, 9, 1000ms, true, 2 },
    { "peers that are not ready, for 10 s", 5, 3, 9, 9, 9, 10000ms, true, 3 },
    { "the platform is stale", 5, 3, 9, 7, 7, 60000ms, false },
    { "the platform is stale and a peer has sent the rest", 5, 3, 9, 7, 9, 1000ms, true },
    { "the platform is down and peers have sent all", 5, 3, 9, 0, 9, 1000ms, true },
    { "the platform is down and peers hold nothing", 5, 3, 0, 0, 0, 60000ms, false },
    { "all peers are silent for less than 10 s", 5, 0, 0, 9, 9, 9999ms, false },
    { "all peers are silent for 10 s", 5, 0, 0, 9, 9, 10000ms, true },
    { "all peers are silent and the platform is down", 5, 0, 0, 0, 0, 60000ms, false },
    { "the host list is unavailable", -1, 0, 0, 9, 9, 9999ms, false },
    { "the host list is unavailable for 10 s", -1, 0, 0, 9, 9, 10000ms, true },
    { "the platform's records are not all in force yet", 0, 0, 0, 9, 8, 60000ms, false },
};

// Guards against a member that serves an older configuration than its peers, and one that never starts to serve.
ParameterizedTestParameters(JoinBarrier, decidesReadiness) { return rowIndices(joins); }

ParameterizedTest(std::size_t* index, JoinBarrier, decidesReadiness)
{
    const JoinRow& row = joins[*index];
    const TimePoint start(100s);
    JoinBarrier barrier(start);
    if (row.listedPeers >= 0)
        barrier.setListedPeers(static_cast<std::size_t>(row.listedPeers));
    for (std::size_t n = 0; n < row.answers; ++n) // The last peer holds the highest revision.
        barrier.peerAnswered(MemberId(std::to_string(n)), Revision(n + 1 == row.answers ? row.peersHighest : 0),
            n >= row.answersNotReady, start);
    if (row.platform)
        barrier.platformAnswered(Revision(row.platform));
    cr_assert_eq(barrier.isReady(Revision(row.held), start + row.waited), row.isReady, "%s", row.name);
    if (!row.isReady)
        return;
    cr_assert(barrier.isReady(Revision(row.held), start + row.waited + 1h));
    barrier.expire(start + row.waited);
    cr_assert_not(barrier.isReady(Revision(row.held), start + row.waited), "%s: resumed", row.name);
    cr_assert(barrier.isReady(Revision(row.held), start + row.waited + JoinBarrier::silenceLimit), "%s: nobody answers",
        row.name);
}

struct LinearizableRow {
    const char* name;
    bool hasPlatform;
    bool hasPeer;
    std::uint64_t peerRevision;
    std::uint64_t held;
    bool isReady;
};

const LinearizableRow linearizableRows[] = {
    { "nothing read", false, false, 0, 0, false },
    { "read from the platform", true, false, 0, 5, true },
    { "the platform is unavailable, a peer answered", false, true, 5, 5, true },
    { "not caught up with the peer", false, true, 9, 5, false },
    { "the platform has no records", true, false, 0, 0, false },
};

// Guards against a member that waits for peers although the platform's answer cannot be older than theirs.
ParameterizedTestParameters(JoinBarrier, acceptsLinearizablePlatform) { return rowIndices(linearizableRows); }

ParameterizedTest(std::size_t* index, JoinBarrier, acceptsLinearizablePlatform)
{
    const auto& row = linearizableRows[*index];
    const TimePoint start(std::chrono::seconds(100));
    JoinBarrier barrier(start, PlatformConsistency::Linearizable);
    if (row.hasPlatform)
        barrier.platformAnswered(Revision());
    if (row.hasPeer)
        barrier.peerAnswered(MemberId("p"), Revision(row.peerRevision), false, start);
    cr_expect_eq(barrier.isReady(Revision(row.held), start), row.isReady, "%s", row.name);
}

struct DenialRow {
    const char* name;
    std::size_t knownPeers;
    std::size_t answers;
    std::size_t answersNotReady; // Of these, the first ones.
    std::chrono::milliseconds askedAt; // It is ready at 1 s.
    std::chrono::milliseconds waited;
    bool mayDeny;
};

const DenialRow denialRows[] = {
    { "alone", 0, 0, 0, 1s, 1s, true },
    { "no answer of a peer", 1, 0, 0, 1s, 10999ms, false },
    { "no answer for 10 s since it was ready", 1, 0, 0, 1s, 11s, true },
    { "the only peer", 1, 1, 0, 1s, 2s, true },
    { "the only peer, asked before it was ready", 1, 1, 0, 999ms, 2s, false },
    { "one of two", 2, 1, 0, 1s, 2s, false },
    { "three of many", 100, 3, 0, 1s, 2s, true },
    { "two of many", 100, 2, 0, 1s, 2s, false },
    { "three of many, one not ready", 100, 3, 1, 1s, 2s, false },
};

// Guards against a 404 by what an older copy of the store shows, on a member that has started since the copy's return:
// its read is complete, and only peers know of the lost version.
ParameterizedTestParameters(JoinBarrier, deniesNothingBeforePeersHaveAnswered) { return rowIndices(denialRows); }

ParameterizedTest(std::size_t* index, JoinBarrier, deniesNothingBeforePeersHaveAnswered)
{
    const auto& row = denialRows[*index];
    const TimePoint start(100s);
    JoinBarrier barrier(start, PlatformConsistency::Linearizable);
    barrier.platformAnswered(Revision());
    cr_assert_not(barrier.mayDeny(row.knownPeers, start), "%s: not ready", row.name);
    cr_assert(barrier.isReady(Revision(5), start + 1s));
    for (std::size_t n = 0; n < row.answers; ++n)
        barrier.peerAnswered(MemberId(std::to_string(n)), Revision(5), n >= row.answersNotReady, start + row.askedAt);
    cr_expect_eq(barrier.mayDeny(row.knownPeers, start + row.waited), row.mayDeny, "%s", row.name);
    barrier.expire(start + row.waited);
    cr_expect_not(barrier.mayDeny(row.knownPeers, start + row.waited), "%s: resumed", row.name);
}
