#pragma once

#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/dispatch/LoadReport.h"
#include "dogwoodhall/dispatch/WarmUpState.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

// Health status in a probe response, apart from the load.
enum class HealthStatus : std::uint8_t {
    Healthy,
    Unhealthy, // Unreliable: some endpoints report this but serve well.
    Closing, // Unhealthy, and the response closes the connection: the endpoint is about to leave.
};

// How a request or probe to an endpoint ended, as evidence about the endpoint.
enum class EndpointEvidence : std::uint8_t {
    Served, // A complete response from the endpoint that is not a server error.
    ServerError, // A complete response with a server error.
    LostToHedge, // Still unanswered when a hedge at another endpoint was answered.
    Broken, // The connection failed, or the response was truncated or came from elsewhere.
    TimedOut, // No response in time.
    Refused, // Proven not to have run the request.
    Misdirected, // Another endpoint now uses the address.
    Unrelated, // Not attributable to the endpoint, for example because the caller disconnected.
};

// Local knowledge about one endpoint, in addition to the directory.
struct EndpointState {
    std::optional<LoadReport> report;
    TimePoint reportedAt; // When the probe that returned the report was sent.
    std::deque<TimePoint> sentAt; // Send times of this process's requests in flight, oldest first.
    // Moving average of failed requests as of failureShareAt. Decays over time, so that the endpoint is tried again.
    double failureShare = 0;
    TimePoint failureShareAt;
    unsigned unansweredProbes = 0; // Consecutive probes without a response.
    TimePoint avoidedUntil; // Receives no work before this time, because it was unreachable or closing.
    bool reportsUnhealthy = false; // According to the last probe response.
    bool isReplaced = false; // Another endpoint uses its address. Final for this incarnation.
    bool isLeaving = false; // It has announced that it leaves. Final for this incarnation.
    TimePoint restUntil; // It has asked for no requests before this time.
    // It has rested and not served a request since; gets one request at a time, so that its whole share does not return
    // at once.
    bool isOnTrial = false;
    WarmUpState warmUp; // While it is cold, the endpoint is slower.
};

// An endpoint of a service that limits the requests to cold endpoints has become cold or warm.
struct WarmUpChange {
    EndpointId endpoint;
    bool isCold = false;
    WarmUpSource source = WarmUpSource::Entry; // Of the statement in force.
    Duration left {}; // Of the warm-up; zero if it is warm.
};

using WarmUpObserver = std::function<void(const WarmUpChange&)>;

struct EndpointTrackerLimits {
    // Weight of one result in the failure share. A faulty endpoint fails two in five of its requests; with a weight of
    // 0.2, ten requests distinguish it from one that fails one in two hundred.
    double failureWeight = 0.2;
    // Half-life of the failure share: the effect of a fault that lasts five seconds has decayed five seconds after it
    // ends.
    Duration failureHalfLife = std::chrono::seconds(3);
    // How long an endpoint receives no work after consecutive unanswered probes, or after reporting that it is closing.
    // A crashed endpoint is back after some seconds; one attempt per second detects that cheaply.
    Duration avoidDuration = std::chrono::seconds(1);
    unsigned unansweredProbesToAvoid = 2; // A single probe can be lost with its connection.
    // Minimum time between two probes of an endpoint on trial.
    Duration trialProbeInterval = std::chrono::milliseconds(100);
    // How long a withdrawal is kept for an endpoint that is not in the directory. An entry returns within seconds of an
    // outage of the registry.
    Duration withdrawalRetention = std::chrono::hours(1);
};

// Tracks the load, failures and availability of the endpoints. Owned by one traffic thread.
class EndpointTracker {
public:
    explicit EndpointTracker(EndpointTrackerLimits limits = {})
        : m_limits(limits)
    {
    }

    void observeWarmUps(WarmUpObserver observer) { m_warmUpObserver = std::move(observer); }

    // Returns a tracker with what this one knows of the service's endpoints, without an observer.
    EndpointTracker copyFor(const DirectoryService&) const;

    // Removes endpoints that are not in the directory, and resets the state of those with a new incarnation. Of a
    // removed endpoint whose entry states an incarnation, a withdrawal is kept in case the same incarnation returns.
    void apply(const Directory&, TimePoint now);

    // Returns whether the endpoint may receive work: it is neither replaced nor avoided, does not leave and does not
    // rest.
    bool isUsable(const EndpointId&, TimePoint now) const;
    // Returns nullptr if the endpoint is not in the directory.
    const EndpointState* find(const EndpointId&) const;
    double failureShare(const EndpointId&, TimePoint now) const;
    // Load of the endpoint: its last report plus this process's requests sent after that report. Empty without a
    // report.
    std::optional<LoadReport> currentLoad(const EndpointId&) const;

    // Records the response to a probe sent at `sentAt`. The report is empty if the endpoint does not state its load.
    void recordProbeResponse(const EndpointId&, const std::optional<LoadReport>&, HealthStatus, TimePoint sentAt);
    // Records the remaining warm-up that the response to a probe sent at `sentAt` states. Ignored for services without
    // a limit for cold endpoints.
    void recordWarmUp(const EndpointId&, Duration left, TimePoint sentAt, TimePoint now);
    // Reports the endpoints whose warm-up has ended since the last call. Call several times a second.
    void reportWarmEndpoints(TimePoint now);
    // Returns whether an endpoint of a service with a limit may be cold.
    bool mayHaveColdEndpoints(TimePoint now) const { return now < m_coldUntil; }
    // Records a probe without a response. A failure on a reused connection is ignored: the connection may have been
    // stale.
    void recordUnansweredProbe(const EndpointId&, bool onReusedConnection, TimePoint now);

    // Another endpoint answered at its address: it is unusable even if the directory still lists it.
    void markReplaced(const EndpointId&);

    // Records that this incarnation has announced that it leaves. Returns false if that is known already, or if another
    // incarnation is in the directory.
    bool recordLeaving(const EndpointId&, Incarnation, TimePoint now);
    // Records that this incarnation asks for no requests for this time. A shorter wish does not end a rest sooner.
    // Returns true if a rest begins.
    bool recordRest(const EndpointId&, Incarnation, Duration, TimePoint now);
    // Returns whether the incarnation leaves or rests, in the directory or not. Must be false just before a request or
    // probe is written.
    bool isWithdrawn(const EndpointId&, Incarnation, TimePoint now) const;
    // Returns whether a probe may be written now, and records it if so.
    bool beginProbe(const EndpointId&, Incarnation, TimePoint now);
    // Returns true for the first unreadable field of an endpoint's incarnation, so that each is logged once.
    bool recordUnreadableField(const EndpointId&);

    void requestSent(const EndpointId&, TimePoint now);
    void requestEnded(const EndpointId&, TimePoint sentAt, EndpointEvidence, TimePoint now);
    // Records a load report from a response to a request. Older than a probe's report, so it is only used if there is
    // none.
    void recordReportFromResponse(const EndpointId&, const LoadReport&, TimePoint sentAt);

private:
    struct Entry {
        Incarnation incarnation;
        EndpointState state;
        Revision revision; // Of its entry in the registry.
        Duration warmUpLeft {}; // In that entry.
        bool isWarmUpLimited = false; // The service limits the requests to cold endpoints.
        bool isReportedCold = false;
        TimePoint trialProbeAt; // Last probe on trial.
        bool hasUnreadableField = false;
        // When it was removed from the directory; empty while it is listed. An unlisted entry holds only a withdrawal.
        std::optional<TimePoint> unlistedAt;
    };

    Entry* entry(const EndpointId&);
    Entry* entryToWithdraw(const EndpointId&, Incarnation, TimePoint now);
    void unlist(Entry&, TimePoint now) const;
    bool mayForget(const Entry&, TimePoint now) const;
    double decayedFailureShare(const EndpointState&, TimePoint now) const;
    void applyRegistration(Entry&, const EndpointRegistration&, bool isNew, TimePoint now);
    void reportWarmUp(const EndpointId&, Entry&, TimePoint now);

    EndpointTrackerLimits m_limits;
    std::unordered_map<EndpointId, Entry> m_entries;
    WarmUpObserver m_warmUpObserver; // May be empty.
    bool m_hasReportedCold = false; // An endpoint may have been reported cold and not yet warm.
    TimePoint m_coldUntil; // Latest end of a warm-up stated so far, for services with a limit.
};

} // namespace dogwoodhall
