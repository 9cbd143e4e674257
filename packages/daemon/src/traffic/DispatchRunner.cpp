#include "dogwoodhall/daemon/traffic/DispatchRunner.h"

#include "ChoiceLog.h"
#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/daemon/RunningGuard.h"
#include "dogwoodhall/daemon/traffic/HeaderValues.h"
#include "dogwoodhall/exchange/UseTuple.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <limits>
#include <utility>
#include <variant>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

// Request bodies up to this size are buffered so that the request can be retried.
constexpr ByteCount replayLimit { 64 * 1024 };
// Retry delay sent while the configuration is missing or not certain: another member may know it, and this one is ready
// within 1 s of its start.
constexpr Duration notReadyRetry = std::chrono::milliseconds(200);
// Retry delay sent while the process stops: the next attempt reaches another member.
constexpr Duration drainingRetry = Duration::zero();
// Of the path in the log line of a request that has no plan.
constexpr std::size_t maxLoggedPath = 100;
// The fleet as a whole keeps at most half of an endpoint's connections idle; the other half is for requests in flight.
constexpr std::size_t idleShareDivisor = 2;

// Such as "shop.example/orders/17".
std::string describe(const RouteQuery& query)
{
    return std::string(query.hostName) + std::string(query.path.substr(0, maxLoggedPath));
}

// Such as "evacuated=3 unreachable=1".
std::string describe(const ExclusionCounts& exclusions)
{
    std::string text;
    for (const auto& [exclusion, count] : exclusions) {
        text += text.empty() ? "" : " ";
        text += std::string(toString(exclusion)) + "=" + std::to_string(count);
    }
    return text;
}

} // namespace

DispatchRunner::DispatchRunner(
    asio::io_context& io, Options options, DaemonMetrics& metrics, RandomEngine& random, EventLog& events)
    : m_io(io)
    , m_codec(std::move(options.codec))
    , m_metrics(metrics)
    , m_random(random)
    , m_events(events)
    , m_dispatcher(std::move(options.limits))
    , m_withdrawals(m_codec, m_dispatcher.endpoints(), metrics, events, std::move(options.shareWithdrawal))
    , m_upstreams(io.get_executor(),
          [this] {
              UpstreamLimits limits;
              limits.idleLimit = [this](const NetworkAddress&) { return m_idleLimit; };
              limits.correlation = m_codec.correlation;
              return limits;
          }())
    , m_loadQuerier(io, m_codec, m_dispatcher.endpoints(), m_withdrawals, m_upstreams, metrics, events)
    , m_snapshot(std::make_shared<Snapshot>())
{
    m_dispatcher.endpoints().observeWarmUps([this](const WarmUpChange& change) { logWarmUp(change); });
}

RequestPath DispatchRunner::path()
{
    RequestPath path;
    path.run
        = [this](IncomingRequest request, const ResponseWriter& writer) { return run(std::move(request), writer); };
    path.apply = [this](const SnapshotPointer& snapshot) {
        m_snapshot = snapshot;
        if (!snapshot->directory)
            return;
        m_dispatcher.apply(snapshot->directory, snapshot->fleet, monotonicNow());
        std::size_t fewest = std::numeric_limits<std::size_t>::max();
        for (const auto& [id, service] : snapshot->directory->services())
            fewest = std::min<std::size_t>(fewest, service.declaration.maxConnections);
        m_idleLimit = std::max<std::size_t>(fewest / idleShareDivisor / snapshot->fleet.size(), 1);
    };
    path.retryIfUncertain = [this] { return retryIfUncertain(); };
    path.renewLease = [this](const LeaseTerm& term) { m_term = term; };
    path.stop = [this](const StopSchedule& schedule) { m_dispatcher.stop(schedule); };
    path.running = [this] { return m_running; };
    path.tick = [this] {
        m_upstreams.closeIdleConnections();
        m_dispatcher.endpoints().reportWarmEndpoints(monotonicNow());
        m_metrics.upstreamConnections.set(m_upstreams.connectionsOpened());
        m_metrics.retriesLeft.set(static_cast<std::uint64_t>(m_dispatcher.retriesLeft(monotonicNow())));
        m_metrics.retryHolders.set(m_dispatcher.retryShare().holders);
        m_metrics.configurationAge.set(
            static_cast<std::uint64_t>(toMilliseconds(configurationAge().value_or(Duration()))));
        reportSpill();
    };
    path.explain = [this](const RouteQuery& query, std::optional<Duration> timeLeft) {
        // A default explanation says that the member is not ready.
        return m_snapshot->isReady ? m_dispatcher.explain(query, timeLeft, monotonicNow()) : PlacementExplanation {};
    };
    return path;
}

void DispatchRunner::reportSpill()
{
    auto* spill = m_dispatcher.spill();
    if (!spill)
        return;
    const TimePoint now = monotonicNow();
    for (const auto direction : { Distance::SameRegion, Distance::OtherRegion })
        m_metrics.leavingShare(direction).set(static_cast<std::uint64_t>(spill->maxLeavingShare(direction, now) * 100));
    for (const auto& change : spill->takeChanges(now)) {
        EventLine line(EventKind::Belief, change.isLeaving ? "leaving-begins" : "leaving-ends");
        line.add("service", change.service.value()).add("direction", toString(change.direction));
        line.add("reason", toString(change.reason)).addNumber("ownFull", change.ownFullShare);
        line.addNumber("destinationFull", change.destinationFullShare);
        m_events.add(std::move(line), now);
    }
}

std::optional<Duration> DispatchRunner::configurationAge() const
{
    return m_term.confirmedAt ? std::optional(monotonicNow() - *m_term.confirmedAt) : std::nullopt;
}

std::optional<Duration> DispatchRunner::retryIfUncertain() const
{
    const bool isCertain = m_snapshot->isReady && monotonicNow() < m_term.mayDenyUntil;
    return isCertain ? std::nullopt : std::optional(notReadyRetry);
}

DecisionContext DispatchRunner::context() { return { monotonicNow(), m_random }; }

asio::awaitable<void> DispatchRunner::run(IncomingRequest request, const ResponseWriter& writer)
{
    RunningGuard guard(m_running);
    m_metrics.requests.add();
    const auto call = m_codec.readRequestFields(request.head.fields);
    // Another member, or this one in a moment, knows which configuration is in force.
    const bool isExpired = monotonicNow() >= m_term.validUntil;
    if (m_snapshot->isReady && isExpired)
        m_metrics.configurationExpired.add();
    if (!m_snapshot->isReady || isExpired) {
        const RefuseRequest notReady { ErrorKind::NotReady, Outcome::NotRun, notReadyRetry };
        co_return co_await refuse(writer, call.id, notReady, nullptr);
    }
    const RouteQuery query { hostNameOf(request.head), pathOf(request.head.target), request.head.method };
    auto plan = m_dispatcher.admit(query, call.timeLeft, monotonicNow());
    if (!plan) {
        RefuseRequest refusal { plan.error(), Outcome::NotRun, std::nullopt };
        if (plan.error() == ErrorKind::Draining)
            refusal.retryAfter = drainingRetry;
        const auto retryAfter = retryIfUncertain();
        if (plan.error() == ErrorKind::NoRoute && retryAfter) {
            refusal.kind = ErrorKind::NotReady;
            refusal.retryAfter = retryAfter;
        }
        refusal.detail = describe(query);
        co_return co_await refuse(writer, call.id, refusal, nullptr);
    }
    const auto progress = std::move(request.progress);
    ReplayableBody body(
        std::move(request.readBody), replayLimit, [&progress](std::size_t bytes) { progress.kept(bytes); });
    RequestState state { std::move(request.head), std::move(body), std::move(*plan), call.id, progress };
    co_await serve(state, writer);
}

asio::awaitable<void> DispatchRunner::serve(RequestState& state, const ResponseWriter& writer)
{
    if (state.head.bodyLength.kind != BodyLength::Kind::None) {
        // Prefetched so that a slow sender does not occupy an endpoint slot.
        const auto result = co_await (state.body.prefetch() || waitUntil(state.plan.deadline()));
        const auto* prefetched = std::get_if<0>(&result);
        if (!prefetched || !*prefetched) {
            const auto kind = prefetched ? prefetched->error().kind : ErrorKind::RequestTimeout;
            RefuseRequest refusal { kind, Outcome::NotRun, std::nullopt };
            if (kind == ErrorKind::NotReady)
                refusal.retryAfter = notReadyRetry;
            if (prefetched)
                refusal.detail = prefetched->error().detail;
            co_return co_await refuse(writer, state.id, refusal, &state.plan);
        }
    }
    if (!state.plan.route().isIdempotent) {
        const bool isTurn = co_await awaitTurn(state, writer);
        if (!isTurn)
            co_return;
    }
    while (true) {
        if (state.body.canRewind())
            state.body.rewind();
        else
            m_dispatcher.setBodyCannotBeReplayed(state.plan);
        const auto action = m_dispatcher.next(state.plan, context());
        if (state.plan.metWarmUpLimit() && !std::exchange(state.isWarmUpLimitCounted, true))
            m_metrics.warmUpLimited.add();
        if (const auto* loadQuery = std::get_if<ProbeEndpoints>(&action)) {
            co_await m_loadQuerier.queryEndpoints(*loadQuery);
        } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
            co_return co_await refuse(writer, state.id, *refusal, &state.plan);
        } else if (!state.progress.maySend()) {
            const RefuseRequest full { ErrorKind::CallerLimit, Outcome::NotRun, std::nullopt };
            co_return co_await refuse(writer, state.id, full, &state.plan);
        } else {
            const auto& send = std::get<SendRequest>(action);
            if (state.plan.sends() > 0)
                logRepeat(state, send.choice.endpoint);
            const bool isAnswered = co_await sendAndRelay(state, send, writer);
            if (isAnswered)
                co_return;
            m_metrics.retries.add();
        }
    }
}

asio::awaitable<bool> DispatchRunner::awaitTurn(RequestState& state, const ResponseWriter& writer)
{
    if (!state.progress.turn)
        co_return true;
    const auto result = co_await (state.progress.awaitTurn() || waitUntil(state.plan.deadline()));
    if (const auto* isTurn = std::get_if<0>(&result))
        co_return *isTurn;
    const RefuseRequest late { ErrorKind::DeadlineExceeded, state.plan.outcome(), std::nullopt };
    co_await refuse(writer, state.id, late, &state.plan);
    co_return false;
}

asio::awaitable<void> DispatchRunner::refuse(
    const ResponseWriter& writer, const CallId& id, const RefuseRequest& refusal, const RequestPlan* plan)
{
    const auto& answer = answerFor(refusal.kind);
    EventLine line(EventKind::Failure, "refused");
    line.add("id", id.value()).add("error", answer.name).add("status", std::uint64_t(answer.status));
    line.add("outcome", toString(refusal.outcome));
    if (!refusal.detail.empty())
        line.add("detail", refusal.detail);
    line.add("revision", m_snapshot->revision.value());
    addConfirmation(line);
    if (!plan && m_snapshot->directory)
        line.add("version", m_snapshot->directory->version());
    if (plan) {
        line.add("route", plan->route().id.value()).add("service", plan->service().value());
        line.add("version", plan->version()).add("sends", std::uint64_t(plan->sends())).add("repeat", plan->isRepeat());
        line.add("asked", std::uint64_t(plan->endpointsProbed()));
        line.addMilliseconds("elapsedAtCallerMs", plan->elapsedAtCaller());
        line.addMilliseconds("ms", monotonicNow() - plan->receivedAt());
    }
    if (refusal.best)
        addChoice(line, *refusal.best);
    if (!refusal.exclusions.empty())
        line.add("excluded", describe(refusal.exclusions));
    if (refusal.retryAfter)
        line.addMilliseconds("retryAfterMs", *refusal.retryAfter);
    m_events.add(std::move(line), monotonicNow());
    m_metrics.error(refusal.kind).add();
    co_await writeError(writer, refusal.kind, refusal.outcome, refusal.retryAfter);
}

void DispatchRunner::addConfirmation(EventLine& line) const
{
    const TimePoint now = monotonicNow();
    if (const auto age = configurationAge()) {
        line.addMilliseconds("configurationAgeMs", *age);
        line.add("confirmedBy", m_term.confirmedBy ? m_term.confirmedBy->value() : std::string("store"));
    }
    if (m_term.validUntil != TimePoint::max())
        line.addMilliseconds("leaseLeftMs", m_term.validUntil - now);
    if (m_term.mayDenyUntil != TimePoint::max())
        line.addMilliseconds("denialLeftMs", m_term.mayDenyUntil - now);
    if (m_term.storeAnsweredAt)
        line.addMilliseconds("storeAnsweredMs", now - *m_term.storeAnsweredAt);
    line.add("storeEra", m_term.storeEra.value());
}

void DispatchRunner::logRepeat(const RequestState& state, const EndpointId& endpoint)
{
    EventLine line(EventKind::Failure, "repeated");
    line.add("id", state.id.value()).add("endpoint", endpoint.value());
    line.add("sends", std::uint64_t(state.plan.sends()));
    addRetryBalance(line, state.plan);
    line.addMilliseconds("ms", monotonicNow() - state.plan.receivedAt());
    m_events.add(std::move(line), monotonicNow());
}

void DispatchRunner::addRetryBalance(EventLine& line, const RequestPlan& plan) const
{
    const auto balance = m_dispatcher.retryBalance(plan.service(), monotonicNow());
    line.add("service", plan.service().value()).addNumber("retriesAllowed", balance.allowed);
    line.addNumber("retriesTaken", balance.taken).addNumber("retrySlack", balance.slack);
    line.add("retryHolders", std::uint64_t(m_dispatcher.retryShare().holders));
}

void DispatchRunner::logWarmUp(const WarmUpChange& change)
{
    EventLine line(EventKind::Belief, change.isCold ? "endpoint-cold" : "endpoint-warm");
    line.add("endpoint", change.endpoint.value()).add("source", toString(change.source));
    if (change.isCold)
        line.addMilliseconds("leftMs", change.left);
    m_events.add(std::move(line), monotonicNow());
}

asio::awaitable<bool> DispatchRunner::waitUntil(TimePoint at)
{
    const auto time = at == TimePoint::max() ? asio::steady_timer::time_point::max() : toSteadyClock(at);
    asio::steady_timer timer(m_io, time);
    const auto [ec] = co_await timer.async_wait(useTuple);
    co_return !ec;
}

} // namespace dogwoodhall
