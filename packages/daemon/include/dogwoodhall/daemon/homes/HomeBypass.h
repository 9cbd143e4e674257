#pragma once

#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"

#include <map>

namespace dogwoodhall {

// The homes that this traffic thread passes by: those that failed lately, and those that are suspected.
class HomeBypass {
public:
    explicit HomeBypass(TrafficServices& services)
        : m_services(services)
    {
    }

    bool contains(const PoolHome&) const;
    // Passes the home by for a while and tells the control thread.
    void add(const MemberId&);
    void removeExpired();

private:
    TrafficServices& m_services;
    std::map<MemberId, TimePoint> m_until;
};

} // namespace dogwoodhall
