#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/control/HealthProber.h"
#include "dogwoodhall/fleet/GossipMessage.h"
#include "dogwoodhall/pool/Pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <tl/expected.hpp>
#include <unordered_map>

namespace dogwoodhall {

namespace asio = boost::asio;

// The endpoint to which a pool has assigned a request. Includes the address, because the requesting thread's or
// member's snapshot may not contain the endpoint yet, or no longer.
struct Placement {
    EndpointId endpoint;
    NetworkAddress address;
};

// The pools owned by one traffic thread. Used on that thread only.
class PoolShard {
public:
    // Receives the endpoint that the request may use, or the reason for refusing it.
    using Reply = std::function<void(RequestId, tl::expected<Placement, ErrorKind>)>;

    PoolShard(asio::io_context&, std::uint64_t seed);

    void apply(SnapshotPointer);
    void admit(const PoolId&, const PoolRequest&, Reply);
    void complete(const PoolId&, RequestId, const Completion&);
    void cancel(const PoolId&, RequestId);
    // Loads of the pools that have been used on this thread.
    std::vector<PoolLoadSummary> loads() const;
    // Logs the endpoints that were ejected or readmitted since the last call. Returns the number of ejected ones.
    std::size_t reportEjections();
    void observeHealth(const ProbeTarget&, const HealthReport&);

private:
    struct Entry {
        Entry(Pool pool, asio::io_context&);

        Pool pool;
        asio::steady_timer timer;
        std::unordered_map<RequestId, Reply> waiting;
        std::map<EndpointId, NetworkAddress> addresses;
        std::set<EndpointId> ejected; // As of the last reportEjections().
    };

    Entry& entryFor(const PoolId&);
    void configure(Entry&);
    void perform(const PoolId&, Entry&, const PoolActions&);
    void armTimer(const PoolId&, Entry&, TimePoint);
    DecisionContext context();

    asio::io_context& m_io;
    RandomEngine m_random;
    SnapshotPointer m_snapshot;
    std::unordered_map<PoolId, Entry> m_pools;
};

} // namespace dogwoodhall
