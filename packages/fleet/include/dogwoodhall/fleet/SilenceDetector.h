#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>

namespace dogwoodhall {

struct SilenceLimits {
    // Quiet time after which a PING asks whether the peer lives. Also the longest gap between two events of a
    // connection with a waiting stream that is not taken for a pause of this process.
    Duration pingAfter = std::chrono::milliseconds(25);
    // Quiet time after the PING until the peer is suspected. With the time before it 100 ms: noisy neighbours stop a
    // process for tens of milliseconds, and requests have deadlines of 250 ms.
    Duration suspectAfter = std::chrono::milliseconds(75);
    // The owner calls tick() this often. Adds at most this much to the time until the suspicion.
    Duration tickPeriod = std::chrono::milliseconds(5);
};

// Send a PING and call pingSent(). Where it cannot be paid for, nothing is sent, and the next tick asks again.
struct SendSilencePing {
    bool isRepeated; // An earlier tick has asked already, in the same silence.
};
// The peer does not answer: use another one where that does no harm.
struct SuspectPeer { };
// The suspicion has ended.
struct TrustPeer { };
using SilenceAction = std::variant<SendSilencePing, SuspectPeer, TrustPeer>;

// Judges from one connection whether the peer has stopped. Only time during which a stream waits for its answer counts
// as silence, and no time in which this process was paused itself. A suspicion lasts until the next byte.
class SilenceDetector {
public:
    explicit SilenceDetector(SilenceLimits limits = {})
        : m_limits(limits)
    {
    }

    void waitStarted(TimePoint now); // A stream waits for its answer from now on.
    void waitEnded(TimePoint now);
    std::optional<SilenceAction> bytesArrived(TimePoint now);
    // While a stream waits, at least once in each SilenceLimits::tickPeriod.
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
    Duration m_quiet {}; // Since the last byte or, where one was sent, the PING.
    bool m_hasAsked = false;
    bool m_hasPinged = false;
    bool m_isSuspected = false;
};

} // namespace dogwoodhall
