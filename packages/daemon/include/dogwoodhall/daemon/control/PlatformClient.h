#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <vector>

namespace dogwoodhall {

// A read of the configuration service: records with a revision above the one asked for.
struct RecordBatch {
    Revision highest;
    std::vector<Record> records;
};

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

// Reads the configuration service and the host list. Writes nothing.
class PlatformClient {
public:
    PlatformClient(asio::any_io_executor, NetworkAddress);

    // Waits at the service for up to `wait` where nothing is newer than `since`.
    ExchangeResult<RecordBatch> readRecords(Revision since, Duration wait);
    ExchangeResult<HostList> readHosts();

private:
    ExchangeResult<std::string> get(std::string target, Duration timeout);

    UpstreamClient m_client;
    NetworkAddress m_address;
};

} // namespace dogwoodhall
