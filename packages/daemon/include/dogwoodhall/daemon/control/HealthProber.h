#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace dogwoodhall {

// An endpoint whose pool has its home here.
struct ProbeTarget {
    PoolId pool;
    EndpointId endpoint;
    NetworkAddress address;
};

// What an endpoint's health endpoint said of itself.
struct HealthReport {
    bool isDraining = false;
    SlotCount inUse;
    Duration roundTrip {}; // From the request to the head of the answer.
};

// Asks the endpoints of the pools whose home is this process for their state, each once in a period while the measuring
// budget allows, and less often when it does not. On the control thread.
class HealthProber {
public:
    struct Hooks {
        std::function<std::vector<ProbeTarget>()> targets;
        std::function<bool(ByteCount)> pay;
        std::function<void(const ProbeTarget&, const HealthReport&)> report;
    };

    HealthProber(asio::io_context&, Hooks);

    // Probes until the event loop ends.
    asio::awaitable<void> run();

private:
    asio::awaitable<void> probe(ProbeTarget);

    asio::io_context& m_io;
    Hooks m_hooks;
    UpstreamClient m_client;
};

} // namespace dogwoodhall
