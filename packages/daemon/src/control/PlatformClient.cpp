#include "dogwoodhall/daemon/control/PlatformClient.h"

#include "dogwoodhall/http/Document.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

constexpr Duration readTimeout = std::chrono::seconds(2);
// For the rest of a response after its head: 64 MB at 6.4 MB/s.
constexpr auto bodyTimeout = std::chrono::seconds(10);
constexpr ByteCount maxAnswer { 64ULL * 1024 * 1024 };

// Passes each item to `read`. An item that cannot be read is skipped, so that it does not hide the others.
void readItems(const json::array& items, const char* kind, const std::function<void(const json::object&)>& read)
{
    for (const auto& item : items) {
        try {
            read(item.as_object());
        } catch (const std::exception& error) {
            DOGWOODHALL_LOG(platform, warning) << "Ignored " << kind << " that cannot be read: " << error.what() << ".";
        }
    }
}

RecordBatch toBatch(const json::value& document)
{
    const auto& object = document.as_object();
    RecordBatch batch;
    batch.highest = Revision(object.at("revision").to_number<std::uint64_t>());
    readItems(object.at("records").as_array(), "a record", [&](const json::object& record) {
        batch.records.push_back({ RecordKey(json::value_to<std::string>(record.at("key"))),
            Revision(record.at("revision").to_number<std::uint64_t>()), record.at("deleted").as_bool(),
            json::value_to<std::string>(record.at("value")) });
    });
    return batch;
}

HostList toHostList(const json::value& document)
{
    const auto& object = document.as_object();
    HostList list;
    list.version = object.at("version").to_number<std::uint64_t>();
    readItems(object.at("hosts").as_array(), "a host", [&](const json::object& host) {
        const auto addressText = json::value_to<std::string>(host.at("address"));
        const auto address = parseRemoteAddress(addressText);
        if (!address)
            throw std::runtime_error("address \"" + addressText + "\": expected IP:PORT");
        list.hosts.push_back({ HostId(json::value_to<std::string>(host.at("id"))),
            DataCentreId(json::value_to<std::string>(host.at("dataCentre"))), host.at("role").as_string() == "entry",
            *address, host.at("state").as_string() == "leaving" });
    });
    return list;
}

template <typename Result>
tl::expected<Result, ExchangeError> parseAnswer(
    const tl::expected<std::string, ExchangeError>& body, Result (*parse)(const json::value&))
{
    if (!body)
        return tl::unexpected(body.error());
    try {
        return parse(json::parse(*body));
    } catch (const std::exception& error) {
        return tl::unexpected(
            ExchangeError { ErrorKind::Internal, true, std::string("malformed platform answer: ") + error.what() });
    }
}

} // namespace

PlatformClient::PlatformClient(asio::any_io_executor executor, NetworkAddress address)
    : m_client(std::move(executor), UpstreamLimits {})
    , m_address(address)
{
}

ExchangeResult<RecordBatch> PlatformClient::readRecords(Revision since, Duration wait)
{
    m_since = since;
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto body
        = co_await get("/v1/records?since=" + std::to_string(since.value()) + "&wait_ms=" + std::to_string(waitMs),
            wait + readTimeout);
    co_return parseAnswer(body, toBatch);
}

ExchangeResult<std::optional<bool>> PlatformClient::hasNewerRecords()
{
    auto body = co_await get("/v1/records?since=" + std::to_string(m_since.value()) + "&wait_ms=0", readTimeout);
    const auto batch = parseAnswer(body, toBatch);
    if (!batch)
        co_return tl::unexpected(batch.error());
    co_return !batch->records.empty();
}

ExchangeResult<HostList> PlatformClient::readHosts()
{
    auto body = co_await get("/v1/hosts", readTimeout);
    co_return parseAnswer(body, toHostList);
}

ExchangeResult<std::string> PlatformClient::get(std::string target, Duration timeout)
{
    const DocumentLimits limits { timeout, bodyTimeout, maxAnswer };
    auto document = co_await getDocument(m_client, m_address, std::move(target), limits);
    if (!document)
        co_return tl::unexpected(document.error());
    if (document->status != 200)
        co_return tl::unexpected(
            ExchangeError { ErrorKind::Internal, true, "platform answered " + std::to_string(document->status) });
    co_return std::move(document->body);
}

RecordSource platformRecordSource(asio::any_io_executor executor, const NetworkAddress& address)
{
    // Separate connections for the two kinds of reads, since a watch occupies its connection.
    auto records = std::make_shared<PlatformClient>(executor, address);
    auto hosts = std::make_shared<PlatformClient>(executor, address);
    RecordSource source;
    source.readRecords = [records](Revision since, Duration wait) { return records->readRecords(since, wait); };
    source.hasNewerRecords = [records](ReadConsistency) { return records->hasNewerRecords(); };
    // Changes must be in force within 14 s.
    source.watchCheckPeriod = std::chrono::seconds(4);
    source.readHosts = [hosts] { return hosts->readHosts(); };
    return source;
}

} // namespace dogwoodhall
