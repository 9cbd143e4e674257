#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <functional>
#include <optional>
#include <vector>

namespace dogwoodhall {

struct PlatformHost {
    HostId id;
    DataCentreId dataCentre;
    bool isEntry = false; // An entry host; otherwise an upstream host.
    NetworkAddress address; // The peer port if this is an entry host.
    bool isLeaving = false;
};

// The host list at one point in time. It may be outdated.
struct HostList {
    std::uint64_t version = 0;
    std::vector<PlatformHost> hosts;
};

enum class ReadConsistency {
    MayBeStale, // Cheap; may miss changes of the last seconds.
    Linearizable, // Includes every change acknowledged before the read began.
};

// Read-only source of records: the product's own configuration service or a platform's registry.
struct RecordSource {
    // Waits for up to `wait` if no record is newer than `since`. Fails with ErrorKind::UpstreamTruncated if an answer
    // began but did not arrive completely.
    std::function<ExchangeResult<RecordBatch>(Revision since, Duration wait)> readRecords;
    // Asks the service, without waiting, whether it has records that the watch in progress should have returned; empty
    // if that cannot be told, because all records are being read. Fails if the service does not respond, with
    // ErrorKind::UpstreamRefused if it refuses the question. Must be callable while readRecords is in progress.
    std::function<ExchangeResult<std::optional<bool>>(ReadConsistency)> hasNewerRecords {};
    // Makes the next read begin after this revision, since the member holds all records up to it. Empty if each read is
    // by `since`.
    std::function<void(Revision)> skipTo {};
    // Makes the next read return all records, after a batch could not be processed. Empty if each read is by `since`.
    std::function<void()> restart {};
    // The latest era that the service has named. Empty if it has none.
    std::function<Era()> era {};
    // Empty if the platform has no host list.
    std::function<ExchangeResult<HostList>()> readHosts;
    Duration watchWait = std::chrono::seconds(20);
    // How often a waiting watch is checked with hasNewerRecords.
    Duration watchCheckPeriod = std::chrono::seconds(1);
    // How often a non-watcher checks whether it has become a watcher.
    Duration roleCheckPeriod = std::chrono::seconds(1);
    Duration retryDelay = std::chrono::milliseconds(500); // After a failure.
    Duration pauseAfterChanges {}; // Batches changes in quick succession into one read.
    Duration electedWatcherPause {}; // Replaces pauseAfterChanges in fleets of more than maxReaders.
    // A read never returns older data than any earlier read by any member, so peers need not confirm it.
    bool isLinearizable = false;
    // Pause between a member's first read and its first watch. By its end the member has learnt from its peers whether
    // the fleet is so large that other members watch.
    Duration pauseAfterFirstRead {};
    // In a fleet of up to this many members each one watches, so that no member depends on a peer for updates. In a
    // larger fleet only the elected watchers do.
    std::size_t maxReaders = 0;
};

} // namespace dogwoodhall
