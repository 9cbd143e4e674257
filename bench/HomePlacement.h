#pragma once

#include "DirectPlacement.h"
#include "Simulation.h"
#include "dogwoodhall/budget/LinkBudget.h"
#include "dogwoodhall/pool/Pool.h"
#include "dogwoodhall/routing/LongWorkClassifier.h"
#include "dogwoodhall/routing/PoolChooser.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dogwoodhall::bench {

struct HomeSettings {
    bool limitsLongWork = true; // If false, all work is treated as short.
};

// Placement with one home per pool: entry hosts choose a data centre and forward short requests to the home of its
// pool. Long requests within a data centre get a permit and are sent directly to their endpoint.
class HomePlacement {
public:
    HomePlacement(Simulation&, HomeSettings);

    void submit(RequestIndex);

private:
    struct Home {
        std::size_t host;
        std::unique_ptr<Pool> pool;
        std::uint64_t generation = 0; // Incremented when the home is lost, to ignore events of the lost home.
        std::uint64_t timer = 0; // Number of the timer set last; older timers are ignored.
        std::vector<TimePoint> sentAt; // When the expected wait was last sent to each entry host with a response.
    };
    struct EntryHost {
        PoolChooser chooser;
        LinkBudget link;
        LongWorkClassifier classifier;
        std::vector<PoolState> states; // By data centre.
        std::vector<TimePoint> updatedAt;
        std::vector<std::unordered_set<RequestIndex>> forwarded; // Requests without a response so far, by data centre.
        bool isHomeBypassed = false; // Refers to the home of its own data centre.
    };

    EntryHost makeEntryHost(std::size_t host) const;
    std::unique_ptr<Pool> makePool(std::size_t dataCentre);
    void handleHostLoss(std::size_t host);
    void replaceHome(std::size_t dataCentre);
    void bypassHome(std::size_t dataCentre);
    void sendExpectedWaits(std::size_t dataCentre);
    void updateExpectedWait(std::size_t host, std::size_t dataCentre, Duration wait);

    void retryAfterRefusal(RequestIndex);
    void updateAges(EntryHost&, std::size_t own) const;
    void forward(RequestIndex, std::size_t dataCentre);
    void admit(RequestIndex, std::size_t dataCentre, WorkClass, std::vector<EndpointId> excluded);
    void perform(std::size_t dataCentre, const PoolActions&);
    void armTimer(std::size_t dataCentre, TimePoint);
    void dispatch(std::size_t dataCentre, RequestIndex, std::size_t endpoint);
    void runAt(std::size_t endpoint, std::size_t via, RequestIndex, std::function<void(const JobOutcome&)> answered);
    void completeAtHome(std::size_t dataCentre, std::uint64_t generation, RequestIndex, const JobOutcome&);
    void sendResponse(std::size_t dataCentre, RequestIndex, const JobOutcome&);
    void receiveResponse(RequestIndex, std::size_t dataCentre, const JobOutcome&, std::optional<Duration> wait);
    DecisionContext context() { return { m_simulation.now(), m_simulation.random() }; }
    std::size_t dataCentreOf(RequestIndex) const;

    struct AdmittedRequest {
        WorkClass workClass;
        std::vector<EndpointId> excluded;
    };

    Simulation& m_simulation;
    HomeSettings m_settings;
    DirectPlacement m_fallback;
    TopologyDeclaration m_topology;
    std::vector<Home> m_homes; // By data centre.
    std::vector<EntryHost> m_entryHosts; // By host.
    std::unordered_map<RequestIndex, AdmittedRequest> m_admitted; // Requests at a home.
};

} // namespace dogwoodhall::bench
