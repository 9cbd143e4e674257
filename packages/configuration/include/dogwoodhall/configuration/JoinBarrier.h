#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dogwoodhall {

// Consistency of the platform's answers.
enum class PlatformConsistency : std::uint8_t {
    MayBeStale,
    Linearizable, // An answer contains everything that any member has read before.
};

// Decides when a member that has just started may serve. The platform may be stale, so the member first asks peers for
// their highest revision and catches up with the highest one reported.
//
// Trade-off: if too few listed peers answer within 10 s and the platform has answered, the member serves the platform's
// records, which may be older than those of peers that it cannot reach. The alternative, waiting for a peer, would
// prevent a whole data centre from starting after a power failure. The member still never goes below a revision that it
// has held itself, and takes a higher revision from the first peer that answers. A member that served before a pause
// serves the records that it held again if no answer arrives within 10 s, as a member that was not paused does while
// the platform is down. If the platform is linearizable, its answer alone suffices, or that of any peer while the
// platform does not answer.
class JoinBarrier {
public:
    // Number of answers required. Peers receive the highest revision within seconds of each other, so a few represent
    // all. Only ready peers count: those that have just started may hold only the records of a stale platform. If too
    // few are ready, answers of all listed peers are required, for at most silenceLimit.
    static constexpr std::size_t requiredAnswers = 3;
    static constexpr Duration silenceLimit = std::chrono::seconds(10);

    explicit JoinBarrier(TimePoint startedAt, PlatformConsistency consistency = PlatformConsistency::MayBeStale)
        : m_startedAt(startedAt)
        , m_consistency(consistency)
    {
    }

    // Number of entry hosts in the host list, this one not included.
    void setListedPeers(std::size_t count) { m_listedPeers = count; }
    void peerAnswered(const MemberId&, Revision highest, bool isPeerReady, TimePoint askedAt);
    // The platform has been read completely; `highest` is its revision.
    void platformAnswered(Revision highest);
    // The process was paused: all answers are required again.
    void expire(TimePoint now);

    // Whether a member that holds `held` may serve. Once ready, a member stays ready until expire().
    bool isReady(Revision held, TimePoint now);
    // Whether a member may deny requests that knows so many running peers, where seeds count as one until they answer.
    // A store that has come back from an older copy confirms older records, and only peers know better: ready ones must
    // have answered what they were asked since this member was ready, for at most silenceLimit.
    bool mayDeny(std::size_t knownPeers, TimePoint now) const;
    // The revision to catch up with, as far as known.
    Revision target() const { return m_target; }

private:
    TimePoint m_startedAt;
    PlatformConsistency m_consistency;
    std::optional<std::size_t> m_listedPeers; // Empty until a host list has been read.
    std::map<MemberId, bool> m_answers; // Whether the peer was ready when it last answered.
    bool m_hasPlatformAnswer = false;
    bool m_hasServed = false; // Was ready before a pause.
    Revision m_target;
    bool m_isReady = false;
    TimePoint m_readyAt;
    std::set<MemberId> m_answeredSinceReady; // Ready peers, at most requiredAnswers.
};

} // namespace dogwoodhall
