#include "StandInServer.h"

#include "dogwoodhall/configuration/Record.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

// Stand-in for the configuration service and the host list. Tests write through /control, which daemons never call:
//   PUT or DELETE /control/records/<key>   replaces or deletes a record, at the next revision
//   PUT /control/hosts                     replaces the host list: {"hosts":[...]}

namespace json = boost::json;
namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr std::string_view recordsPrefix = "/control/records/";

class PlatformStandIn {
public:
    explicit PlatformStandIn(NetworkAddress address)
        : m_server(std::move(address),
            [this](IncomingRequest request, ResponseWriter writer) {
                return handle(std::move(request), std::move(writer));
            })
        , m_changed(m_server.io(), asio::steady_timer::time_point::max())
    {
    }

    void run() { m_server.run(); }

private:
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<void> readRecords(Target, ResponseWriter);
    std::string hostsAsJson() const;
    std::string recordsAsJson(std::uint64_t since) const;
    void putRecord(const std::string& key, bool deleted, std::string value);

    StandInServer m_server;
    asio::steady_timer m_changed; // Cancelled at each change, to wake waiting watches.
    std::map<std::string, Record> m_records;
    std::uint64_t m_revision = 0;
    json::array m_hosts;
    std::uint64_t m_hostsVersion = 1;
};

asio::awaitable<void> PlatformStandIn::handle(IncomingRequest request, ResponseWriter writer)
{
    const auto target = parseTarget(request.head.target);
    const auto& method = request.head.method;
    if (method == "GET" && target.path == "/v1/records") {
        co_await readRecords(target, writer);
    } else if (method == "GET" && target.path == "/v1/hosts") {
        co_await writeAnswer(writer, 200, hostsAsJson());
    } else if (target.path.starts_with(recordsPrefix)) {
        auto body = co_await readAll(request.readBody);
        putRecord(target.path.substr(recordsPrefix.size()), method == "DELETE", std::move(body));
        co_await writeAnswer(writer, 200, std::to_string(m_revision) + "\n");
    } else if (method == "PUT" && target.path == "/control/hosts") {
        m_hosts = json::parse(co_await readAll(request.readBody)).at("hosts").as_array();
        ++m_hostsVersion;
        co_await writeAnswer(writer, 200, "ok\n");
    } else {
        co_await writeAnswer(writer, 404, "not found\n");
    }
}

asio::awaitable<void> PlatformStandIn::readRecords(Target target, ResponseWriter writer)
{
    const auto since = target.number("since", 0);
    if (m_revision <= since && target.number("wait_ms", 0) > 0) {
        asio::steady_timer timeout(m_server.io(), std::chrono::milliseconds(target.number("wait_ms", 0)));
        timeout.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                m_changed.cancel();
        });
        co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await writeAnswer(writer, 200, recordsAsJson(since));
}

std::string PlatformStandIn::hostsAsJson() const
{
    return json::serialize(json::object { { "version", m_hostsVersion }, { "hosts", m_hosts } });
}

std::string PlatformStandIn::recordsAsJson(std::uint64_t since) const
{
    json::array records;
    for (const auto& [key, record] : m_records) {
        if (record.revision.value() > since)
            records.push_back(json::object { { "key", key }, { "revision", record.revision.value() },
                { "deleted", record.deleted }, { "value", record.value } });
    }
    return json::serialize(json::object { { "revision", m_revision }, { "records", std::move(records) } });
}

void PlatformStandIn::putRecord(const std::string& key, bool deleted, std::string value)
{
    m_records[key] = { RecordKey(key), Revision(++m_revision), deleted, std::move(value) };
    m_changed.cancel();
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    options::options_description description("platform-standin");
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    auto address = dogwoodhall::parseNetworkAddress(arguments["listen"].as<std::string>());
    if (!address) {
        std::cerr << "--listen: expected IP:PORT\n";
        return 2;
    }
    dogwoodhall::PlatformStandIn(*address).run();
}
