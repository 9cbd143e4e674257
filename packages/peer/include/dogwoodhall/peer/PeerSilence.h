#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <cstdint>
#include <functional>

namespace dogwoodhall {

// Returns whether a request should abandon its stream to a suspected peer and be sent elsewhere. Called at most once
// per request. `mayHaveRun` is false if no byte of the request was passed to the connection.
using ShouldAbandonSuspected = std::function<bool(bool mayHaveRun)>;

enum class SilenceChange : std::uint8_t {
    Suspected,
    Trusted, // Data has arrived again.
    Closed, // The connection to the suspected peer has ended.
};

struct SilenceHooks {
    // Charges one PING to a budget; returns false if it must not be sent. `isRepeated` is true if the PING was denied
    // before in the same period of silence.
    std::function<bool(bool isRepeated)> tryChargePing;
    std::function<void(const NetworkAddress&, SilenceChange)> changed;
};

} // namespace dogwoodhall
