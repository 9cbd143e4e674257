#include "dogwoodhall/daemon/traffic/DispatchRunner.h"

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

// Bodies up to this size are kept, so that the request can be sent again.
constexpr ByteCount replayLimit { 64 * 1024 };
// Answers up to this size are read whole before they are passed on, so that one that breaks off can be asked for again.
constexpr ByteCount answerPrefetch { 128 * 1024 };
// Until the first configuration has been read; members are ready within a second of their start.
constexpr Duration notReadyRetry = std::chrono::milliseconds(200);
// Of an endpoint's connections, all members together keep half unused; the rest is for requests in flight.
constexpr std::size_t idlePart = 2;

EndpointEvidence evidenceOf(const ExchangeError& error)
{
    if (error.kind == ErrorKind::DeadlineExceeded)
        return EndpointEvidence::Silent;
    return isCallersFault(error.kind) ? EndpointEvidence::Unrelated : EndpointEvidence::Broken;
}

// What is known of an endpoint when it is chosen, or not chosen.
void addChoice(EventLine& line, const EndpointChoice& choice)
{
    line.add("endpoint", choice.endpoint.value()).add("running", choice.load.running.count());
    line.add("waiting", choice.load.waiting.count()).add("slots", choice.load.slots.count());
    line.addNumber("slowdown", choice.load.slowdown).addMilliseconds("reportAgeMs", choice.reportAge);
    line.addNumber("chance", choice.chance).addMilliseconds("expectedMs", choice.expected);
}

std::string_view nameOf(RelayResult result)
{
    switch (result) {
    case RelayResult::Whole:
        return "whole";
    case RelayResult::SourceFailed:
        return "endpoint-broke-off";
    case RelayResult::ReceiverFailed:
        break;
    }
    return "caller-left";
}

} // namespace

// One sending of a request to an endpoint. Tells the endpoint book that it is over, also where a cancellation ends it,
// and frees an answer that was not passed on.
class DispatchRunner::Sending {
public:
    Sending(Dispatcher& dispatcher, RequestPlan& plan, SendRequest action)
        : action(std::move(action))
        , sentAt(monotonicNow())
        , m_dispatcher(dispatcher)
    {
        m_dispatcher.sent(plan, this->action, sentAt);
    }
    Sending(const Sending&) = delete;
    Sending& operator=(const Sending&) = delete;
    ~Sending()
    {
        if (!isOver)
            m_dispatcher.endpoints().requestEnded(
                action.choice.endpoint, sentAt, EndpointEvidence::Unrelated, monotonicNow());
        dropAnswer();
    }

    // Frees an answer that is not passed on. The connection of one that has been read to its end is in the pool again,
    // perhaps in use by another request.
    void dropAnswer()
    {
        if (!response)
            return;
        const bool hasEnded = body && body->hasEnded();
        if (!hasEnded)
            response->abandon();
        response.reset();
    }

    const SendRequest action;
    const TimePoint sentAt;
    bool isOver = false; // Its end has been told to the dispatcher.
    std::optional<IncomingResponse> response; // To be passed on.
    std::optional<ReplayableBody> body; // Of the response.

private:
    Dispatcher& m_dispatcher;
};

DispatchRunner::DispatchRunner(
    asio::io_context& io, Options options, DaemonMetrics& metrics, RandomEngine& random, EventLog& events)
    : m_io(io)
    , m_codec(std::move(options.codec))
    , m_metrics(metrics)
    , m_random(random)
    , m_events(events)
    , m_dispatcher(std::move(options.limits))
    , m_upstreams(io.get_executor(),
          [this] {
              UpstreamLimits limits;
              limits.idleLimit = [this](const NetworkAddress&) { return m_idleLimit; };
              limits.correlation = m_codec.correlation;
              return limits;
          }())
    , m_asker(io, m_codec, m_dispatcher.endpoints(), m_upstreams, metrics, events)
    , m_snapshot(std::make_shared<Snapshot>())
{
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
        m_dispatcher.apply(snapshot->directory, snapshot->membersToCount, monotonicNow());
        std::size_t fewest = std::numeric_limits<std::size_t>::max();
        for (const auto& [id, service] : snapshot->directory->services())
            fewest = std::min<std::size_t>(fewest, service.declaration.maxConnections);
        m_idleLimit = std::max<std::size_t>(fewest / idlePart / snapshot->membersToCount, 1);
    };
    path.running = [this] { return m_running; };
    path.tick = [this] {
        m_upstreams.closeIdle();
        m_metrics.upstreamConnections.set(m_upstreams.connectionsOpened());
        m_metrics.retriesLeft.set(static_cast<std::uint64_t>(m_dispatcher.retriesLeft(monotonicNow())));
    };
    return path;
}

DecisionContext DispatchRunner::context() { return { monotonicNow(), m_random }; }

asio::awaitable<void> DispatchRunner::run(IncomingRequest request, const ResponseWriter& writer)
{
    RunningGuard guard(m_running);
    m_metrics.requests.add();
    const auto call = m_codec.describe(request.head.fields);
    if (!m_snapshot->isReady) {
        const RefuseRequest notReady { ErrorKind::NotReady, Outcome::NotRun, notReadyRetry };
        co_return co_await refuse(writer, call.id, notReady, nullptr);
    }
    const RouteQuery query { hostNameOf(request.head), pathOf(request.head.target), request.head.method };
    auto plan = m_dispatcher.admit(query, call.timeLeft, monotonicNow());
    if (!plan) {
        const RefuseRequest refusal { plan.error(), Outcome::NotRun, std::nullopt };
        co_return co_await refuse(writer, call.id, refusal, nullptr);
    }
    ReplayableBody body(std::move(request.readBody), replayLimit);
    Work work { std::move(request.head), std::move(body), std::move(*plan), call.id };
    co_await serve(work, writer);
}

asio::awaitable<void> DispatchRunner::serve(Work& work, const ResponseWriter& writer)
{
    if (work.head.bodyLength.kind != BodyLength::Kind::None) {
        // A slow sender holds no slot of an endpoint.
        auto prefetched = co_await work.body.prefetch();
        if (!prefetched) {
            const RefuseRequest refusal { prefetched.error().kind, Outcome::NotRun, std::nullopt };
            co_return co_await refuse(writer, work.id, refusal, &work.plan);
        }
    }
    while (true) {
        if (work.body.canRewind())
            work.body.rewind();
        else
            m_dispatcher.setBodyCannotBeReplayed(work.plan);
        const auto action = m_dispatcher.next(work.plan, context());
        if (const auto* question = std::get_if<AskEndpoints>(&action)) {
            co_await m_asker.ask(*question);
        } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
            co_return co_await refuse(writer, work.id, *refusal, &work.plan);
        } else {
            const bool isAnswered = co_await sendAndRelay(work, std::get<SendRequest>(action), writer);
            if (isAnswered)
                co_return;
            m_metrics.retries.add();
        }
    }
}

asio::awaitable<void> DispatchRunner::refuse(
    const ResponseWriter& writer, const CallId& id, const RefuseRequest& refusal, const RequestPlan* plan)
{
    const auto& answer = answerFor(refusal.kind);
    EventLine line(EventKind::Failure, "refused");
    line.add("id", id.value()).add("error", answer.name).add("status", std::uint64_t(answer.status));
    line.add("outcome", toString(refusal.outcome));
    if (plan) {
        line.add("route", plan->route().id.value()).add("service", plan->service().value());
        line.add("version", plan->version()).add("sends", std::uint64_t(plan->sends())).add("repeat", plan->isRepeat());
        line.add("asked", std::uint64_t(plan->endpointsAsked()));
        line.addMilliseconds("elapsedAtCallerMs", plan->elapsedAtCaller());
        line.addMilliseconds("ms", monotonicNow() - plan->receivedAt());
    }
    if (refusal.best)
        addChoice(line, *refusal.best);
    if (refusal.retryAfter)
        line.addMilliseconds("retryAfterMs", *refusal.retryAfter);
    m_events.add(std::move(line), monotonicNow());
    m_metrics.error(refusal.kind).add();
    co_await writeError(writer, refusal.kind, refusal.outcome, refusal.retryAfter);
}

asio::awaitable<bool> DispatchRunner::sendAndRelay(Work& work, const SendRequest& action, const ResponseWriter& writer)
{
    Sending first(m_dispatcher, work.plan, action);
    std::optional<Sending> copy;
    if (action.copyAfter && work.head.bodyLength.kind == BodyLength::Kind::None)
        co_await (sendFirst(work, first, copy) || sendCopy(work, first, copy));
    else
        co_await sendFirst(work, first, copy);
    Sending* winner = first.response ? &first : nullptr;
    if (!winner && copy && copy->response)
        winner = &*copy;
    if (!winner)
        co_return false;
    if (winner != &first && !first.isOver) {
        m_dispatcher.overtaken(work.plan, first.action, first.sentAt, monotonicNow());
        first.isOver = true;
    }
    co_await relay(work, *winner, writer);
    co_return true;
}

asio::awaitable<void> DispatchRunner::sendFirst(Work& work, Sending& first, const std::optional<Sending>& copy)
{
    co_await exchange(work, first);
    const bool mayCopyAnswer = copy && !copy->isOver;
    if (!first.response && mayCopyAnswer)
        co_await waitUntil(TimePoint::max());
}

asio::awaitable<void> DispatchRunner::sendCopy(Work& work, const Sending& first, std::optional<Sending>& copy)
{
    co_await waitUntil(first.sentAt + *first.action.copyAfter);
    if (const auto question = m_dispatcher.askForCopy(work.plan, context())) {
        co_await m_asker.ask(*question);
        if (auto action = m_dispatcher.copy(work.plan, context())) {
            m_metrics.hedges.add();
            copy.emplace(m_dispatcher, work.plan, *std::move(action));
            EventLine line(EventKind::Failure, "copied");
            line.add("id", work.id.value()).add("endpoint", copy->action.choice.endpoint.value());
            line.add("first", first.action.choice.endpoint.value());
            line.addMilliseconds("ms", monotonicNow() - work.plan.receivedAt());
            m_events.add(std::move(line), monotonicNow());
            co_await exchange(work, *copy);
        }
    }
    // Where the copy gave no answer the first sending may still have one.
    const bool isAnswered = copy && copy->response;
    if (!isAnswered && !first.isOver)
        co_await waitUntil(TimePoint::max());
}

asio::awaitable<void> DispatchRunner::exchange(Work& work, Sending& sending)
{
    auto request = outgoing(work, sending.action);
    auto response = co_await m_upstreams.exchange(
        sending.action.choice.address, std::move(request), toSteadyClock(work.plan.limit()));
    if (!response) {
        noteFailure(work, sending, response.error());
        co_return;
    }
    const auto said = m_codec.read(response->head);
    sending.response = std::move(*response);
    if (isTurnedDown(work, sending, said)) {
        sending.dropAnswer();
        co_return;
    }
    const bool hasBody = co_await awaitBody(work, sending);
    if (!hasBody) {
        sending.dropAnswer();
        co_return;
    }
    const bool isServerError = sending.response->head.status >= 500;
    const auto evidence = isServerError ? EndpointEvidence::ServerError : EndpointEvidence::Served;
    const TimePoint now = monotonicNow();
    const auto bytes = sending.response->head.bodyLength.bytes;
    m_dispatcher.answered(work.plan, sending.action, evidence, bytes, sending.sentAt, now);
    if (said.load)
        m_dispatcher.endpoints().reportedWithAnswer(sending.action.choice.endpoint, *said.load, now);
    sending.isOver = true;
}

asio::awaitable<bool> DispatchRunner::awaitBody(Work& work, Sending& sending)
{
    sending.body.emplace(sending.response->readBody, answerPrefetch);
    const auto result = co_await (sending.body->prefetch() || waitUntil(work.plan.limit()));
    ExchangeError error { ErrorKind::DeadlineExceeded, false, "the answer's body did not arrive in time" };
    if (const auto* prefetched = std::get_if<0>(&result)) {
        if (*prefetched)
            co_return true;
        error = prefetched->error();
    }
    noteFailure(work, sending, error);
    co_return false;
}

void DispatchRunner::noteFailure(Work& work, Sending& sending, const ExchangeError& error)
{
    // The sending was overtaken, or its caller has left.
    if (error.kind == ErrorKind::Cancelled)
        return;
    const TimePoint now = monotonicNow();
    EventLine line(EventKind::Failure, "send-failed");
    line.add("id", work.id.value()).add("endpoint", sending.action.choice.endpoint.value());
    line.add("error", answerFor(error.kind).name).add("detail", error.detail);
    line.add("notRun", error.provenNotRun).addMilliseconds("ms", now - sending.sentAt);
    m_events.add(std::move(line), now);
    const SendFailure failure { error.kind, error.provenNotRun, !error.provenNotRun };
    m_dispatcher.failed(work.plan, sending.action, evidenceOf(error), failure, sending.sentAt, now);
    sending.isOver = true;
}

bool DispatchRunner::isTurnedDown(Work& work, Sending& sending, const AnswerDescription& said)
{
    const TimePoint now = monotonicNow();
    const unsigned status = sending.response->head.status;
    SendFailure failure { ErrorKind::UpstreamFailed, false, true };
    EndpointEvidence evidence;
    if (said.isMisdirected) {
        failure.provenNotRun = true;
        evidence = EndpointEvidence::Misdirected;
    } else if (said.provenNotRun) {
        failure = { ErrorKind::UpstreamRefused, true, true };
        evidence = EndpointEvidence::Refused;
    } else if (!said.isWhole) {
        evidence = EndpointEvidence::Broken;
    } else if (status >= 500 && m_dispatcher.mayRepeatServerError(work.plan, now)) {
        evidence = EndpointEvidence::ServerError;
    } else {
        return false;
    }
    EventLine line(EventKind::Failure, "turned-down");
    line.add("id", work.id.value()).add("endpoint", sending.action.choice.endpoint.value());
    line.add("status", std::uint64_t(status)).add("notRun", failure.provenNotRun).add("signed", said.isWhole);
    m_events.add(std::move(line), now);
    m_dispatcher.failed(work.plan, sending.action, evidence, failure, sending.sentAt, now);
    sending.isOver = true;
    return true;
}

asio::awaitable<void> DispatchRunner::relay(Work& work, Sending& sending, const ResponseWriter& writer)
{
    IncomingResponse answer = *std::exchange(sending.response, std::nullopt);
    answer.readBody = sending.body->reader();
    const auto nothing = [] {};
    RelayOutcome outcome;
    if (sending.body->hasEnded()) {
        answer.abandon = nothing;
        outcome = co_await relayAnswer(answer, writer, nothing);
    } else {
        // The rest arrives while it is passed on; at the limit the answer breaks off visibly.
        const auto result = co_await (relayAnswer(answer, writer, nothing) || waitUntil(work.plan.limit()));
        if (const auto* relayed = std::get_if<0>(&result))
            outcome = *relayed;
        else
            outcome.result = RelayResult::SourceFailed;
    }
    (outcome.result == RelayResult::Whole ? m_metrics.relayed : m_metrics.broken).add();
    logAnswer(work, sending, outcome.result);
}

void DispatchRunner::logAnswer(const Work& work, const Sending& sending, RelayResult result)
{
    const TimePoint now = monotonicNow();
    EventLine line(result == RelayResult::Whole ? EventKind::Request : EventKind::Failure, "answered");
    line.add("id", work.id.value()).add("result", nameOf(result)).add("route", work.plan.route().id.value());
    line.add("service", work.plan.service().value()).add("version", work.plan.version());
    line.add("sends", std::uint64_t(work.plan.sends())).add("asked", std::uint64_t(work.plan.endpointsAsked()));
    line.add("repeat", work.plan.isRepeat());
    line.addMilliseconds("elapsedAtCallerMs", work.plan.elapsedAtCaller());
    addChoice(line, sending.action.choice);
    line.addMilliseconds("upstreamMs", now - sending.sentAt).addMilliseconds("ms", now - work.plan.receivedAt());
    m_events.add(std::move(line), now);
}

asio::awaitable<void> DispatchRunner::waitUntil(TimePoint at)
{
    const auto time = at == TimePoint::max() ? asio::steady_timer::time_point::max() : toSteadyClock(at);
    asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(useTuple);
}

OutgoingRequest DispatchRunner::outgoing(Work& work, const SendRequest& action)
{
    OutgoingRequest request;
    request.head = work.head;
    m_codec.address(request.head.fields, work.plan.limit() - monotonicNow(), action.choice.endpoint);
    request.readBody = work.head.bodyLength.kind == BodyLength::Kind::None ? emptyBody() : work.body.reader();
    return request;
}

} // namespace dogwoodhall
