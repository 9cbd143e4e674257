#include "StandInOptions.h"
#include "StandInServer.h"

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <limits>

// Stand-in for the configuration service and the host list. Tests make changes through /control, which daemons never
// call:
//   PUT or DELETE /control/records/<key>   replaces or deletes a record, at the next revision
//   PUT /control/hosts                     replaces the host list: {"hosts":[...]}
//   PUT /control/mode?state=serving|stale|down|records-down|records-late   stale responds with the state at the time of
//                                          the call; down closes each connection without a response, records-down only
//                                          those to the configuration service; records-late delays its responses until
//                                          the mode changes
//   GET or PUT /control/state              exports or restores records and host list, to simulate a restore from backup
//   GET /control/reads                     returns the number of reads by daemons; a watch counts as one read

namespace json = boost::json;
namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr std::string_view recordsPrefix = "/control/records/";
// Tests may store records and host lists of any size.
constexpr ByteCount controlLimit { std::numeric_limits<std::uint64_t>::max() };

class PlatformStandIn {
public:
    explicit PlatformStandIn(const NetworkAddress& address)
        : m_server(address,
            [this](IncomingRequest request, ResponseWriter writer) {
                return handle(std::move(request), std::move(writer));
            })
        , m_changed(m_server.io(), asio::steady_timer::time_point::max())
    {
    }

    void run() { m_server.run(); }

private:
    struct State {
        std::map<std::string, Record> records;
        std::uint64_t revision = 0;
        json::array hosts;
        std::uint64_t hostsVersion = 1;
    };

    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handleRead(const Target&, const ResponseWriter&);
    asio::awaitable<void> handleControl(const IncomingRequest&, const Target&, const ResponseWriter&);
    asio::awaitable<void> readRecords(const Target&, const ResponseWriter&);
    const State& visibleState() const { return m_staleState ? *m_staleState : m_state; }
    void setMode(const std::string& state);
    void putRecord(const std::string& key, bool deleted, std::string value);

    static std::string hostsAsJson(const State&);
    static std::string recordsAsJson(const State&, std::uint64_t since);
    static State parseState(const std::string& text);

    StandInServer m_server;
    asio::steady_timer m_changed; // Cancelled at each change, to wake pending watches.
    State m_state;
    std::optional<State> m_staleState; // If set, reads return it in place of m_state.
    bool m_isDown = false;
    bool m_areRecordsDown = false;
    bool m_areRecordsLate = false;
    std::uint64_t m_reads = 0;
};

asio::awaitable<void> PlatformStandIn::handle(IncomingRequest request, ResponseWriter writer)
{
    const auto target = parseTarget(request.head.target);
    if (target.path.starts_with("/control/"))
        co_await handleControl(request, target, writer);
    else
        co_await handleRead(target, writer);
}

asio::awaitable<void> PlatformStandIn::handleRead(const Target& target, const ResponseWriter& writer)
{
    ++m_reads;
    if (m_isDown)
        co_return;
    if (target.path == "/v1/records")
        co_await readRecords(target, writer);
    else if (target.path == "/v1/hosts")
        co_await writeAnswer(writer, 200, hostsAsJson(visibleState()));
    else
        co_await writeAnswer(writer, 404, "not found\n");
}

asio::awaitable<void> PlatformStandIn::handleControl(
    const IncomingRequest& request, const Target& target, const ResponseWriter& writer)
{
    const auto& method = request.head.method;
    const auto received = co_await readFullBody(request.readBody, controlLimit);
    const auto body = received.value_or("");
    std::string text = "ok\n";
    if (target.path.starts_with(recordsPrefix)) {
        putRecord(target.path.substr(recordsPrefix.size()), method == "DELETE", body);
        text = std::to_string(m_state.revision) + "\n";
    } else if (target.path == "/control/hosts") {
        m_state.hosts = json::parse(body).at("hosts").as_array();
        ++m_state.hostsVersion;
    } else if (target.path == "/control/mode") {
        setMode(target.text("state"));
    } else if (target.path == "/control/state" && method == "PUT") {
        m_state = parseState(body);
        m_changed.cancel();
    } else if (target.path == "/control/state") {
        text = "{\"records\":" + recordsAsJson(m_state, 0) + ",\"hosts\":" + hostsAsJson(m_state) + "}";
    } else if (target.path == "/control/reads") {
        text = std::to_string(m_reads);
    } else {
        co_await writeAnswer(writer, 404, "not found\n");
        co_return;
    }
    co_await writeAnswer(writer, 200, text);
}

asio::awaitable<void> PlatformStandIn::readRecords(const Target& target, const ResponseWriter& writer)
{
    const auto since = target.number("since", 0);
    if (visibleState().revision <= since && target.number("wait_ms", 0) > 0) {
        asio::steady_timer timeout(m_server.io(), std::chrono::milliseconds(target.number("wait_ms", 0)));
        timeout.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                m_changed.cancel();
        });
        co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const auto answer = recordsAsJson(visibleState(), since);
    while (m_areRecordsLate)
        co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!m_isDown && !m_areRecordsDown)
        co_await writeAnswer(writer, 200, answer);
}

void PlatformStandIn::setMode(const std::string& state)
{
    m_isDown = state == "down";
    m_areRecordsDown = state == "records-down";
    m_areRecordsLate = state == "records-late";
    if (state != "stale")
        m_staleState.reset();
    else if (!m_staleState)
        m_staleState = m_state;
    if (!m_staleState)
        m_changed.cancel();
}

std::string PlatformStandIn::hostsAsJson(const State& state)
{
    return json::serialize(json::object { { "version", state.hostsVersion }, { "hosts", state.hosts } });
}

std::string PlatformStandIn::recordsAsJson(const State& state, std::uint64_t since)
{
    json::array records;
    for (const auto& [key, record] : state.records) {
        if (record.revision.value() > since)
            records.push_back(json::object { { "key", key }, { "revision", record.revision.value() },
                { "deleted", record.deleted }, { "value", record.value } });
    }
    return json::serialize(json::object { { "revision", state.revision }, { "records", std::move(records) } });
}

PlatformStandIn::State PlatformStandIn::parseState(const std::string& text)
{
    const auto document = json::parse(text);
    const auto& records = document.at("records");
    const auto& hosts = document.at("hosts");
    State state;
    state.revision = records.at("revision").to_number<std::uint64_t>();
    for (const auto& item : records.at("records").as_array()) {
        const auto key = json::value_to<std::string>(item.at("key"));
        state.records[key] = { RecordKey(key), Revision(item.at("revision").to_number<std::uint64_t>()),
            item.at("deleted").as_bool(), json::value_to<std::string>(item.at("value")) };
    }
    state.hosts = hosts.at("hosts").as_array();
    state.hostsVersion = hosts.at("version").to_number<std::uint64_t>();
    return state;
}

void PlatformStandIn::putRecord(const std::string& key, bool deleted, std::string value)
{
    m_state.records[key] = { RecordKey(key), Revision(++m_state.revision), deleted, std::move(value) };
    if (!m_staleState)
        m_changed.cancel();
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    const auto arguments
        = dogwoodhall::parseStandInArguments(argc, argv, options::options_description("platform-standin"));
    dogwoodhall::PlatformStandIn(arguments.listen).run();
}
