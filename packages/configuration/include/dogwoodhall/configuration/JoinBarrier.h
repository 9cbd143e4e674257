#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dogwoodhall {

// What an answer of the platform proves.
enum class PlatformTrust : std::uint8_t {
    MayBeStale,
    Linearizable, // It holds all that any member has read before.
};

// Decides when a member that has just started may serve. The platform may be stale, so the member first asks peers for
// their highest revision and catches up with the highest that it was told.
//
// Trade-off: where too few listed peers answer for 10 s and the platform has answered, the member serves what the
// platform gave it, which may be older than what peers that it cannot reach hold. The alternative, to wait for a peer,
// would keep a whole data centre from starting after a power failure. The member still never goes below what it has
// itself held, and takes the higher revision from the first peer that it hears. A member that served before a pause
// serves again what it held where nobody answers for 10 s, as one that was not paused does while the platform is down.
// Where the platform is linearizable, its answer alone suffices, and while it is silent that of any peer.
class JoinBarrier {
public:
    // Answers that are asked for. Peers hold the highest revision within seconds of one another, so that a few stand
    // for all. Only peers that are ready do: those that have just started may hold no more than a stale platform gave
    // them. Where too few are ready, all listed peers are asked, for at most silenceLimit.
    static constexpr std::size_t requiredAnswers = 3;
    static constexpr Duration silenceLimit = std::chrono::seconds(10);

    explicit JoinBarrier(TimePoint startedAt, PlatformTrust trust = PlatformTrust::MayBeStale)
        : m_startedAt(startedAt)
        , m_trust(trust)
    {
    }

    // The entry hosts that the host list names, without this one.
    void setListedPeers(std::size_t count) { m_listedPeers = count; }
    void peerAnswered(const MemberId&, Revision highest, bool isPeerReady);
    // The platform was read to its end; `highest` is its own.
    void platformAnswered(Revision highest);
    // The process was paused: what was learnt before is asked for again.
    void expire(TimePoint now);

    // True where a member that holds `held` may serve. Once ready, a member stays ready until expire().
    bool isReady(Revision held, TimePoint now);
    // The revision to reach, as far as it is known.
    Revision target() const { return m_target; }

private:
    TimePoint m_startedAt;
    PlatformTrust m_trust;
    std::optional<std::size_t> m_listedPeers; // Empty until a host list was read.
    std::map<MemberId, bool> m_answers; // Whether the peer was ready when it last answered.
    bool m_hasPlatform = false;
    bool m_hasServed = false; // Was ready before a pause.
    Revision m_target;
    bool m_isReady = false;
};

} // namespace dogwoodhall
