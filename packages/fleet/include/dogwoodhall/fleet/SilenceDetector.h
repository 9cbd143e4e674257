#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>

namespace dogwoodhall {

struct SilenceLimits {
    // Silence after which a PING checks whether the peer is alive. A longer gap between two events of a connection with
    // a waiting stream counts as a pause of this process.
    Duration pingAfter = std::chrono::milliseconds(25);
    // Silence after the PING until the peer is suspected. The sum of both is 100 ms: noisy neighbours pause a process
    // for tens of milliseconds, and requests have deadlines of 250 ms.
    Duration suspectAfter = std::chrono::milliseconds(75);
    // Interval at which the owner calls tick(). Delays a suspicion by at most this much.
    Duration tickPeriod = std::chrono::milliseconds(5);
};

// Send a PING and call pingSent(). If the budget does not allow a PING, nothing is sent, and the next tick returns this
// action again.
struct SendSilencePing {
    // An earlier tick returned it during the same silence. A pause of this process ends a silence, because bytes that
    // arrived meanwhile may not have been read yet.
    bool isRepeated;
};
// The peer does not answer; use another one where that is safe.
struct SuspectPeer { };
// The suspicion has ended.
struct TrustPeer { };
using SilenceAction = std::variant<SendSilencePing, SuspectPeer, TrustPeer>;

// Detects from the traffic on one connection that the peer has stopped. Only time during which a stream waits for its
// answer counts as silence, and time in which this process was paused does not. A suspicion lasts until the next byte.
class SilenceDetector {
public:
    explicit SilenceDetector(SilenceLimits limits = {})
        : m_limits(limits)
    {
    }

    void waitStarted(TimePoint now); // A stream starts to wait for its answer.
    void waitEnded(TimePoint now);
    std::optional<SilenceAction> bytesArrived(TimePoint now);
    // To be called at least once per SilenceLimits::tickPeriod while a stream waits.
    std::optional<SilenceAction> tick(TimePoint now);
    void pingSent(TimePoint now);

    bool isWaiting() const { return m_waiting > 0; }
    bool isSuspected() const { return m_isSuspected; }

private:
    void advance(TimePoint now);
    void restart();

    SilenceLimits m_limits;
    std::size_t m_waiting = 0; // Streams.
    TimePoint m_lastEvent;
    Duration m_quiet {}; // Since the last byte or, if one has been sent, the PING.
    bool m_hasRequestedPing = false;
    bool m_hasPinged = false;
    bool m_isSuspected = false;
};

} // namespace dogwoodhall
