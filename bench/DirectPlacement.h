#pragma once

#include "Simulation.h"
#include "dogwoodhall/pool/PlacementPolicy.h"

namespace dogwoodhall::bench {

struct DirectSettings {
    PlacementPolicy policy;
    bool usesReports = false; // Every entry host polls the endpoints of its region.
    bool hasGlobalView = false; // Sees all requests at the endpoints and in transit to them, without delay.
    bool staysInDataCentre = false; // Uses the endpoints of its data centre instead of its region.
};

// Each entry host sends its requests directly to an endpoint that the policy chooses.
class DirectPlacement {
public:
    DirectPlacement(Simulation&, DirectSettings);

    void submit(RequestIndex);

private:
    struct EntryHost {
        std::vector<std::size_t> endpoints; // Of the candidates, in the same order.
        std::vector<EndpointCandidate> candidates;
    };

    void poll(std::size_t host);
    void send(RequestIndex, std::size_t candidate);

    Simulation& m_simulation;
    DirectSettings m_settings;
    std::vector<EntryHost> m_entryHosts;
    std::vector<std::uint64_t> m_assigned; // Requests at or in transit to each endpoint, from all hosts.
};

} // namespace dogwoodhall::bench
