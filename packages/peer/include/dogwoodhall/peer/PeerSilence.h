#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <cstdint>
#include <functional>

namespace dogwoodhall {

// Whether a request gives up its stream to a peer that is suspected and goes elsewhere. Asked at most once.
// `mayHaveRun` is false where no byte of the request was handed to the connection.
using LeaveSuspected = std::function<bool(bool mayHaveRun)>;

enum class SilenceChange : std::uint8_t {
    Suspected,
    Trusted, // A byte has arrived.
    Closed, // The connection to the suspected peer has ended.
};

struct SilenceHooks {
    // Pays for one PING; false where it must not be sent. `isRepeated`: denied before in the same silence.
    std::function<bool(bool isRepeated)> payForPing;
    std::function<void(const NetworkAddress&, SilenceChange)> changed;
};

} // namespace dogwoodhall
