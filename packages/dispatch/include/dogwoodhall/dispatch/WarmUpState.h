#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <string_view>

namespace dogwoodhall {

enum class WarmUpSource : std::uint8_t {
    Entry, // The endpoint's entry in the registry, of unknown age.
    HealthAnswer,
};

// "entry" or "health-answer", for the log.
std::string_view toString(WarmUpSource);

// Until when one run of an endpoint is cold, from what it states. The newest statement decides; a statement that may
// be older than the one in force can extend the warm-up, but not shorten it.
class WarmUpState {
public:
    // Call when an entry is seen for the first time. `left` is the warm-up left when it was written.
    void stateByEntry(Duration left, TimePoint seenAt);
    // `askedAt` is when the health call was sent. An answer to an earlier call than the last one has no effect.
    void stateByHealthAnswer(Duration left, TimePoint askedAt, TimePoint answeredAt);

    bool isCold(TimePoint now) const { return now < m_coldUntil; }
    TimePoint coldUntil() const { return m_coldUntil; }
    // Of the statement in force.
    WarmUpSource source() const { return m_source; }

private:
    TimePoint m_coldUntil;
    WarmUpSource m_source = WarmUpSource::Entry;
    TimePoint m_entrySeenAt;
    TimePoint m_askedAt; // When the last health call that stated a warm-up was sent.
};

} // namespace dogwoodhall
