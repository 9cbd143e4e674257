#pragma once

#include "DirectPlacement.h"
#include "World.h"
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
    bool limitsLongWork = true; // Otherwise all work is taken for short.
};

// A home per pool: entry hosts choose a data centre and forward short requests to the home of its pool; long requests
// of the same data centre get a permit and are sent to their endpoint directly.
class HomePlacement {
public:
    HomePlacement(World&, HomeSettings);

    void submit(RequestIndex);

private:
    struct Home {
        std::size_t host;
        std::unique_ptr<Pool> pool;
        std::uint64_t generation = 0; // Of the home, to ignore events meant for one that was lost.
        std::uint64_t timer = 0;
        std::vector<TimePoint> toldAt; // When each entry host was last told the expected wait with an answer.
    };
    struct Entry {
        PoolChooser chooser;
        LinkBudget link;
        LongWorkClassifier classifier;
        std::vector<PoolState> states; // By data centre.
        std::vector<TimePoint> heardAt;
        std::vector<std::unordered_set<RequestIndex>> forwarded; // Without an answer yet, by data centre.
        bool isHomeSilent = false; // The home of its own data centre.
    };

    Entry makeEntry(std::size_t host) const;
    std::unique_ptr<Pool> makePool(std::size_t dataCentre);
    void hostLost(std::size_t host);
    void replaceHome(std::size_t dataCentre);
    void bypassHome(std::size_t dataCentre);
    void exchangeWaits(std::size_t dataCentre);
    void hear(std::size_t host, std::size_t dataCentre, Duration wait);

    void retryAfterRefusal(RequestIndex);
    void updateAges(Entry&, std::size_t own) const;
    void forward(RequestIndex, std::size_t dataCentre);
    void admit(RequestIndex, std::size_t dataCentre, WorkClass, std::vector<EndpointId> excluded);
    void perform(std::size_t dataCentre, const PoolActions&);
    void armTimer(std::size_t dataCentre, TimePoint);
    void dispatch(std::size_t dataCentre, RequestIndex, std::size_t endpoint);
    void runAt(std::size_t endpoint, std::size_t via, RequestIndex, std::function<void(const JobOutcome&)> answered);
    void completeAtHome(std::size_t dataCentre, std::uint64_t generation, RequestIndex, const JobOutcome&);
    void answer(std::size_t dataCentre, RequestIndex, const JobOutcome&);
    void answered(RequestIndex, std::size_t dataCentre, const JobOutcome&, std::optional<Duration> wait);
    DecisionContext context() { return { m_world.now(), m_world.random() }; }
    std::size_t dataCentreOf(RequestIndex) const;

    struct Placed {
        WorkClass workClass;
        std::vector<EndpointId> excluded;
    };

    World& m_world;
    HomeSettings m_settings;
    DirectPlacement m_fallback;
    TopologyDeclaration m_topology;
    std::vector<Home> m_homes; // By data centre.
    std::vector<Entry> m_entries; // By host.
    std::unordered_map<RequestIndex, Placed> m_placed; // Requests at a home.
};

} // namespace dogwoodhall::bench
