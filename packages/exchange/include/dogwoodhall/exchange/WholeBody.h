#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <chrono>
#include <string>

namespace dogwoodhall {

// Reads a body whole, up to a bound; larger ones are ErrorKind::BodyTooLarge.
ExchangeResult<std::string> readWhole(const ReadBody&, ByteCount limit);

// Reads the body of an answer whole, up to a bound and by `deadline`. A larger one is ErrorKind::BodyTooLarge, a later
// one ErrorKind::DeadlineExceeded, and the connection or stream of both is closed instead of being held with the rest
// unread. The answer must outlive the call.
ExchangeResult<std::string> readWhole(
    IncomingResponse&, ByteCount limit, std::chrono::steady_clock::time_point deadline);

// Writes an answer whose body is in memory, whose length the head need not give. The arguments must outlive the call.
asio::awaitable<void> writeWhole(const ResponseWriter&, const ResponseHead&, const std::string& body);

// A body in memory.
ReadBody bodyFrom(std::string);

} // namespace dogwoodhall
