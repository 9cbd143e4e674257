#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <functional>

namespace dogwoodhall {

enum class RelayResult {
    Whole, // The whole answer was handed on.
    SourceFailed, // The answer's source broke off; the receiver sees a broken answer.
    ReceiverFailed, // The receiver went away.
};

struct RelayOutcome {
    RelayResult result = RelayResult::ReceiverFailed;
    ByteCount bytes; // Of the body, handed on.
};

// Hands an answer on as it arrives, with one buffer of memory. Frees the source in every case, cancellation included.
// `headWritten` is called once the answer's head has been handed on.
asio::awaitable<RelayOutcome> relayAnswer(
    IncomingResponse&, const ResponseWriter&, const std::function<void()>& headWritten);

} // namespace dogwoodhall
