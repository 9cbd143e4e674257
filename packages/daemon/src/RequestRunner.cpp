#include "dogwoodhall/daemon/RequestRunner.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace dogwoodhall {

namespace {

constexpr unsigned maxAttempts = 3;
constexpr unsigned retryReserve = 10;
constexpr ByteCount replayLimit { 64 * 1024 };
constexpr std::size_t relayBufferBytes = 16 * 1024;

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view hostNameOf(const RequestHead& head)
{
    const auto host = head.fields.find("Host").value_or("");
    return host.substr(0, host.find(':'));
}

std::optional<Duration> durationField(const HeaderFields& fields, std::string_view name)
{
    auto text = fields.find(name);
    std::int64_t ms = 0;
    if (!text)
        return std::nullopt;
    auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (ec != std::errc() || end != text->data() + text->size() || ms <= 0)
        return std::nullopt;
    return std::chrono::milliseconds(ms);
}

std::optional<SlotCount> slotField(const HeaderFields& fields, std::string_view name)
{
    auto text = fields.find(name);
    std::uint64_t n = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), n).ec != std::errc())
        return std::nullopt;
    return SlotCount(n);
}

bool isRefusal(const ResponseHead& head) { return head.status == 503 && head.fields.find(fields::refused) == "1"; }

} // namespace

struct RequestRunner::Work {
    RequestHead head;
    ReplayableBody body;
    Route route;
    PoolId pool;
    TimePoint deadline;
    RequestLifecycle lifecycle;
    std::vector<EndpointId> excluded;
};

struct RequestRunner::Attempt {
    SlotLease lease;
    TimePoint startedAt;
    bool answerStarted = false;
    Completion completion;

    void finish(CompletionResult result)
    {
        completion.result = result;
        completion.serviceTime = monotonicNow() - startedAt;
        lease.complete(completion);
    }
};

RequestRunner::RequestRunner(SlotGateway& slots, UpstreamClient& upstreams, DataCentreId own)
    : m_slots(slots)
    , m_upstreams(upstreams)
    , m_dataCentre(std::move(own))
    , m_snapshot(std::make_shared<Snapshot>())
{
}

asio::awaitable<void> RequestRunner::run(IncomingRequest request, ResponseWriter writer)
{
    if (!m_snapshot->isReady) {
        co_await writeError(writer, ErrorKind::NotReady, Outcome::NotRun);
        co_return;
    }
    auto route = this->route(request.head);
    auto pool = route ? choosePool(*route) : std::nullopt;
    if (!pool) {
        co_await writeError(writer, route ? ErrorKind::NoEndpoint : ErrorKind::NoRoute, Outcome::NotRun);
        co_return;
    }
    const Duration allowed
        = std::min(route->deadline, durationField(request.head.fields, fields::deadlineMs).value_or(route->deadline));
    Work work { std::move(request.head), ReplayableBody(std::move(request.readBody), replayLimit), *route, *pool,
        monotonicNow() + allowed, RequestLifecycle(route->isIdempotent, maxAttempts), {} };
    co_await runAttempts(work, writer);
}

asio::awaitable<void> RequestRunner::runAttempts(Work& work, const ResponseWriter& writer)
{
    while (auto failure = co_await attempt(work, writer)) {
        failure->bodyCanBeReplayed = work.body.canRewind();
        auto next = work.lifecycle.attemptFailed(*failure, retryBudget(work.route.service));
        if (const auto* answer = std::get_if<AnswerWithError>(&next)) {
            co_await writeError(writer, answer->kind, answer->outcome);
            co_return;
        }
        work.body.rewind();
    }
}

// Empty where the request is finished: answered whole, broken visibly, or refused by its pool.
asio::awaitable<std::optional<AttemptFailure>> RequestRunner::attempt(Work& work, const ResponseWriter& writer)
{
    PoolRequest wanted { {}, work.route.workClass.value_or(WorkClass::Short), work.route.priority, work.deadline,
        work.excluded };
    auto lease = co_await m_slots.acquire(work.pool, wanted);
    if (!lease) {
        const auto answer = work.lifecycle.endWithoutAttempt(lease.error());
        co_await writeError(writer, answer.kind, answer.outcome);
        co_return std::nullopt;
    }
    Attempt attempt { std::move(*lease), monotonicNow(), false, {} };
    work.lifecycle.attemptStarted();
    work.excluded.push_back(attempt.lease.endpoint());
    const auto* endpoint = this->endpoint(work.route.service, attempt.lease.endpoint());
    if (!endpoint)
        co_return AttemptFailure { ErrorKind::NoEndpoint, true, true };

    OutgoingRequest outgoing { work.head, work.body.reader() };
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(work.deadline - monotonicNow());
    outgoing.head.fields.set(std::string(fields::deadlineMs), std::to_string(std::max<std::int64_t>(1, left.count())));
    auto response = co_await m_upstreams.exchange(endpoint->address, std::move(outgoing), toSteadyClock(work.deadline));
    if (!response) {
        const auto& error = response.error();
        attempt.finish(error.provenNotRun ? CompletionResult::ConnectFailed : CompletionResult::Failed);
        co_return AttemptFailure { error.kind, error.provenNotRun, true };
    }
    attempt.completion.reportedInUse = slotField(response->head.fields, fields::load);
    attempt.completion.isDraining = response->head.fields.find(fields::draining) == "1";
    if (isRefusal(response->head)) {
        response->abandon();
        attempt.finish(CompletionResult::Refused);
        co_return AttemptFailure { ErrorKind::UpstreamRefused, true, true };
    }
    co_return co_await relay(*response, attempt, writer);
}

asio::awaitable<std::optional<AttemptFailure>> RequestRunner::relay(
    IncomingResponse& response, Attempt& attempt, const ResponseWriter& writer)
{
    // Frees the connection when the caller goes away in the middle of the answer.
    struct Guard {
        IncomingResponse& response;
        bool ended = false;
        ~Guard()
        {
            if (!ended)
                response.abandon();
        }
    } guard { response };

    if (!co_await writer.writeHead(response.head))
        co_return std::nullopt;
    std::vector<char> buf(relayBufferBytes);
    while (true) {
        auto n = co_await response.readBody(asio::buffer(buf));
        if (!n || *n == 0) {
            guard.ended = true;
            attempt.finish(n ? CompletionResult::Answered : CompletionResult::Failed);
            if (n)
                co_await writer.finish();
            co_return std::nullopt;
        }
        if (!co_await writer.writeBody(asio::buffer(buf.data(), *n)))
            co_return std::nullopt;
    }
}

std::optional<Route> RequestRunner::route(const RequestHead& head) const
{
    return m_snapshot->routes.find({ hostNameOf(head), pathOf(head.target), head.method });
}

std::optional<PoolId> RequestRunner::choosePool(const Route& route) const
{
    const auto* service = m_snapshot->routes.service(route.service);
    if (!service || service->endpoints.empty())
        return std::nullopt;
    const auto isLocal = [&](const EndpointDeclaration& endpoint) { return endpoint.dataCentre == m_dataCentre; };
    auto it = std::find_if(service->endpoints.begin(), service->endpoints.end(), isLocal);
    const auto& chosen = it != service->endpoints.end() ? *it : service->endpoints.front();
    return PoolId { route.service, chosen.dataCentre };
}

const EndpointDeclaration* RequestRunner::endpoint(const ServiceId& serviceId, const EndpointId& id) const
{
    const auto* service = m_snapshot->routes.service(serviceId);
    if (!service)
        return nullptr;
    auto it = std::find_if(
        service->endpoints.begin(), service->endpoints.end(), [&](const auto& endpoint) { return endpoint.id == id; });
    return it == service->endpoints.end() ? nullptr : &*it;
}

RetryBudget& RequestRunner::retryBudget(const ServiceId& id)
{
    const auto* service = m_snapshot->routes.service(id);
    const Fraction share = service ? service->limits.retryShare : Fraction(0.1);
    return m_retryBudgets.try_emplace(id, share, retryReserve).first->second;
}

} // namespace dogwoodhall
