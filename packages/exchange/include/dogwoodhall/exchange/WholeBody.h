#pragma once

#include "dogwoodhall/exchange/Exchange.h"

#include <chrono>
#include <string>

namespace dogwoodhall {

// Reads a complete body of at most `limit` bytes. Fails with ErrorKind::BodyTooLarge if the body is larger.
ExchangeResult<std::string> readFullBody(const ReadBody&, ByteCount limit);

// Reads the complete body of a response. Fails with ErrorKind::BodyTooLarge if it exceeds `limit`, and with
// ErrorKind::DeadlineExceeded if it is not complete by `deadline`. On failure abandons the response, so that its
// connection or stream is not held open with unread data. The response must outlive the call.
ExchangeResult<std::string> readFullBody(
    IncomingResponse&, ByteCount limit, std::chrono::steady_clock::time_point deadline);

// Writes a complete response with the body given. The body length in the head is ignored. The arguments must outlive
// the call.
asio::awaitable<void> writeFullResponse(const ResponseWriter&, const ResponseHead&, const std::string& body);

// Returns a reader for a body in memory.
ReadBody stringBody(std::string);

} // namespace dogwoodhall
