#include "StandInOptions.h"
#include "StandInServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

// Stand-in for an upstream endpoint. It executes at most --slots requests at a time and refuses the others. A request
// is executed once its whole body has been received, and ends if its caller closes the connection. Each execution is
// appended as a line to --runs-file, which survives a kill.
//
// GET /control/runs          returns the number of executions by X-Request-Id
// GET /control/received      returns the number of requests, executed or not
// GET /control/health-calls  returns the number of calls of GET /health
// GET /control/in-use        returns the number of requests in progress
//
// PUT /control/mode?name=value&... sets how requests are answered until the next such call; the query of a request
// overrides it for that request:
//   at=<name>            the parameters of the request's own query apply only at the endpoint of this name
//   refuse=1             refuses explicitly; draining=1 and load=<n> set the header fields of the response
//   cold=1               responses take ten times delay_ms, and health reports "cold"
//   fault=<what>-<when>  die (SIGKILL), cut (close the connection) or freeze (SIGSTOP, only once); before or after the
//                        execution, or mid (in the middle of the response body)
//   delay_ms=<n>         delay before the response; pause_ms=<n> between the parts of its body
//   health_delay_ms=<n>  delay before the response to GET /health
//   bytes=<n>            size of the response body; chunked=1 declares no length; truncate=1 ends it in the middle
//   surplus=<n>          unrequested responses after the response, surplus_delay_ms=<n> later
//   echo=0               responses do not repeat the request's Dogwoodhall-Exchange

namespace json = boost::json;
namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr std::size_t partBytes = 16 * 1024;
constexpr std::uint64_t coldDelayFactor = 10;

// Returns the exchange id that the response repeats, or an empty text if it repeats none.
std::string exchangeIdFor(const HeaderFields& requestFields, const Target& target)
{
    return std::string(target.number("echo", 1) ? requestFields.find(fields::exchange).value_or("") : "");
}

struct UpstreamOptions {
    NetworkAddress address;
    std::string name;
    std::uint64_t slots = 3;
    std::string runsFile;
};

class UpstreamStandIn {
public:
    explicit UpstreamStandIn(UpstreamOptions options)
        : m_options(std::move(options))
        , m_server(m_options.address, [this](IncomingRequest request, ResponseWriter writer) {
            return handle(std::move(request), std::move(writer));
        })
    {
        if (!m_options.runsFile.empty())
            m_runsFile = ::open(m_options.runsFile.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    }

    void run() { m_server.run(); }

private:
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handleControl(const Target&, const ResponseWriter&);
    asio::awaitable<void> serve(IncomingRequest, const ResponseWriter&, const Target&);
    asio::awaitable<void> answer(const ResponseWriter&, const Target&, ByteCount received, std::string exchangeId);
    asio::awaitable<bool> writeSurplus(const ResponseWriter&, const Target&, const std::string& exchangeId);
    asio::awaitable<bool> writeParts(const ResponseWriter&, const Target&, std::uint64_t size);
    asio::awaitable<void> pause(std::uint64_t milliseconds);
    Target withMode(Target) const;
    // Injects the fault that is set for this phase. Returns true if the connection has to be closed now.
    bool injectFault(const Target&, const std::string& when);
    void recordRun(const HeaderFields&);
    std::string runsAsJson() const;
    std::string healthAsJson() const;
    std::uint64_t healthDelay() const { return withMode({}).number("health_delay_ms", 0); }

    UpstreamOptions m_options;
    StandInServer m_server;
    int m_runsFile = -1;
    std::map<std::string, std::string> m_mode;
    bool m_hasFrozen = false;
    std::uint64_t m_inUse = 0;
    std::uint64_t m_received = 0; // All requests, including refused ones.
    std::uint64_t m_healthCalls = 0;
    std::map<std::string, std::uint64_t> m_runs;
};

bool UpstreamStandIn::injectFault(const Target& target, const std::string& when)
{
    const auto fault = target.text("fault");
    if (fault == "die-" + when)
        std::raise(SIGKILL);
    if (fault == "freeze-" + when && !std::exchange(m_hasFrozen, true))
        std::raise(SIGSTOP);
    return fault == "cut-" + when;
}

std::string UpstreamStandIn::runsAsJson() const
{
    json::object runs;
    for (const auto& [id, count] : m_runs)
        runs[id] = count;
    return json::serialize(runs);
}

std::string UpstreamStandIn::healthAsJson() const
{
    const auto mode = withMode({});
    const auto state = mode.number("draining", 0) ? "draining" : mode.number("cold", 0) ? "cold" : "serving";
    return json::serialize(json::object { { "state", state }, { "inUse", mode.number("load", m_inUse) } });
}

Target UpstreamStandIn::withMode(Target target) const
{
    if (target.parameters.count("at") && target.text("at") != m_options.name)
        target.parameters.clear();
    target.parameters.insert(m_mode.begin(), m_mode.end());
    return target;
}

void UpstreamStandIn::recordRun(const HeaderFields& fields)
{
    auto id = fields.find("X-Request-Id");
    if (!id)
        return;
    ++m_runs[std::string(*id)];
    const std::string line = std::string(*id) + "\n";
    if (m_runsFile >= 0 && ::write(m_runsFile, line.data(), line.size()) < 0)
        std::cerr << "upstream-standin: cannot write " << m_options.runsFile << "\n";
}

asio::awaitable<void> UpstreamStandIn::pause(std::uint64_t milliseconds)
{
    if (milliseconds == 0)
        co_return;
    asio::steady_timer timer(m_server.io(), std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> UpstreamStandIn::handleControl(const Target& target, const ResponseWriter& writer)
{
    if (target.path == "/control/runs") {
        co_await writeAnswer(writer, 200, runsAsJson());
    } else if (target.path == "/control/received") {
        co_await writeAnswer(writer, 200, std::to_string(m_received));
    } else if (target.path == "/control/health-calls") {
        co_await writeAnswer(writer, 200, std::to_string(m_healthCalls));
    } else if (target.path == "/control/in-use") {
        co_await writeAnswer(writer, 200, std::to_string(m_inUse));
    } else if (target.path == "/control/mode") {
        m_mode = target.parameters;
        co_await writeAnswer(writer, 200, "ok\n");
    } else {
        co_await writeAnswer(writer, 404, "not found\n");
    }
}

asio::awaitable<void> UpstreamStandIn::handle(IncomingRequest request, ResponseWriter writer)
{
    auto target = parseTarget(request.head.target);
    if (target.path.starts_with("/control/")) {
        co_await handleControl(target, writer);
        co_return;
    }
    if (target.path == "/health") {
        ++m_healthCalls;
        const auto delay = healthDelay();
        co_await pause(delay);
        co_await writeAnswer(writer, 200, healthAsJson());
        co_return;
    }
    target = withMode(std::move(target));
    ++m_received;
    if (m_inUse >= m_options.slots || target.number("refuse", 0)) {
        HeaderFields refusal;
        refusal.add(std::string(fields::refused), "1");
        if (const auto id = exchangeIdFor(request.head.fields, target); !id.empty())
            refusal.add(std::string(fields::exchange), id);
        co_await writeAnswer(writer, 503, "refused\n", refusal);
        co_return;
    }
    co_await serve(std::move(request), writer, target);
}

asio::awaitable<void> UpstreamStandIn::serve(
    IncomingRequest request, const ResponseWriter& writer, const Target& target)
{
    struct SlotGuard {
        std::uint64_t& inUse;
        ~SlotGuard() { --inUse; }
    };
    ++m_inUse;
    SlotGuard guard { m_inUse };
    auto received = co_await discardBody(request.readBody);
    if (!received || injectFault(target, "before"))
        co_return;
    recordRun(request.head.fields);
    if (injectFault(target, "after"))
        co_return;
    co_await pause(target.number("delay_ms", 0) * (target.number("cold", 0) ? coldDelayFactor : 1));
    co_await answer(writer, target, *received, exchangeIdFor(request.head.fields, target));
}

asio::awaitable<void> UpstreamStandIn::answer(
    const ResponseWriter& writer, const Target& target, ByteCount received, std::string exchangeId)
{
    const std::string text = m_options.name + " received " + std::to_string(received.count()) + " bytes\n";
    const auto size = target.number("bytes", 0);
    ResponseHead head;
    head.status = 200;
    head.fields.add("X-Endpoint", m_options.name);
    head.fields.add(std::string(fields::load), std::to_string(target.number("load", m_inUse)));
    if (target.number("draining", 0))
        head.fields.add(std::string(fields::draining), "1");
    if (!exchangeId.empty())
        head.fields.add(std::string(fields::exchange), exchangeId);
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(size ? size : text.size()) };
    if (target.number("chunked", 0))
        head.bodyLength = { BodyLength::Kind::Streamed, {} };
    if (!co_await writer.writeHead(head))
        co_return;
    if (size && !co_await writeParts(writer, target, size))
        co_return;
    if (!size && !co_await writer.writeBody(asio::buffer(text)))
        co_return;
    if (!co_await writeSurplus(writer, target, exchangeId))
        co_return;
    co_await writer.finish();
}

asio::awaitable<bool> UpstreamStandIn::writeSurplus(
    const ResponseWriter& writer, const Target& target, const std::string& exchangeId)
{
    const auto surplus = target.number("surplus", 0);
    if (surplus == 0)
        co_return true;
    co_await pause(target.number("surplus_delay_ms", 0));
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n";
    if (!exchangeId.empty())
        text += std::string(fields::exchange) + ": " + exchangeId + "\r\n";
    text += "\r\nsurplus\n";
    for (std::uint64_t n = 0; n < surplus; ++n) {
        auto written = co_await writer.writeBody(asio::buffer(text));
        if (!written)
            co_return false;
    }
    co_return true;
}

// Returns false if the body has to be truncated.
asio::awaitable<bool> UpstreamStandIn::writeParts(
    const ResponseWriter& writer, const Target& target, std::uint64_t size)
{
    const std::string part(partBytes, 'x');
    std::uint64_t sent = 0;
    while (sent < size) {
        if (sent >= size / 2 && (target.number("truncate", 0) || injectFault(target, "mid")))
            co_return false;
        const auto n = std::min<std::uint64_t>(part.size(), sent < size / 2 ? size / 2 - sent : size - sent);
        if (!co_await writer.writeBody(asio::buffer(part.data(), n)))
            co_return false;
        sent += n;
        co_await pause(target.number("pause_ms", 0));
    }
    co_return true;
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    options::options_description description("upstream-standin");
    description.add_options()("name", options::value<std::string>()->default_value("endpoint"), "name in answers");
    description.add_options()("slots", options::value<std::uint64_t>()->default_value(3), "requests run at one time");
    description.add_options()("runs-file", options::value<std::string>()->default_value(""), "appended at each run");
    const auto arguments = dogwoodhall::parseStandInArguments(argc, argv, std::move(description));
    const auto& others = arguments.others;
    dogwoodhall::UpstreamStandIn({ arguments.listen, others["name"].as<std::string>(),
                                     others["slots"].as<std::uint64_t>(), others["runs-file"].as<std::string>() })
        .run();
}
