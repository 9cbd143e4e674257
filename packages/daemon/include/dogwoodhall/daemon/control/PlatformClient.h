#pragma once

#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/http/UpstreamClient.h"

namespace dogwoodhall {

// Read-only client of the configuration service and the host list.
class PlatformClient {
public:
    PlatformClient(asio::any_io_executor, NetworkAddress);

    // Long poll: the service waits for up to `wait` if no record is newer than `since`.
    ExchangeResult<RecordBatch> readRecords(Revision since, Duration wait);
    // Returns whether the service has records that the watch in progress should have returned.
    ExchangeResult<std::optional<bool>> hasNewerRecords();
    ExchangeResult<HostList> readHosts();

private:
    ExchangeResult<std::string> get(std::string target, Duration timeout);

    UpstreamClient m_client;
    NetworkAddress m_address;
    Revision m_since; // Of the last read.
};

// A record source that reads the product's own configuration service.
RecordSource platformRecordSource(asio::any_io_executor, const NetworkAddress&);

} // namespace dogwoodhall
