#pragma once

#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/http/UpstreamClient.h"

namespace dogwoodhall {

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

// The product's own configuration service as a source of records.
RecordSource platformRecordSource(asio::any_io_executor, const NetworkAddress&);

} // namespace dogwoodhall
