#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"
#include "dogwoodhall/dispatch/EndpointTracker.h"
#include "dogwoodhall/dispatch/EndpointWithdrawal.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <functional>
#include <string_view>

namespace dogwoodhall {

// Reads from responses whether their endpoints leave or ask for a rest, and records it in the endpoint tracker. Logs
// and counts what is new, and shares it with the other traffic threads. One instance per traffic thread.
class WithdrawalRecorder {
public:
    using Share = std::function<void(const EndpointWithdrawal&)>;

    // The exchange that a response belongs to.
    struct Source {
        const EndpointId& endpoint;
        Incarnation incarnation; // That the request was sent to.
        std::string_view signal; // "request" or "health".
        std::string_view requestId; // Empty for a probe.
    };

    // The references must outlive the object. `share` may be empty.
    WithdrawalRecorder(const RequestCodec&, EndpointTracker&, DaemonMetrics&, EventLog&, Share share);

    // Reads a head of a response, interim or final.
    void observe(const ResponseHead&, const Source&);
    // Records what another traffic thread has read.
    void apply(const EndpointWithdrawal&);

    // Return whether a request or probe may be written now.
    bool maySend(const EndpointId&, Incarnation);
    bool mayProbe(const EndpointId&, Incarnation);

private:
    void recordLeaving(const Source&, TimePoint now);
    void recordRest(const Source&, Duration, TimePoint now);
    void logUnreadable(const UnreadableField&, const Source&, TimePoint now);
    bool countWithheld(bool maySend);

    const RequestCodec& m_codec;
    EndpointTracker& m_endpoints;
    DaemonMetrics& m_metrics;
    EventLog& m_events;
    Share m_share;
};

} // namespace dogwoodhall
