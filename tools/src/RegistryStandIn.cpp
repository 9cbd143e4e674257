#include "StandInOptions.h"
#include "StandInServer.h"

#include "dogwoodhall/exchange/WholeBody.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <optional>
#include <vector>

// Stand-in for the users' key-value store, written from the store's published page: GET /api/kv-range and
// /api/kv-watch. Tests make changes through /control, which daemons never call:
//   PUT or DELETE /control/items/<key>   writes or deletes an item; the value is sent as base64 text; returns its
//                                        revision
//   PUT /control/raw-items/<key>         stores the text that the item is returned as, as another writer might leave it
//   PUT /control/items-after-page/<key>  writes an item when the next page of a list has been composed
//   PUT /control/mode?state=serving|down|busy|silent   down closes each connection without a response, busy responds
//   with
//                                          503, silent never responds to the calls that arrive meanwhile; pending
//                                          watches are answered afterwards
//   PUT /control/serializable?stale=0|1  serializable reads return the state at the time of this call from then on, or
//                                        the present one again
//   PUT /control/pace?bytes_per_second=<n>   sends the bodies of the answers to daemons at this rate; 0 for no limit
//   PUT /control/compact                 discards the history: watches from an earlier revision are answered with 410
//   PUT /control/copy                    keeps a copy of the items and the revision
//   PUT /control/restore                 goes back to the copy and begins the next era: later changes are lost, and
//   their
//                                        revisions are given out again; pending watches get no response
//   GET /control/reads                   returns the number of calls by daemons

namespace json = boost::json;
namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr std::string_view itemsPrefix = "/control/items/";
constexpr std::string_view laterItemsPrefix = "/control/items-after-page/";
constexpr std::string_view rawItemsPrefix = "/control/raw-items/";
constexpr const char* eraField = "Store-Era"; // In each answer to a daemon.
constexpr ByteCount controlLimit { 16ULL * 1024 * 1024 };
// Small, so that a few endpoints already need several pages.
constexpr std::size_t maxPageItems = 3;
constexpr std::size_t pacedPartsPerSecond = 20;

class RegistryStandIn {
public:
    explicit RegistryStandIn(const NetworkAddress& address)
        : m_server(address,
            [this](IncomingRequest request, ResponseWriter writer) {
                return handle(std::move(request), std::move(writer));
            })
        , m_changed(m_server.io(), asio::steady_timer::time_point::max())
    {
    }

    void run() { m_server.run(); }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        bool isRaw = false; // The value is the text of the whole item.
    };

    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handleControl(const IncomingRequest&, const Target&, const ResponseWriter&);
    asio::awaitable<void> watch(const Target&, const ResponseWriter&);
    asio::awaitable<void> answer(const ResponseWriter&, unsigned status, std::string body);
    void restore();
    asio::awaitable<void> waitForDisconnect();
    std::string nextPage(const Target&);
    std::string staleRange() const;
    std::string range(const std::string& prefix, const std::string& after) const;
    std::string eventsAfter(std::uint64_t revision) const;
    bool hasEventAfter(std::uint64_t revision) const;
    static std::string toText(const std::string& key, const Item&);

    struct Copy {
        std::map<std::string, Item> items;
        std::uint64_t revision = 1;
    };

    StandInServer m_server;
    asio::steady_timer m_changed; // Cancelled at each change, to wake pending watches.
    std::map<std::string, Item> m_items;
    std::map<std::string, std::string> m_laterItems; // Values to be written after the next page.
    std::uint64_t m_revision = 1;
    std::uint64_t m_bytesPerSecond = 0; // 0: no limit.
    std::uint64_t m_era = 1;
    Copy m_copy;
    std::uint64_t m_compactedRevision = 0; // Events before this revision have been discarded.
    std::string m_mode = "serving";
    std::uint64_t m_reads = 0;
    std::optional<std::uint64_t> m_staleRevision; // Of serializable reads.
};

asio::awaitable<void> RegistryStandIn::handle(IncomingRequest request, ResponseWriter writer)
{
    const auto target = parseTarget(request.head.target);
    if (target.path.starts_with("/control/")) {
        co_await handleControl(request, target, writer);
        co_return;
    }
    // The store charges a serializable read a tenth of the price of another one and does not count it.
    m_reads += target.number("serializable", 0) == 0 ? 1 : 0;
    if (m_mode == "down")
        co_return;
    if (m_mode == "silent")
        co_await waitForDisconnect();
    else if (m_mode == "busy")
        co_await answer(writer, 503, "{\"error\":\"busy\"}");
    else if (target.path == "/api/kv-range" && target.number("serializable", 0) == 1 && m_staleRevision)
        co_await answer(writer, 200, staleRange());
    else if (target.path == "/api/kv-range")
        co_await answer(writer, 200, nextPage(target));
    else if (target.path == "/api/kv-watch")
        co_await watch(target, writer);
    else
        co_await answer(writer, 404, "{\"error\":\"no such call\"}");
}

asio::awaitable<void> RegistryStandIn::handleControl(
    const IncomingRequest& request, const Target& target, const ResponseWriter& writer)
{
    const auto received = co_await readFullBody(request.readBody, controlLimit);
    std::string text = "ok\n";
    if (target.path.starts_with(itemsPrefix)) {
        m_items[target.path.substr(itemsPrefix.size())]
            = { received.value_or(""), ++m_revision, request.head.method == "DELETE" };
        text = std::to_string(m_revision);
    } else if (target.path.starts_with(laterItemsPrefix)) {
        m_laterItems[target.path.substr(laterItemsPrefix.size())] = received.value_or("");
    } else if (target.path.starts_with(rawItemsPrefix)) {
        m_items[target.path.substr(rawItemsPrefix.size())] = { received.value_or(""), ++m_revision, false, true };
    } else if (target.path == "/control/mode") {
        m_mode = target.text("state");
    } else if (target.path == "/control/serializable") {
        m_staleRevision = target.number("stale", 0) == 1 ? std::optional(m_revision) : std::nullopt;
    } else if (target.path == "/control/pace") {
        m_bytesPerSecond = target.number("bytes_per_second", 0);
    } else if (target.path == "/control/compact") {
        m_compactedRevision = ++m_revision;
    } else if (target.path == "/control/copy") {
        m_copy = { m_items, m_revision };
    } else if (target.path == "/control/restore") {
        restore();
    } else if (target.path == "/control/reads") {
        text = std::to_string(m_reads);
    }
    m_changed.cancel();
    co_await writeAnswer(writer, 200, text);
}

asio::awaitable<void> RegistryStandIn::watch(const Target& target, const ResponseWriter& writer)
{
    const auto after = target.number("after", 0);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(target.number("wait_ms", 0));
    const auto isUnavailable = [&, era = m_era] { return m_mode == "down" || m_mode == "busy" || era != m_era; };
    const auto hasNoHistory = [&] { return after < m_compactedRevision || after > m_revision; };
    const auto canRespond = [&] {
        const bool hasAnswer = hasNoHistory() || hasEventAfter(after);
        return m_mode == "serving" && (hasAnswer || std::chrono::steady_clock::now() >= end);
    };
    while (!isUnavailable() && !canRespond()) {
        m_changed.expires_at(m_mode == "silent" ? std::chrono::steady_clock::time_point::max() : end);
        co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (isUnavailable())
        co_return;
    if (hasNoHistory())
        co_await answer(writer, 410, "{\"error\":\"history is gone\"}");
    else
        co_await answer(writer, 200, eventsAfter(after));
}

asio::awaitable<void> RegistryStandIn::answer(const ResponseWriter& writer, unsigned status, std::string body)
{
    ResponseHead head;
    head.status = status;
    head.fields.add(eraField, std::to_string(m_era));
    if (m_bytesPerSecond == 0)
        co_return co_await writeFullResponse(writer, head, body);
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(body.size()) };
    co_await writer.writeHead(head);
    const std::size_t partBytes = m_bytesPerSecond / pacedPartsPerSecond;
    asio::steady_timer timer(m_server.io());
    for (std::size_t n = 0; n < body.size(); n += partBytes) {
        co_await writer.writeBody(asio::buffer(body.data() + n, std::min(partBytes, body.size() - n)));
        timer.expires_after(std::chrono::milliseconds(1000) / pacedPartsPerSecond);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await writer.finish();
}

void RegistryStandIn::restore()
{
    m_items = m_copy.items;
    m_revision = m_copy.revision;
    m_compactedRevision = std::min(m_compactedRevision, m_revision);
    m_staleRevision.reset();
    ++m_era;
}

std::string RegistryStandIn::toText(const std::string& key, const Item& item)
{
    if (item.isRaw)
        return item.value;
    if (item.isDeleted)
        return json::serialize(json::object { { "key", key }, { "revision", item.revision }, { "tombstone", true } });
    return json::serialize(json::object { { "key", key }, { "value", item.value }, { "revision", item.revision },
        { "created", item.revision }, { "lease", 0 } });
}

bool RegistryStandIn::hasEventAfter(std::uint64_t revision) const
{
    return std::any_of(
        m_items.begin(), m_items.end(), [&](const auto& item) { return item.second.revision > revision; });
}

// The handler is cancelled when the caller closes its connection.
asio::awaitable<void> RegistryStandIn::waitForDisconnect()
{
    asio::steady_timer never(m_server.io(), asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string RegistryStandIn::nextPage(const Target& target)
{
    auto text = range(target.text("prefix"), target.text("after"));
    for (auto& [key, value] : m_laterItems)
        m_items[key] = { std::move(value), ++m_revision };
    m_laterItems.clear();
    return text;
}

// Enough for the daemons, which make serializable reads of empty ranges only.
std::string RegistryStandIn::staleRange() const
{
    return "{\"items\":[],\"has_more\":false,\"store_revision\":" + std::to_string(*m_staleRevision) + "}";
}

std::string RegistryStandIn::range(const std::string& prefix, const std::string& after) const
{
    std::vector<std::string> items;
    bool hasMore = false;
    for (const auto& [key, item] : m_items) {
        if (key <= after || item.isDeleted || !key.starts_with(prefix))
            continue;
        hasMore = items.size() == maxPageItems;
        if (hasMore)
            break;
        items.push_back(toText(key, item));
    }
    return "{\"items\":[" + boost::algorithm::join(items, ",") + "],\"has_more\":" + (hasMore ? "true" : "false")
        + ",\"store_revision\":" + std::to_string(m_revision) + "}";
}

std::string RegistryStandIn::eventsAfter(std::uint64_t revision) const
{
    std::vector<std::string> events;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision)
            events.push_back(toText(key, item));
    }
    return "{\"events\":[" + boost::algorithm::join(events, ",") + "],\"store_revision\":" + std::to_string(m_revision)
        + "}";
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    const auto arguments
        = dogwoodhall::parseStandInArguments(argc, argv, options::options_description("registry-standin"));
    dogwoodhall::RegistryStandIn(arguments.listen).run();
}
