#pragma once

#include "Scenario.h"
#include "dogwoodhall/core/RandomEngine.h"

namespace dogwoodhall::bench {

struct Arrival {
    TimePoint at;
    std::size_t host;
    bool isLong;
    Duration service;
};

// Poisson arrivals whose rate follows the scenario, identical for all policies of a run. Callers are distributed like
// the slots: each arrival goes to a random entry host in the data centre of a random endpoint.
class ArrivalProcess {
public:
    ArrivalProcess(const Deployment&, const Scenario&, const Options&);

    Arrival next();

private:
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t pickHost();

    const Deployment& m_deployment;
    const Scenario& m_scenario;
    double m_shortSeconds;
    double m_highestRate;
    RandomEngine m_random;
    TimePoint m_now;
};

} // namespace dogwoodhall::bench
