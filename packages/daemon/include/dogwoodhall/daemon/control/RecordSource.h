#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <functional>
#include <vector>

namespace dogwoodhall {

struct PlatformHost {
    HostId id;
    DataCentreId dataCentre;
    bool isEntry = false; // An entry host; otherwise an upstream host.
    NetworkAddress address; // Of an entry host: its peer port.
    bool isLeaving = false;
};

// The host list at one moment. It lags.
struct HostList {
    std::uint64_t version = 0;
    std::vector<PlatformHost> hosts;
};

// Where records come from: the product's own configuration service or a platform's registry. Reads only.
struct RecordSource {
    // Waits for up to `wait` where nothing is newer than `since`.
    std::function<ExchangeResult<RecordBatch>(Revision since, Duration wait)> readRecords;
    // Empty where the platform has no host list.
    std::function<ExchangeResult<HostList>()> readHosts;
    Duration watchWait = std::chrono::seconds(20);
    // How often a member that is no watcher checks whether it has become one.
    Duration roleCheckPeriod = std::chrono::seconds(1);
    Duration retryDelay = std::chrono::milliseconds(500); // After a failure.
    Duration pauseAfterNews {}; // So that changes in quick succession are read together.
    Duration pauseOfChosenWatcher {}; // The same of a watcher in a fleet of more than readersAtMost.
    // An answer is never older than an earlier one, whoever got that: no peer has to confirm it.
    bool isLinearizable = false;
    // Between a member's first read and its first watch. By its end the member knows from its peers whether the fleet
    // is so large that others watch.
    Duration pauseAfterFirstRead {};
    // In a fleet of up to so many members each watches, so that news depends on no peer; in a larger one only the
    // watchers that the fleet chooses.
    std::size_t readersAtMost = 0;
};

} // namespace dogwoodhall
