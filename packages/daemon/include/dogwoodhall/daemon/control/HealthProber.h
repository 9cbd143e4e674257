#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace dogwoodhall {

// An endpoint whose pool's home is this process.
struct ProbeTarget {
    PoolId pool;
    EndpointId endpoint;
    NetworkAddress address;
};

// The state that an endpoint reports in its health response.
struct HealthReport {
    bool isDraining = false;
    SlotCount inUse;
    Duration roundTrip {}; // From sending the request to receiving the response head.
};

// Probes the endpoints of the pools whose home is this process, each once per period or, if the measuring budget is
// exhausted, less often. Runs on the control thread.
class HealthProber {
public:
    struct Hooks {
        std::function<std::vector<ProbeTarget>()> targets;
        std::function<bool(ByteCount)> chargeBudget;
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
