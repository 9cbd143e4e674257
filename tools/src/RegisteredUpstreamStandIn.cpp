#include "StandInOptions.h"
#include "StandInServer.h"

#include "dogwoodhall/exchange/WholeBody.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>
#include <vector>

// Stand-in for an endpoint of the users' platform, written from the platform's published page. Each execution of a
// request is appended to --runs-file as a line with the attempt id. Each request that arrives, run or not, is appended
// to the file of that name with the ending ".arrivals", as the attempt id and the arrival in milliseconds of the
// monotonic clock. GET /health reports the load. GET /control/received returns the number of requests, GET
// /control/health-calls that of health calls, GET /control/busiest-second the most requests that arrived within any
// second, GET /control/busiest-cold-second the same while the endpoint was cold, both by the times at which the kernel
// received them.
//
// PUT /control/mode?name=value&... sets how requests are answered until the next such call:
//   fault=busy|refuse|refuse-late-extra|refuse-before|refuse-other|misdirected|cut|cut-unrun|truncate|extra|late-extra|other|
//         unsigned|unframed|error|hang|early
//       refuse and misdirected do not execute the request, and the response proves it; cut closes the connection after
//       the execution, cut-unrun before it; refuse-late-extra refuses and sends the refusal again when the connection
//       may be in use again; refuse-before refuses every other request and sends the refusal again before the response
//       to the next one; refuse-other executes the request and refuses it with the id of another one; extra sends a
//       second response, late-extra sends it when the connection may be in use again; other responds with the id of
//       another request; hang does not respond for a minute; early responds with an error before it reads the body
//   delay_ms=<n>   delay before the response
//   warmup_ms=<n>  how long the endpoint says that it stays cold, from this call on; 0 for warm
//   status=<n>    status of the response, also one that HTTP does not have
//   padding=<n>   bytes after the text of the response; head_padding=<n> bytes of a field of its head
//   leaving=<value>   value of Server-Leaving in all answers; leaving_in=request|health|interim limits it to answers to
//       requests, to health calls, or to an interim head before the answer to a request
//   retry_after=<value>   value of Retry-After in each 503; fault=busy refuses with a 503 that proves nothing
//   running=<n>, slowdown=<percent>   load that /health reports; health=<status> sets its status,
//                                     health_delay_ms=<n> the delay before its response

namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr std::string_view attemptIdField = "Dogwoodhall-Attempt-Id";
constexpr std::uint64_t slots = 3;
constexpr std::uint64_t lateExtraMs = 100;
// Resolution of the arrival times: two requests that are counted a second apart may be closer by this.
constexpr std::chrono::milliseconds arrivalTick { 10 };

using Clock = std::chrono::steady_clock;

struct EndpointOptions {
    NetworkAddress address;
    std::string id;
    std::string runsFile;
};

class ArrivalTimes {
public:
    void add(Clock::time_point at) { m_times.push_back(at); }

    std::size_t mostInASecond() const
    {
        auto times = m_times;
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        auto first = times.begin();
        for (auto last = times.begin(); last != times.end(); ++last) {
            while (*last - *first >= std::chrono::seconds(1) + arrivalTick)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

private:
    std::vector<Clock::time_point> m_times; // In the order in which the requests were read.
};

class RegisteredUpstream {
public:
    explicit RegisteredUpstream(EndpointOptions options)
        : m_options(std::move(options))
        , m_server(m_options.address,
              [this](IncomingRequest request, ResponseWriter writer, Clock::time_point arrivedAt) {
                  return handle(std::move(request), std::move(writer), arrivedAt);
              })
        , m_runsFile(openToAppend(m_options.runsFile))
        , m_arrivalsFile(openToAppend(m_options.runsFile + ".arrivals"))
    {
    }

    void run() { m_server.run(); }

private:
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter, Clock::time_point arrivedAt);
    asio::awaitable<void> handleHealth(const ResponseWriter&);
    asio::awaitable<void> serve(IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> refuse(const ResponseWriter&, const std::string& id, bool isSentAgain);
    asio::awaitable<void> refuseBefore(const ResponseWriter&, const std::string& id);
    asio::awaitable<void> refuseBusy(const ResponseWriter&, const std::string& id);
    asio::awaitable<void> answer(const ResponseWriter&, const std::string& id);
    asio::awaitable<void> answerAfterInterimHead(const ResponseWriter&, const std::string& id);
    // Adds what the mode says to answers of this kind, "request" or "health".
    void addWithdrawal(HeaderFields&, std::string_view kind, unsigned status) const;
    asio::awaitable<void> pause(std::uint64_t milliseconds);
    static int openToAppend(const std::string& path)
    {
        return ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    }
    static void append(int file, const std::string& line);
    void recordRun(const std::string& id) const { append(m_runsFile, id + "\n"); }
    void recordArrival(const std::string& id, Clock::time_point at) const;
    std::uint64_t warmUpLeftMs() const;
    bool isFault(std::string_view name) const { return m_mode.text("fault") == name; }

    EndpointOptions m_options;
    StandInServer m_server;
    int m_runsFile;
    int m_arrivalsFile;
    Target m_mode;
    Clock::time_point m_modeSince;
    std::uint64_t m_received = 0;
    std::uint64_t m_healthCalls = 0;
    ArrivalTimes m_arrivals;
    ArrivalTimes m_coldArrivals;
    std::string m_refusedId; // Of the last request that refuse-before refused; empty after its refusal was sent again.
};

asio::awaitable<void> RegisteredUpstream::pause(std::uint64_t milliseconds)
{
    asio::steady_timer timer(m_server.io(), std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void RegisteredUpstream::append(int file, const std::string& line)
{
    if (::write(file, line.data(), line.size()) < 0)
        std::perror("registered-upstream-standin: cannot write the runs");
}

void RegisteredUpstream::recordArrival(const std::string& id, Clock::time_point at) const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    append(m_arrivalsFile, id + " " + std::to_string(ms) + "\n");
}

std::uint64_t RegisteredUpstream::warmUpLeftMs() const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_modeSince).count();
    const auto stated = m_mode.number("warmup_ms", 0);
    return stated - std::min(stated, static_cast<std::uint64_t>(elapsed));
}

asio::awaitable<void> RegisteredUpstream::handle(
    IncomingRequest request, ResponseWriter writer, Clock::time_point arrivedAt)
{
    const auto target = parseTarget(request.head.target);
    if (target.path == "/control/mode") {
        m_mode = target;
        m_modeSince = Clock::now();
        co_await writeAnswer(writer, 200, "ok\n");
    } else if (target.path == "/control/received") {
        co_await writeAnswer(writer, 200, std::to_string(m_received));
    } else if (target.path == "/control/busiest-second") {
        co_await writeAnswer(writer, 200, std::to_string(m_arrivals.mostInASecond()));
    } else if (target.path == "/control/busiest-cold-second") {
        co_await writeAnswer(writer, 200, std::to_string(m_coldArrivals.mostInASecond()));
    } else if (target.path == "/control/health-calls") {
        co_await writeAnswer(writer, 200, std::to_string(m_healthCalls));
    } else if (target.path == "/health") {
        ++m_healthCalls;
        co_await pause(m_mode.number("health_delay_ms", 0));
        co_await handleHealth(writer);
    } else {
        ++m_received;
        m_arrivals.add(arrivedAt);
        recordArrival(std::string(request.head.fields.find(attemptIdField).value_or("")), arrivedAt);
        if (warmUpLeftMs() > 0 && arrivedAt >= m_modeSince)
            m_coldArrivals.add(arrivedAt);
        co_await serve(std::move(request), writer);
    }
}

asio::awaitable<void> RegisteredUpstream::handleHealth(const ResponseWriter& writer)
{
    HeaderFields fields;
    fields.add("Dogwoodhall-Instance-Id", m_options.id);
    fields.add("Dogwoodhall-Backend-Load",
        std::to_string(m_mode.number("running", 0)) + ",0," + std::to_string(slots) + ","
            + std::to_string(m_mode.number("slowdown", 100)));
    if (const auto left = warmUpLeftMs())
        fields.add("Dogwoodhall-Warmup-Ms", std::to_string(left));
    const auto status = static_cast<unsigned>(m_mode.number("health", 200));
    addWithdrawal(fields, "health", status);
    co_await writeAnswer(writer, status, "", fields);
}

asio::awaitable<void> RegisteredUpstream::serve(IncomingRequest request, const ResponseWriter& writer)
{
    const std::string id(request.head.fields.find(attemptIdField).value_or(""));
    HeaderFields fields;
    fields.add(std::string(attemptIdField), id);
    const bool isOther = request.head.fields.find("Dogwoodhall-Expected-Instance").value_or("") != m_options.id;
    if (isOther || isFault("misdirected")) {
        co_await writeAnswer(writer, 421, "", fields);
        co_return;
    }
    if (isFault("busy"))
        co_return co_await refuseBusy(writer, id);
    if (isFault("refuse") || isFault("refuse-late-extra"))
        co_return co_await refuse(writer, id, isFault("refuse-late-extra"));
    if (isFault("refuse-before") && m_refusedId.empty()) {
        m_refusedId = id;
        co_return co_await refuse(writer, id, false);
    }
    if (isFault("early")) {
        co_await writeAnswer(writer, 500, "", fields);
        co_return;
    }
    co_await discardBody(request.readBody);
    if (isFault("cut-unrun"))
        co_return;
    recordRun(id);
    co_await pause(m_mode.number("delay_ms", 0));
    if (isFault("hang"))
        co_await pause(60'000);
    if (isFault("refuse-other"))
        co_await refuse(writer, "another", false);
    else if (isFault("refuse-before"))
        co_await refuseBefore(writer, id);
    else if (m_mode.text("leaving_in") == "interim")
        co_await answerAfterInterimHead(writer, id);
    else if (!isFault("cut"))
        co_await answer(writer, id);
}

std::string refusalText(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + std::string(attemptIdField) + ": " + id
        + "\r\nDogwoodhall-Not-Executed: 1\r\n\r\n";
}

asio::awaitable<void> RegisteredUpstream::refuse(const ResponseWriter& writer, const std::string& id, bool isSentAgain)
{
    ResponseHead head;
    head.status = 503;
    head.fields.add(std::string(attemptIdField), id);
    head.fields.add("Dogwoodhall-Not-Executed", "1");
    addWithdrawal(head.fields, "request", head.status);
    co_await writer.writeHead(head);
    if (isSentAgain) {
        co_await pause(lateExtraMs);
        const auto text = refusalText(id);
        co_await writer.writeBody(asio::buffer(text));
    }
    co_await writer.finish();
}

// The refusal of an earlier request, followed by the response to this one.
asio::awaitable<void> RegisteredUpstream::refuseBefore(const ResponseWriter& writer, const std::string& id)
{
    const std::string text = m_options.id + " served " + id + "\n";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n"
        + std::string(attemptIdField) + ": " + id + "\r\nDogwoodhall-Response-Signature: signed-" + id + "\r\n\r\n"
        + text;
    const auto refusedId = std::exchange(m_refusedId, {});
    ResponseHead head;
    head.status = 503;
    head.fields.add(std::string(attemptIdField), refusedId);
    head.fields.add("Dogwoodhall-Not-Executed", "1");
    co_await writer.writeHead(head);
    co_await writer.writeBody(asio::buffer(response));
    co_await writer.finish();
}

void RegisteredUpstream::addWithdrawal(HeaderFields& fields, std::string_view kind, unsigned status) const
{
    const auto leaving = m_mode.text("leaving");
    const auto leavingIn = m_mode.text("leaving_in");
    if (!leaving.empty() && (leavingIn.empty() || leavingIn == kind))
        fields.add("Server-Leaving", std::string(leaving));
    const auto retryAfter = m_mode.text("retry_after");
    if (status == 503 && !retryAfter.empty())
        fields.add("Retry-After", std::string(retryAfter));
}

asio::awaitable<void> RegisteredUpstream::refuseBusy(const ResponseWriter& writer, const std::string& id)
{
    HeaderFields fields;
    fields.add(std::string(attemptIdField), id);
    addWithdrawal(fields, "request", 503);
    co_await writeAnswer(writer, 503, "", fields);
}

asio::awaitable<void> RegisteredUpstream::answerAfterInterimHead(const ResponseWriter& writer, const std::string& id)
{
    const std::string text = m_options.id + " served " + id + "\n";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n"
        + std::string(attemptIdField) + ": " + id + "\r\nDogwoodhall-Response-Signature: signed-" + id + "\r\n\r\n"
        + text;
    ResponseHead head;
    head.status = 103;
    head.fields.add("Server-Leaving", std::string(m_mode.text("leaving")));
    co_await writer.writeHead(head);
    co_await writer.writeBody(asio::buffer(response));
    co_await writer.finish();
}

asio::awaitable<void> RegisteredUpstream::answer(const ResponseWriter& writer, const std::string& id)
{
    const std::string text = m_options.id + " served " + id + "\n"
        + std::string(static_cast<std::size_t>(m_mode.number("padding", 0)), 'p');
    ResponseHead head;
    head.status = isFault("error") ? 500 : static_cast<unsigned>(m_mode.number("status", 200));
    head.fields.add(std::string(attemptIdField), isFault("other") ? "another" : id);
    if (!isFault("unsigned"))
        head.fields.add("Dogwoodhall-Response-Signature", "signed-" + id);
    if (const auto padding = m_mode.number("head_padding", 0))
        head.fields.add("X-Padding", std::string(static_cast<std::size_t>(padding), 'p'));
    addWithdrawal(head.fields, "request", head.status);
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(text.size()) };
    if (isFault("unframed"))
        head.bodyLength = { BodyLength::Kind::Streamed, {} };
    co_await writer.writeHead(head);
    const std::size_t size = isFault("truncate") ? text.size() / 2 : text.size();
    co_await writer.writeBody(asio::buffer(text.data(), size));
    if (isFault("truncate"))
        co_return;
    if (isFault("extra") || isFault("late-extra")) {
        if (isFault("late-extra"))
            co_await pause(lateExtraMs);
        const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + std::string(attemptIdField) + ": " + id
            + "\r\nDogwoodhall-Response-Signature: x\r\n\r\nextra\n";
        co_await writer.writeBody(asio::buffer(extra));
    }
    co_await writer.finish();
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    options::options_description description("registered-upstream-standin");
    description.add_options()("id", options::value<std::string>()->default_value("i-1"), "id in the registry");
    description.add_options()("runs-file", options::value<std::string>()->required(), "appended at each run");
    const auto arguments = dogwoodhall::parseStandInArguments(argc, argv, std::move(description));
    const auto& others = arguments.others;
    dogwoodhall::RegisteredUpstream(
        { arguments.listen, others["id"].as<std::string>(), others["runs-file"].as<std::string>() })
        .run();
}
