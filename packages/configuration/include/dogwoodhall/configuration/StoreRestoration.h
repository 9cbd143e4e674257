#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <optional>

namespace dogwoodhall {

// A store that has come back from an older copy lacks entries until their writers have written them again. Tells until
// when a missing entry proves nothing.
class StoreRestoration {
public:
    explicit StoreRestoration(Duration grace)
        : m_grace(grace)
    {
    }

    // The era of the store, as a read or a peer says. Returns whether it has risen since the first call.
    bool observe(Era, TimePoint now);
    // Whether an entry that a complete read does not contain has been deleted.
    bool provesDeletions(TimePoint now) const { return !m_settlesAt || now >= *m_settlesAt; }
    // When the writers have had the time to write again after the last restoration; empty if there was none.
    std::optional<TimePoint> settlesAt() const { return m_settlesAt; }
    // The first era observed: that of members whose build knows no eras.
    Era firstEra() const { return m_firstEra.value_or(Era()); }

private:
    Duration m_grace;
    std::optional<Era> m_firstEra;
    Era m_latestEra;
    std::optional<TimePoint> m_settlesAt;
};

} // namespace dogwoodhall
