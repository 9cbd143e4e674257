#include "dogwoodhall/daemon/traffic/WithdrawalRecorder.h"

#include "dogwoodhall/daemon/Clock.h"

#include <utility>

namespace dogwoodhall {

namespace {

EventLine lineOf(std::string_view event, const WithdrawalRecorder::Source& source)
{
    EventLine line(EventKind::Belief, event);
    line.add("endpoint", source.endpoint.value()).add("signal", source.signal);
    if (!source.requestId.empty())
        line.add("id", source.requestId);
    return line;
}

} // namespace

WithdrawalRecorder::WithdrawalRecorder(
    const RequestCodec& codec, EndpointTracker& endpoints, DaemonMetrics& metrics, EventLog& events, Share share)
    : m_codec(codec)
    , m_endpoints(endpoints)
    , m_metrics(metrics)
    , m_events(events)
    , m_share(std::move(share))
{
}

void WithdrawalRecorder::observe(const ResponseHead& head, const Source& source)
{
    const auto description = m_codec.readResponseHead(head);
    // Then the statement is another endpoint's.
    const bool isOtherEndpoint = description.endpoint && *description.endpoint != source.endpoint;
    if (isOtherEndpoint || description.isMisdirected)
        return;
    const TimePoint now = monotonicNow();
    if (description.unreadable)
        logUnreadable(*description.unreadable, source, now);
    if (description.isLeaving)
        recordLeaving(source, now);
    if (description.restFor)
        recordRest(source, *description.restFor, now);
}

void WithdrawalRecorder::recordLeaving(const Source& source, TimePoint now)
{
    if (!m_endpoints.recordLeaving(source.endpoint, source.incarnation, now))
        return;
    m_metrics.endpointsLeaving.add();
    m_events.add(lineOf("endpoint-leaving", source), now);
    if (m_share)
        m_share({ source.endpoint, source.incarnation, std::nullopt });
}

void WithdrawalRecorder::recordRest(const Source& source, Duration rest, TimePoint now)
{
    if (m_endpoints.recordRest(source.endpoint, source.incarnation, rest, now)) {
        m_metrics.endpointRests.add();
        auto line = lineOf("endpoint-resting", source);
        line.addMilliseconds("leftMs", rest);
        m_events.add(std::move(line), now);
    }
    // Also if it only extends a rest.
    if (m_share && rest > Duration::zero())
        m_share({ source.endpoint, source.incarnation, now + rest });
}

void WithdrawalRecorder::apply(const EndpointWithdrawal& withdrawal)
{
    const TimePoint now = monotonicNow();
    if (withdrawal.restUntil)
        m_endpoints.recordRest(withdrawal.endpoint, withdrawal.incarnation, *withdrawal.restUntil - now, now);
    else
        m_endpoints.recordLeaving(withdrawal.endpoint, withdrawal.incarnation, now);
}

void WithdrawalRecorder::logUnreadable(const UnreadableField& field, const Source& source, TimePoint now)
{
    if (!m_endpoints.recordUnreadableField(source.endpoint))
        return;
    auto line = lineOf("field-unreadable", source);
    line.add("field", field.name).add("value", field.value);
    m_events.add(std::move(line), now);
}

bool WithdrawalRecorder::maySend(const EndpointId& endpoint, Incarnation incarnation)
{
    return countWithheld(!m_endpoints.isWithdrawn(endpoint, incarnation, monotonicNow()));
}

bool WithdrawalRecorder::mayProbe(const EndpointId& endpoint, Incarnation incarnation)
{
    return countWithheld(m_endpoints.beginProbe(endpoint, incarnation, monotonicNow()));
}

bool WithdrawalRecorder::countWithheld(bool maySend)
{
    if (!maySend)
        m_metrics.withheld.add();
    return maySend;
}

} // namespace dogwoodhall
