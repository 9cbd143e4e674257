#include "dogwoodhall/daemon/traffic/LoadAsker.h"

#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

// A health answer that takes longer means that the endpoint or the path to it is gone.
constexpr Duration healthTimeout = std::chrono::milliseconds(250);
constexpr ByteCount healthBodyLimit { 4096 };

} // namespace

LoadAsker::LoadAsker(asio::io_context& io, const RequestCodec& codec, EndpointBook& endpoints,
    UpstreamClient& upstreams, DaemonMetrics& metrics, EventLog& events)
    : m_io(io)
    , m_codec(codec)
    , m_endpoints(endpoints)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_events(events)
{
}

asio::awaitable<void> LoadAsker::ask(const AskEndpoints& question)
{
    const std::uint64_t id = m_nextRound++;
    struct Guard {
        std::unordered_map<std::uint64_t, Round>& rounds;
        std::uint64_t id;
        ~Guard() { rounds.erase(id); }
    } guard { m_rounds, id };
    const auto [it, isNew] = m_rounds.emplace(id, Round { question.endpoints.size(), asio::steady_timer(m_io) });
    auto& done = it->second.done;
    done.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(question.patience));
    for (const auto& endpoint : question.endpoints)
        asio::co_spawn(m_io, askOne(endpoint, question.healthPath, id), asio::detached);
    co_await done.async_wait(useTuple);
}

asio::awaitable<void> LoadAsker::askOne(DirectoryEndpoint endpoint, std::string healthPath, std::uint64_t round)
{
    const auto& registration = *endpoint.registration;
    OutgoingRequest request;
    request.head.method = "GET";
    request.head.target = healthPath;
    request.head.fields.add("Host", toString(registration.address));
    request.readBody = emptyBody();
    m_metrics.loadAsks.add();
    const TimePoint sentAt = monotonicNow();
    const auto deadline = toSteadyClock(sentAt + healthTimeout);
    auto response = co_await m_upstreams.exchange(registration.address, std::move(request), deadline);
    if (response) {
        auto body = co_await readWhole(*response, healthBodyLimit, deadline);
        if (body)
            noteHealthAnswer(endpoint, response->head, sentAt);
    } else {
        m_metrics.loadAsksUnanswered.add();
        // Connections can fall silent together; the others would cost a time-out each.
        if (response.error().onReusedConnection)
            m_upstreams.closeIdleTo(registration.address);
        m_endpoints.healthUnanswered(registration.id, response.error().onReusedConnection, monotonicNow());
    }
    const auto it = m_rounds.find(round);
    if (it != m_rounds.end() && --it->second.pending == 0)
        it->second.done.cancel();
}

void LoadAsker::noteHealthAnswer(const DirectoryEndpoint& endpoint, const ResponseHead& head, TimePoint sentAt)
{
    const auto& registration = *endpoint.registration;
    auto said = m_codec.read(head);
    const bool isOther = said.endpoint && *said.endpoint != registration.id;
    if (isOther || said.isMisdirected) {
        EventLine line(EventKind::Belief, "endpoint-gone");
        line.add("endpoint", registration.id.value()).add("address", toString(registration.address));
        m_events.add(std::move(line), monotonicNow());
        m_endpoints.foundGone(registration.id);
        return;
    }
    auto word = HealthWord::Healthy;
    if (said.provenNotRun && !said.load)
        said.load = LoadReport { registration.slots, SlotCount(0), registration.slots, 1 };
    else if (!said.provenNotRun && head.status != 200)
        word = head.closesConnection ? HealthWord::Closing : HealthWord::Unhealthy;
    m_endpoints.healthAnswered(registration.id, said.load, word, sentAt);
}

} // namespace dogwoodhall
