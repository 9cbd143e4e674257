#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/homes/SlotGateway.h"
#include "dogwoodhall/daemon/traffic/ConnectionQuotas.h"
#include "dogwoodhall/daemon/traffic/RequestTrace.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/peer/PeerClient.h"

#include <functional>

namespace dogwoodhall {

// Objects shared by the components of one traffic thread. All are owned by that thread, except for the metrics.
struct TrafficServices {
    asio::io_context& io;
    SlotGateway& slots;
    UpstreamClient& upstreams;
    ConnectionQuotas& connections;
    PeerClient& peers;
    DaemonMetrics& metrics;
    RandomEngine& random;
    SpanSink spans;
    MemberId member;
    DataCentreId dataCentre;
    Fraction traceSampling;
    // Reports to the control thread that a home did not respond.
    std::function<void(const MemberId&)> reportSilentMember;
};

} // namespace dogwoodhall
