#include "dogwoodhall/daemon/traffic/DispatchRunner.h"

#include "ChoiceLog.h"
#include "dogwoodhall/daemon/Clock.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <utility>
#include <variant>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

// Responses up to this size are read completely before they are relayed, so that a truncated one can be retried.
constexpr ByteCount answerPrefetch { 128 * 1024 };

EndpointEvidence evidenceOf(const ExchangeError& error)
{
    // The body exceeds a limit that is not certain; no endpoint's failure has this kind.
    if (error.isWithheld || error.kind == ErrorKind::NotReady)
        return EndpointEvidence::Unrelated;
    if (error.kind == ErrorKind::DeadlineExceeded)
        return EndpointEvidence::TimedOut;
    return isCallerError(error.kind) ? EndpointEvidence::Unrelated : EndpointEvidence::Broken;
}

std::string_view nameOf(RelayResult result)
{
    switch (result) {
    case RelayResult::Complete:
        return "whole";
    case RelayResult::SourceFailed:
        return "endpoint-broke-off";
    case RelayResult::ReceiverFailed:
        break;
    }
    return "caller-left";
}

} // namespace

// One attempt to send a request to an endpoint. Its destructor reports the end of the attempt to the endpoint tracker
// if nothing else has, as after a cancellation, and releases a response that was not relayed.
class DispatchRunner::Attempt {
public:
    Attempt(Dispatcher& dispatcher, DaemonMetrics& metrics, RequestPlan& plan, SendRequest action)
        : action(std::move(action))
        , sentAt(monotonicNow())
        , m_dispatcher(dispatcher)
    {
        m_mustReportWrite = m_dispatcher.sent(plan, this->action, sentAt);
        metrics.sentTo(this->action.choice.distance).add();
    }
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;
    ~Attempt()
    {
        reportWrite();
        if (!isOver)
            m_dispatcher.endpoints().requestEnded(
                action.choice.endpoint, sentAt, EndpointEvidence::Unrelated, monotonicNow());
        discardResponse();
    }

    // Releases a response that is not relayed. After a complete read its connection is back in the connection pool and
    // may already be serving another request, so it must not be closed here.
    void discardResponse()
    {
        if (!response)
            return;
        const bool hasEnded = body && body->hasEnded();
        if (!hasEnded)
            response->abandon();
        response.reset();
    }

    bool mustReportWrite() const { return m_mustReportWrite; }
    // Call when the request has been written or will not be. Only the first call has an effect.
    void reportWrite()
    {
        if (std::exchange(m_mustReportWrite, false))
            m_dispatcher.written(action, sentAt, monotonicNow());
    }

    const SendRequest action;
    const TimePoint sentAt;
    bool isOver = false; // The end of the attempt has been reported to the dispatcher.
    std::optional<IncomingResponse> response;
    std::optional<ReplayableBody> body; // The response body.
    // The response can be relayed: its head was accepted and its body has begun. A cancellation may leave a response of
    // which neither is true.
    bool isAnswered = false;

private:
    Dispatcher& m_dispatcher;
    bool m_mustReportWrite = false;
};

asio::awaitable<bool> DispatchRunner::sendAndRelay(
    RequestState& state, const SendRequest& action, const ResponseWriter& writer)
{
    Attempt first(m_dispatcher, m_metrics, state.plan, action);
    countColdSend(action);
    std::optional<Attempt> hedge;
    if (action.hedgeAfter && state.head.bodyLength.kind == BodyLength::Kind::None)
        co_await (runFirstAttempt(state, first, hedge) || runHedge(state, first, hedge));
    else
        co_await runFirstAttempt(state, first, hedge);
    Attempt* winner = first.isAnswered ? &first : nullptr;
    if (!winner && hedge && hedge->isAnswered)
        winner = &*hedge;
    if (!winner)
        co_return false;
    if (winner != &first && !first.isOver) {
        m_dispatcher.lostToHedge(state.plan, first.action, first.sentAt, monotonicNow());
        first.isOver = true;
    }
    // At the time limit an answer that has not begun can still be replaced by an error.
    if (!winner->body->hasEnded()) {
        const bool isTurn = co_await awaitTurn(state, writer);
        if (!isTurn)
            co_return true;
    }
    co_await relay(state, *winner, writer);
    co_return true;
}

asio::awaitable<void> DispatchRunner::runFirstAttempt(
    RequestState& state, Attempt& first, const std::optional<Attempt>& hedge)
{
    co_await exchange(state, first);
    const bool isHedgeRunning = hedge && !hedge->isOver;
    if (!first.isAnswered && isHedgeRunning)
        co_await waitUntil(TimePoint::max());
}

asio::awaitable<void> DispatchRunner::runHedge(RequestState& state, const Attempt& first, std::optional<Attempt>& hedge)
{
    // Usually the response arrives first and cancels this wait; a hedge that is not sent takes nothing from the
    // budgets.
    const bool isDue = co_await waitUntil(first.sentAt + *first.action.hedgeAfter);
    if (!isDue)
        co_return;
    if (const auto loadQuery = m_dispatcher.prepareHedge(state.plan, context())) {
        co_await m_loadQuerier.queryEndpoints(*loadQuery);
        const auto cancellation = co_await asio::this_coro::cancellation_state;
        if (cancellation.cancelled() != asio::cancellation_type::none)
            co_return;
        auto action = m_dispatcher.hedge(state.plan, context());
        while (!action) {
            const auto delay = m_dispatcher.hedgeRetryDelay(state.plan, monotonicNow());
            if (!delay)
                break;
            const bool isRetryDue = co_await waitUntil(monotonicNow() + *delay);
            if (!isRetryDue || cancellation.cancelled() != asio::cancellation_type::none)
                co_return;
            action = m_dispatcher.hedge(state.plan, context());
        }
        if (action) {
            m_metrics.hedges.add();
            hedge.emplace(m_dispatcher, m_metrics, state.plan, *std::move(action));
            countColdSend(hedge->action);
            EventLine line(EventKind::Failure, "copied");
            line.add("id", state.id.value()).add("endpoint", hedge->action.choice.endpoint.value());
            line.add("first", first.action.choice.endpoint.value());
            addRetryBalance(line, state.plan);
            line.addMilliseconds("ms", monotonicNow() - state.plan.receivedAt());
            m_events.add(std::move(line), monotonicNow());
            co_await exchange(state, *hedge);
        }
    }
    // If the hedge got no response, the first attempt may still get one.
    const bool isAnswered = hedge && hedge->isAnswered;
    if (!isAnswered && !first.isOver)
        co_await waitUntil(TimePoint::max());
}

asio::awaitable<void> DispatchRunner::exchange(RequestState& state, Attempt& attempt)
{
    auto request = makeUpstreamRequest(state, attempt.action);
    if (attempt.mustReportWrite())
        request.headWritten = [&attempt] { attempt.reportWrite(); };
    auto response = co_await m_upstreams.exchange(
        attempt.action.choice.address, std::move(request), toSteadyClock(state.plan.deadline()));
    attempt.reportWrite();
    if (!response) {
        recordFailure(state, attempt, response.error());
        co_return;
    }
    const auto description = m_codec.readResponseHead(response->head);
    attempt.response = std::move(*response);
    if (rejectUnusableResponse(state, attempt, description)) {
        attempt.discardResponse();
        co_return;
    }
    const bool hasBody = co_await awaitBody(state, attempt);
    if (!hasBody) {
        attempt.discardResponse();
        co_return;
    }
    const bool isServerError = attempt.response->head.status >= 500;
    const auto evidence = isServerError ? EndpointEvidence::ServerError : EndpointEvidence::Served;
    const TimePoint now = monotonicNow();
    const auto bytes = attempt.response->head.bodyLength.bytes;
    m_dispatcher.answered(state.plan, attempt.action, evidence, bytes, attempt.sentAt, now);
    if (description.load)
        m_dispatcher.endpoints().recordReportFromResponse(attempt.action.choice.endpoint, *description.load, now);
    attempt.isOver = true;
    attempt.isAnswered = true;
}

asio::awaitable<bool> DispatchRunner::awaitBody(RequestState& state, Attempt& attempt)
{
    const auto resized = [&state](std::size_t bytes) { state.progress.kept(state.body.memory() + bytes); };
    attempt.body.emplace(attempt.response->readBody, answerPrefetch, resized);
    const auto result = co_await (attempt.body->prefetch() || waitUntil(state.plan.deadline()));
    // The other attempt has finished first, or the caller has disconnected.
    if (const auto* isLate = std::get_if<1>(&result); isLate && !*isLate)
        co_return false;
    ExchangeError error { ErrorKind::DeadlineExceeded, false, "the answer's body did not arrive in time" };
    if (const auto* prefetched = std::get_if<0>(&result)) {
        if (*prefetched)
            co_return true;
        error = prefetched->error();
    }
    recordFailure(state, attempt, error);
    co_return false;
}

void DispatchRunner::recordFailure(RequestState& state, Attempt& attempt, const ExchangeError& error)
{
    // The other attempt has finished first, or the caller has disconnected.
    if (error.kind == ErrorKind::Cancelled)
        return;
    const TimePoint now = monotonicNow();
    EventLine line(EventKind::Failure, "send-failed");
    line.add("id", state.id.value()).add("endpoint", attempt.action.choice.endpoint.value());
    line.add("error", answerFor(error.kind).name).add("detail", error.detail);
    line.add("notRun", error.provenNotRun).addMilliseconds("ms", now - attempt.sentAt);
    m_events.add(std::move(line), now);
    const SendFailure failure { error.kind, error.provenNotRun, !error.provenNotRun };
    m_dispatcher.failed(state.plan, attempt.action, evidenceOf(error), failure, attempt.sentAt, now);
    attempt.isOver = true;
}

bool DispatchRunner::rejectUnusableResponse(RequestState& state, Attempt& attempt, const AnswerDescription& description)
{
    const TimePoint now = monotonicNow();
    const unsigned status = attempt.response->head.status;
    SendFailure failure { ErrorKind::UpstreamFailed, false, true };
    EndpointEvidence evidence;
    if (description.isMisdirected) {
        failure.provenNotRun = true;
        evidence = EndpointEvidence::Misdirected;
    } else if (description.provenNotRun) {
        failure = { ErrorKind::UpstreamRefused, true, true };
        evidence = EndpointEvidence::Refused;
    } else if (!description.isSigned) {
        evidence = EndpointEvidence::Broken;
    } else if (status >= 500 && m_dispatcher.mayRepeatServerError(state.plan, now)) {
        evidence = EndpointEvidence::ServerError;
    } else {
        return false;
    }
    EventLine line(EventKind::Failure, "turned-down");
    line.add("id", state.id.value()).add("endpoint", attempt.action.choice.endpoint.value());
    line.add("status", std::uint64_t(status)).add("notRun", failure.provenNotRun).add("signed", description.isSigned);
    m_events.add(std::move(line), now);
    m_dispatcher.failed(state.plan, attempt.action, evidence, failure, attempt.sentAt, now);
    attempt.isOver = true;
    return true;
}

asio::awaitable<void> DispatchRunner::relay(RequestState& state, Attempt& attempt, const ResponseWriter& writer)
{
    IncomingResponse answer = *std::exchange(attempt.response, std::nullopt);
    answer.readBody = attempt.body->reader();
    const auto noOp = [] {};
    RelayOutcome outcome;
    if (attempt.body->hasEnded()) {
        answer.abandon = noOp;
        outcome = co_await relayAnswer(answer, writer, noOp);
    } else {
        // The rest of the body is streamed. At the time limit the response is visibly truncated.
        const auto result = co_await (relayAnswer(answer, writer, noOp) || waitUntil(state.plan.deadline()));
        if (const auto* relayed = std::get_if<0>(&result))
            outcome = *relayed;
        else if (std::get<1>(result)) // Else the caller has disconnected.
            outcome.result = RelayResult::SourceFailed;
    }
    (outcome.result == RelayResult::Complete ? m_metrics.relayed : m_metrics.broken).add();
    logAnswer(state, attempt, outcome.result);
}

void DispatchRunner::countColdSend(const SendRequest& action)
{
    if (action.choice.isCold)
        m_metrics.coldSends.add();
}

void DispatchRunner::logAnswer(const RequestState& state, const Attempt& attempt, RelayResult result)
{
    const TimePoint now = monotonicNow();
    EventLine line(result == RelayResult::Complete ? EventKind::Request : EventKind::Failure, "answered");
    line.add("id", state.id.value()).add("result", nameOf(result)).add("route", state.plan.route().id.value());
    line.add("service", state.plan.service().value()).add("version", state.plan.version());
    if (const auto age = configurationAge())
        line.addMilliseconds("configurationAgeMs", *age);
    line.add("sends", std::uint64_t(state.plan.sends())).add("asked", std::uint64_t(state.plan.endpointsProbed()));
    line.add("repeat", state.plan.isRepeat());
    line.addMilliseconds("elapsedAtCallerMs", state.plan.elapsedAtCaller());
    addChoice(line, attempt.action.choice);
    line.addMilliseconds("upstreamMs", now - attempt.sentAt).addMilliseconds("ms", now - state.plan.receivedAt());
    m_events.add(std::move(line), now);
}

OutgoingRequest DispatchRunner::makeUpstreamRequest(RequestState& state, const SendRequest& action)
{
    OutgoingRequest request;
    request.head = state.head;
    m_codec.addRequestFields(request.head.fields, state.plan.deadline() - monotonicNow(), action.choice.endpoint);
    request.isBodyBuffered = state.body.hasEnded();
    request.readBody = state.head.bodyLength.kind == BodyLength::Kind::None ? emptyBody() : state.body.reader();
    const auto& choice = action.choice;
    request.maySend = [this, &choice] { return m_withdrawals.maySend(choice.endpoint, choice.incarnation); };
    request.onHead = [this, &choice, &state](const ResponseHead& head) {
        m_withdrawals.observe(head, { choice.endpoint, choice.incarnation, "request", state.id.value() });
    };
    return request;
}

} // namespace dogwoodhall
