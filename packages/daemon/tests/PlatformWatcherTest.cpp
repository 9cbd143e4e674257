#include "dogwoodhall/daemon/control/PlatformWatcher.h"

#include "TableRows.h"

#include "dogwoodhall/exchange/EventLoop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

using namespace dogwoodhall;

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

// A watch whose response does not arrive before it is cancelled, if at all.
ExchangeResult<RecordBatch> neverRead(asio::io_context& io, bool isLate)
{
    asio::steady_timer never(io, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    if (isLate)
        co_return RecordBatch {};
    co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, {} });
}

enum class CheckResult { NothingNewer, Newer, NoResponse };

ExchangeResult<bool> check(CheckResult result)
{
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
};

const LostWatchRow lostWatchRows[] = {
    { "the service stops responding", CheckResult::NoResponse, true, 1 },
    { "the service has newer records", CheckResult::Newer, true, 0 },
    { "the service has newer records, the response is late", CheckResult::Newer, true, 0, true },
    { "the service stops responding, the response is late", CheckResult::NoResponse, true, 0, true },
    { "the service has nothing newer", CheckResult::NothingNewer, false, 0 },
};

// Guards against a member that waits for a response which the service has lost, that drops a late one, and that reads
// while a watch is sound.
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
        return neverRead(io, ++watches == 1 && row.isLate);
    };
    source.hasNewerRecords = [&] { return check(++checks == 1 ? row.result : CheckResult::NothingNewer); };
    source.watchCheckPeriod = std::chrono::milliseconds(20);
    source.retryDelay = std::chrono::milliseconds(1);
    auto hooks = hooksOfASingleWatcher();
    hooks.recordsRead = [&](const RecordBatch&) { ++batches; };
    hooks.recordsUnreachable = [&] { ++unreachable; };
    PlatformWatcher watcher(io, source, hooks, metrics);
    spawnPermanent(io.get_executor(), [&] { return watcher.watchRecords(); });
    io.run_for(observed);
    const bool hasResponse = row.isLate && row.result == CheckResult::NoResponse; // So that no read follows it.
    const int expectedReads = row.isReadAgain && !hasResponse ? 2 : 1;
    cr_expect_eq(reads, expectedReads, "%s: %d reads", row.name, reads);
    cr_expect_eq(watches, row.isReadAgain ? 2 : 1, "%s: %d watches", row.name, watches);
    cr_expect_eq(batches, expectedReads + (row.isLate ? 1 : 0), "%s: %d batches", row.name, batches);
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
