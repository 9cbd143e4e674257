#pragma once

#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"

#include <map>

namespace dogwoodhall {

// The pool homes that this traffic thread bypasses: those that failed recently and those that are suspected.
class HomeBypass {
public:
    explicit HomeBypass(TrafficServices& services)
        : m_services(services)
    {
    }

    bool contains(const PoolHome&) const;
    // Bypasses the home for a while and notifies the control thread.
    void add(const MemberId&);
    void removeExpired();

private:
    TrafficServices& m_services;
    std::map<MemberId, TimePoint> m_until;
};

} // namespace dogwoodhall
