#include "dogwoodhall/daemon/control/PlatformWatcher.h"

#include "TableRows.h"

#include "dogwoodhall/exchange/EventLoop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds testTimeout { 10 };

ExchangeResult<RecordBatch> readOne(int& reads)
{
    RecordBatch batch;
    batch.highest = Revision(static_cast<std::uint64_t>(++reads));
    batch.records.push_back({ RecordKey("a"), batch.highest, false, "value" });
    co_return batch;
}

ExchangeResult<RecordBatch> throwAtFirst(int& reads)
{
    if (reads++ == 0)
        throw std::runtime_error("bad answer");
    return readOne(reads);
}

constexpr std::chrono::hours never { 1 };

asio::awaitable<bool> isCancelledWithin(asio::io_context& io, std::chrono::steady_clock::duration time)
{
    asio::steady_timer timer(io, time);
    const auto [ec] = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return bool(ec);
}

// A watch whose response arrives after `time`, or when it is cancelled if `isLate`.
ExchangeResult<RecordBatch> respondAfter(asio::io_context& io, std::chrono::milliseconds time, bool isLate)
{
    const bool isCancelled = co_await isCancelledWithin(io, time);
    if (!isCancelled || isLate)
        co_return RecordBatch {};
    co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, {} });
}

enum class CheckResult { NothingNewer, Newer, NoResponse };

ExchangeResult<std::optional<bool>> check(asio::io_context& io, std::chrono::milliseconds time, CheckResult result)
{
    const bool isCancelled = co_await isCancelledWithin(io, time);
    if (isCancelled)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, {} });
    if (result == CheckResult::NoResponse)
        co_return tl::unexpected(ExchangeError { ErrorKind::DeadlineExceeded, false, {} });
    co_return result == CheckResult::Newer;
}

PlatformWatcher::Hooks hooksOfASingleWatcher()
{
    PlatformWatcher::Hooks hooks;
    hooks.isWatcher = [] { return true; };
    hooks.hasPeers = [] { return false; };
    hooks.pauseAfterChanges = [] { return Duration(std::chrono::milliseconds(1)); };
    hooks.highestRevision = [] { return Revision(); };
    hooks.hostListPeriod = [] { return Duration(std::chrono::milliseconds(1)); };
    hooks.firstReadDelay = [] { return Duration(); };
    return hooks;
}

} // namespace

struct LostWatchRow {
    const char* name;
    CheckResult result; // Of each check.
    bool isReadAgain;
    int unreachable; // How often the records are reported as unreadable.
    bool isLate = false; // The response arrives as the watch is given up.
    std::chrono::milliseconds responseAfter = never; // From the start of the watch.
    std::chrono::milliseconds checkTime {}; // How long a check takes; it begins 20 ms after the watch.
};

const LostWatchRow lostWatchRows[] = {
    { "the service stops responding", CheckResult::NoResponse, true, 1 },
    { "the service has newer records", CheckResult::Newer, true, 0 },
    { "the service has newer records, the response is late", CheckResult::Newer, true, 0, true },
    { "the service stops responding, the response is late", CheckResult::NoResponse, true, 0, true },
    { "the response arrives during the check", CheckResult::Newer, false, 0, false, 60ms, 200ms },
    { "the response arrives after the check", CheckResult::Newer, false, 0, false, 100ms },
    { "the service has nothing newer", CheckResult::NothingNewer, false, 0 },
};

// Guards against a member that waits for a response which the service has lost, that drops a response which arrives
// beside a check, and that reads while a watch is sound.
ParameterizedTestParameters(PlatformWatcher, replacesALostWatch) { return rowIndices(lostWatchRows); }

ParameterizedTest(std::size_t* index, PlatformWatcher, replacesALostWatch, .timeout = 60)
{
    constexpr std::chrono::seconds observed { 2 };
    const auto& row = lostWatchRows[*index];
    asio::io_context io { 1 };
    MetricsRegistry registry;
    DaemonMetrics metrics(registry);
    int reads = 0; // Without waiting.
    int watches = 0;
    int unreachable = 0;
    int checks = 0;
    int batches = 0;
    RecordSource source;
    source.readRecords = [&](Revision, Duration wait) {
        if (wait == Duration::zero())
            return readOne(reads);
        const bool isFirst = ++watches == 1;
        return respondAfter(io, isFirst ? row.responseAfter : never, isFirst && row.isLate);
    };
    source.hasNewerRecords = [&](ReadConsistency) {
        const bool isFirst = ++checks == 1;
        return check(io, isFirst ? row.checkTime : 0ms, isFirst ? row.result : CheckResult::NothingNewer);
    };
    source.watchCheckPeriod = std::chrono::milliseconds(20);
    source.retryDelay = std::chrono::milliseconds(1);
    auto hooks = hooksOfASingleWatcher();
    hooks.recordsRead = [&](const RecordBatch&) { ++batches; };
    hooks.recordsUnreachable = [&] { ++unreachable; };
    PlatformWatcher watcher(io, source, hooks, metrics);
    spawnPermanent(io.get_executor(), [&] { return watcher.watchRecords(); });
    io.run_for(observed);
    const bool hasResponse = row.isLate || row.responseAfter != never;
    const bool isReplaced = row.isReadAgain && !(row.isLate && row.result == CheckResult::NoResponse);
    cr_expect_eq(reads, isReplaced ? 2 : 1, "%s: %d reads", row.name, reads);
    cr_expect_eq(watches, row.isReadAgain || hasResponse ? 2 : 1, "%s: %d watches", row.name, watches);
    cr_expect_eq(batches, reads + (hasResponse ? 1 : 0), "%s: %d batches", row.name, batches);
    cr_expect_eq(unreachable, row.unreachable, "%s: unreachable %d times", row.name, unreachable);
    cr_expect_geq(checks, 10, "%s: %d checks", row.name, checks);
}

struct FailedBatchRow {
    const char* name;
    ExchangeResult<RecordBatch> (*read)(int& reads);
    bool isRejectedAtFirst; // The receiver of the first batch throws.
};

const FailedBatchRow failedBatchRows[] = {
    { "while a batch is processed", readOne, true },
    { "while a batch is read", throwAtFirst, false },
};

// Guards against a member that follows no later change after one exception: the reader waited for good.
ParameterizedTestParameters(PlatformWatcher, readsAgainAfterAnException) { return rowIndices(failedBatchRows); }

ParameterizedTest(std::size_t* index, PlatformWatcher, readsAgainAfterAnException, .timeout = 60)
{
    const auto& row = failedBatchRows[*index];
    asio::io_context io { 1 };
    MetricsRegistry registry;
    DaemonMetrics metrics(registry);
    int reads = 0;
    int restarts = 0;
    int batches = 0;
    RecordSource source;
    source.readRecords = [&](Revision, Duration) { return row.read(reads); };
    source.restart = [&] { ++restarts; };
    source.retryDelay = std::chrono::milliseconds(1);
    auto hooks = hooksOfASingleWatcher();
    hooks.recordsRead = [&](const RecordBatch&) {
        if (row.isRejectedAtFirst && batches == 0 && restarts == 0)
            throw std::runtime_error("bad batch");
        ++batches;
    };
    PlatformWatcher watcher(io, source, hooks, metrics);
    spawnPermanent(io.get_executor(), [&] { return watcher.watchRecords(); });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (batches < 2 && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    cr_expect_geq(batches, 2, "%s: %d batches", row.name, batches);
    cr_expect_eq(restarts, 1, "%s: %d restarts", row.name, restarts);
}
