#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <optional>

namespace dogwoodhall {

// The platform-specific parts of the daemon, selected at process start. All code that depends on the platform's
// protocols and names is behind these hooks.
struct PlatformAdapter {
    std::function<RecordSource(asio::any_io_executor)> makeRecordSource;
    ParseRecord parseRecord;
    // Encodes ids, times and load in requests and responses. If empty, the product's own protocol is used.
    std::optional<RequestCodec> codec;
};

// Adapter for the product's own configuration service, records and headers.
PlatformAdapter ownPlatformAdapter(const NetworkAddress& platform);

} // namespace dogwoodhall
