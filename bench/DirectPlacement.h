#pragma once

#include "World.h"
#include "dogwoodhall/pool/PlacementPolicy.h"

namespace dogwoodhall::bench {

struct DirectSettings {
    PlacementPolicy policy;
    bool usesReports = false; // Every entry host polls the endpoints of its region.
    bool knowsAll = false; // Sees all requests at the endpoints and on their way there, without delay.
    bool staysInDataCentre = false; // Uses the endpoints of its data centre instead of its region.
};

// Each entry host sends its requests straight to an endpoint that the policy picks.
class DirectPlacement {
public:
    DirectPlacement(World&, DirectSettings);

    void submit(RequestIndex);

private:
    struct Entry {
        std::vector<std::size_t> endpoints; // That the candidates stand for, in order.
        std::vector<EndpointCandidate> candidates;
    };

    void poll(std::size_t host);
    void send(RequestIndex, std::size_t candidate);

    World& m_world;
    DirectSettings m_settings;
    std::vector<Entry> m_entries;
    std::vector<std::uint64_t> m_assigned; // Requests at or on their way to each endpoint, from all hosts.
};

} // namespace dogwoodhall::bench
