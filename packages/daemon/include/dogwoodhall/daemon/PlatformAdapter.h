#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <optional>

namespace dogwoodhall {

// What the daemon needs of the platform that it runs on, chosen when the process starts. Everything that knows the
// platform's own names is behind these hooks.
struct PlatformAdapter {
    std::function<RecordSource(asio::any_io_executor)> makeRecordSource;
    ParseRecord parseRecord;
    // How requests and answers state ids, times and load. Empty: the product's own protocol.
    std::optional<RequestCodec> codec;
};

// The product's own configuration service, records and headers.
PlatformAdapter ownPlatformAdapter(const NetworkAddress& platform);

} // namespace dogwoodhall
