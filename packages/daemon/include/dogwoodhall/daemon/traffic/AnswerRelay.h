#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <functional>

namespace dogwoodhall {

enum class RelayResult {
    Complete, // The complete response was written to the receiver.
    SourceFailed, // The source failed part-way; the receiver sees a truncated response.
    ReceiverFailed, // The receiver disconnected.
};

struct RelayOutcome {
    RelayResult result = RelayResult::ReceiverFailed;
    ByteCount bytes; // Body bytes written.
};

// Streams a response to the writer through a single fixed-size buffer. Always releases the source, also on
// cancellation. `headWritten` is called once the response head has been written.
asio::awaitable<RelayOutcome> relayAnswer(
    IncomingResponse&, const ResponseWriter&, const std::function<void()>& headWritten);

} // namespace dogwoodhall
