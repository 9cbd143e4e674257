#include "Base64.h"
#include "Process.h"
#include "TestClient.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/platform/StoreClient.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <set>
#include <string>

// Criterion defines macros that the headers of Boost cannot bear.
#include "TableRows.h"

using namespace dogwoodhall;

namespace {

// The registry stand-in with this many items. It returns three a page.
class Registry {
public:
    explicit Registry(std::size_t items)
        : m_process({ REGISTRY_BINARY })
        , m_address(m_process.readListening().at("address"))
    {
        for (std::size_t n = 0; n < items; ++n)
            put("items/servers/i-" + std::to_string(n));
    }

    const NetworkAddress& address() const { return m_address; }

    // Calls this control target with an item as its body.
    void put(const std::string& target) const
    {
        const auto status = call(m_address, { "PUT", "/control/" + target, {}, toBase64("{}"), {} }).status;
        cr_assert_eq(status, 200, "%s: %u", target.c_str(), status);
    }

private:
    Process m_process;
    NetworkAddress m_address;
};

asio::awaitable<void> readOnce(platform::StoreClient& client, tl::expected<RecordBatch, ExchangeError>& result)
{
    result = co_await client.readRecords(Duration::zero());
}

using Check = tl::expected<std::optional<bool>, ExchangeError>;

asio::awaitable<void> checkOnce(platform::StoreClient& client, std::optional<Check>& check)
{
    check = co_await client.hasNewerRecords(ReadConsistency::Linearizable);
}

std::set<RecordKey> keysOf(const RecordBatch& batch)
{
    std::set<RecordKey> keys;
    for (const auto& record : batch.records)
        keys.insert(record.key);
    return keys;
}

} // namespace

struct ReadRow {
    const char* name;
    std::size_t items; // Before the read; the store returns three a page.
    const char* key; // Written between the first two pages; sorts before or after them.
    bool isRead;
};

const ReadRow readRows[] = {
    { "key before the first page's", 5, "op/evacuate/dc0", true },
    { "key after the last page's", 5, "servers/z", true },
    // There is no second page, so that the change is later than the read.
    { "one page", 3, "op/evacuate/dc0", false },
};

// Guards against a member that never learns of a change made while it reads the store by pages: records of later pages
// have higher revisions, so that its peers do not send it the change.
ParameterizedTestParameters(StoreRead, includesChangesBetweenPages) { return rowIndices(readRows); }

ParameterizedTest(std::size_t* index, StoreRead, includesChangesBetweenPages, .timeout = 60)
{
    const auto& row = readRows[*index];
    const Registry registry(row.items);
    registry.put("items-after-page/" + std::string(row.key));
    asio::io_context io;
    platform::StoreClient client(io.get_executor(), registry.address());
    tl::expected<RecordBatch, ExchangeError> result;
    asio::co_spawn(io, readOnce(client, result), rethrowToLoop);
    io.run_for(testDeadline);
    cr_assert(result.has_value(), "%s: %s", row.name, result ? "" : result.error().detail.c_str());
    const auto keys = keysOf(*result);
    cr_expect_eq(keys.contains(RecordKey(row.key)), row.isRead, "%s", row.name);
    cr_expect_eq(keys.size(), row.items + (row.isRead ? 1 : 0), "%s", row.name);
    cr_expect(result->isComplete, "%s", row.name);
}

struct CancelRow {
    const char* name;
    std::size_t items; // The store returns three a page.
};

const CancelRow cancelRows[] = {
    { "one page", 3 },
    { "two pages", 5 },
    { "four pages", 11 },
};

// Guards against a member that takes its records for complete although a cancelled read has lost them: the next read
// then returned only the changes since.
ParameterizedTestParameters(StoreRead, losesNothingByCancellation) { return rowIndices(cancelRows); }

ParameterizedTest(std::size_t* index, StoreRead, losesNothingByCancellation, .timeout = 60)
{
    const auto& row = cancelRows[*index];
    const Registry registry(row.items);
    // Cancels the read after each number of its steps until it ends by itself.
    bool hasEnded = false;
    for (int steps = 0; !hasEnded; ++steps) {
        asio::io_context io;
        platform::StoreClient client(io.get_executor(), registry.address());
        tl::expected<RecordBatch, ExchangeError> result = tl::unexpected(ExchangeError {});
        asio::cancellation_signal cancel;
        bool isOver = false;
        asio::co_spawn(io, readOnce(client, result),
            asio::bind_cancellation_slot(cancel.slot(), [&](const std::exception_ptr&) { isOver = true; }));
        for (int n = 0; n < steps && !isOver; ++n)
            io.run_one_for(testDeadline);
        hasEnded = isOver;
        cancel.emit(asio::cancellation_type::terminal);
        while (!isOver)
            cr_assert_gt(io.run_one_for(testDeadline), 0u, "%s: not over, %d steps", row.name, steps);
        if (result)
            continue;
        io.restart();
        asio::co_spawn(io, readOnce(client, result), rethrowToLoop);
        io.run_for(testDeadline);
        cr_assert(result.has_value(), "%s: no second read, %d steps", row.name, steps);
        cr_expect(result->isComplete, "%s: not complete, %d steps", row.name, steps);
        cr_expect_eq(keysOf(*result).size(), row.items, "%s: %zu, %d steps", row.name, keysOf(*result).size(), steps);
    }
}

struct CheckRow {
    const char* name;
    bool isHistoryGone; // Of a watch; otherwise the first read.
};

const CheckRow checkRows[] = {
    { "first read", false },
    { "watch whose history is gone", true },
};

// Guards against records that are confirmed while all of them are read anew: what has changed has not arrived yet.
ParameterizedTestParameters(StoreRead, knowsNoNewestBeforeItsEnd) { return rowIndices(checkRows); }

ParameterizedTest(std::size_t* index, StoreRead, knowsNoNewestBeforeItsEnd, .timeout = 60)
{
    constexpr std::size_t items = 11;
    const auto& row = checkRows[*index];
    const Registry registry(items);
    asio::io_context io;
    platform::StoreClient client(io.get_executor(), registry.address());
    tl::expected<RecordBatch, ExchangeError> result;
    if (row.isHistoryGone) {
        asio::co_spawn(io, readOnce(client, result), rethrowToLoop);
        io.run_for(testDeadline);
        cr_assert(result.has_value(), "%s: no first read", row.name);
        io.restart();
        registry.put("items/op/config");
        registry.put("compact");
    }
    // A page then takes longer than the answer to a check.
    registry.put("pace?bytes_per_second=600");
    result = tl::unexpected(ExchangeError {});
    bool isOver = false;
    asio::co_spawn(io, readOnce(client, result), [&](const std::exception_ptr&) { isOver = true; });
    while (!isOver) {
        std::optional<Check> check;
        asio::co_spawn(io, checkOnce(client, check), rethrowToLoop);
        while (!check)
            cr_assert_gt(io.run_one_for(testDeadline), 0u, "%s: no answer", row.name);
        if (!result && *check)
            cr_expect(!(*check)->has_value(), "%s: said to be %s", row.name, ***check ? "old" : "newest");
    }
    cr_expect(result && result->isComplete, "%s: not complete", row.name);
    cr_expect_eq(keysOf(*result).size(), items + (row.isHistoryGone ? 1 : 0), "%s", row.name);
}
