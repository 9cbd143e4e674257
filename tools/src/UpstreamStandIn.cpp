#include "StandInServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

// Stand-in for an upstream endpoint. The query steers each answer: delay_ms before it, bytes of body, truncate=1 to
// break off in the middle. It runs at most --slots requests at a time and refuses the rest, and counts runs for each
// X-Request-Id, so that a double run is seen at GET /control/runs.

namespace json = boost::json;
namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

class UpstreamStandIn {
public:
    UpstreamStandIn(NetworkAddress address, std::string name, std::uint64_t slots)
        : m_server(std::move(address),
            [this](IncomingRequest request, ResponseWriter writer) {
                return handle(std::move(request), std::move(writer));
            })
        , m_name(std::move(name))
        , m_slots(slots)
    {
    }

    void run() { m_server.run(); }

private:
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<void> serve(IncomingRequest, ResponseWriter, Target);
    std::string runsAsJson() const;
    std::string healthAsJson() const;

    StandInServer m_server;
    std::string m_name;
    std::uint64_t m_slots;
    std::uint64_t m_inUse = 0;
    std::map<std::string, std::uint64_t> m_runs;
};

std::string UpstreamStandIn::runsAsJson() const
{
    json::object runs;
    for (const auto& [id, count] : m_runs)
        runs[id] = count;
    return json::serialize(runs);
}

std::string UpstreamStandIn::healthAsJson() const
{
    return json::serialize(json::object { { "state", "serving" }, { "inUse", m_inUse } });
}

asio::awaitable<void> UpstreamStandIn::handle(IncomingRequest request, ResponseWriter writer)
{
    const auto target = parseTarget(request.head.target);
    if (target.path == "/control/runs") {
        co_await writeAnswer(writer, 200, runsAsJson());
    } else if (target.path == "/health") {
        co_await writeAnswer(writer, 200, healthAsJson());
    } else if (m_inUse >= m_slots) {
        HeaderFields refusal;
        refusal.add(std::string(fields::refused), "1");
        co_await writeAnswer(writer, 503, "no slot\n", refusal);
    } else {
        co_await serve(std::move(request), std::move(writer), target);
    }
}

asio::awaitable<void> UpstreamStandIn::serve(IncomingRequest request, ResponseWriter writer, Target target)
{
    struct SlotGuard {
        std::uint64_t& inUse;
        ~SlotGuard() { --inUse; }
    };
    ++m_inUse;
    SlotGuard guard { m_inUse };
    if (auto id = request.head.fields.find("X-Request-Id"))
        ++m_runs[std::string(*id)];
    const auto received = co_await readAll(request.readBody);
    asio::steady_timer timer(m_server.io(), std::chrono::milliseconds(target.number("delay_ms", 0)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));

    const auto size = target.number("bytes", 0);
    std::string text = m_name + " received " + std::to_string(received.size()) + " bytes\n";
    ResponseHead head;
    head.status = 200;
    head.fields.add("X-Endpoint", m_name);
    head.fields.add(std::string(fields::load), std::to_string(m_inUse));
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(size ? size : text.size()) };
    if (!co_await writer.writeHead(head))
        co_return;
    if (size)
        text.assign(16 * 1024, 'x');
    const auto end = target.number("truncate", 0) ? size / 2 : size;
    for (std::uint64_t sent = 0; sent < std::max<std::uint64_t>(end, size ? 0 : 1); sent += text.size()) {
        const std::size_t n = size ? std::min<std::uint64_t>(text.size(), end - sent) : text.size();
        if (!co_await writer.writeBody(asio::buffer(text.data(), n)))
            co_return;
    }
    if (!target.number("truncate", 0))
        co_await writer.finish();
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    options::options_description description("upstream-standin");
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address")("name",
        options::value<std::string>()->default_value("endpoint"),
        "name in answers")("slots", options::value<std::uint64_t>()->default_value(3), "requests run at the same time");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    auto address = dogwoodhall::parseNetworkAddress(arguments["listen"].as<std::string>());
    if (!address) {
        std::cerr << "--listen: expected IP:PORT\n";
        return 2;
    }
    dogwoodhall::UpstreamStandIn(*address, arguments["name"].as<std::string>(), arguments["slots"].as<std::uint64_t>())
        .run();
}
