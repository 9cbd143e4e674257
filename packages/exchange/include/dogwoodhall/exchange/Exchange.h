#pragma once

#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/exchange/Head.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

namespace asio = boost::asio;

// Why an exchange did not give a whole answer.
struct ExchangeError {
    ErrorKind kind = ErrorKind::Internal;
    // Proof that the other side did not run the request and will not.
    bool provenNotRun = false;
    std::string detail; // For logs.
    // The connection had carried an earlier exchange: the failure may be that of the connection alone.
    bool onReusedConnection = false;
};

template <typename T> using ExchangeResult = asio::awaitable<tl::expected<T, ExchangeError>>;

// Reads the next part of a body into the buffer and gives its size in bytes. 0 means that the body ended whole; a body
// cut short is an error, never 0. Not to be called again after 0 or an error.
using ReadBody = std::function<ExchangeResult<std::size_t>(asio::mutable_buffer)>;

// A body without content.
ReadBody emptyBody();

struct OutgoingRequest {
    RequestHead head;
    ReadBody readBody;
};

// An answer whose head has arrived. The connection or stream behind it is freed when readBody gives 0 or an error, or
// when abandon is called; one of these must happen.
struct IncomingResponse {
    ResponseHead head;
    ReadBody readBody;
    std::function<void()> abandon;
};

struct IncomingRequest {
    RequestHead head;
    ReadBody readBody;
    std::string remote; // Address of the sender, for logs.
};

// Writes one answer. After an error no further call may be made: a later write need not complete. A handler that
// returns without a successful finish() breaks the connection or stream visibly, so that the receiver cannot take a
// part for the whole.
struct ResponseWriter {
    std::function<ExchangeResult<void>(const ResponseHead&)> writeHead;
    std::function<ExchangeResult<void>(asio::const_buffer)> writeBody;
    std::function<ExchangeResult<void>()> finish;
};

// Serves one request. Cancelled (by Asio's cancellation) when the sender goes away.
using RequestHandler = std::function<asio::awaitable<void>(IncomingRequest, ResponseWriter)>;

// Writes a whole answer for an error kind: head with kind and outcome, one sentence as body. `retryAfter` tells the
// caller when to come back.
asio::awaitable<void> writeError(
    const ResponseWriter&, ErrorKind, Outcome, std::optional<Duration> retryAfter = std::nullopt);

} // namespace dogwoodhall
