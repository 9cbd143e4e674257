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

// Why an exchange did not return a complete response.
struct ExchangeError {
    ErrorKind kind = ErrorKind::Internal;
    // True if the remote side is proven not to have run the request and never to run it.
    bool provenNotRun = false;
    std::string detail; // For logs.
    // The connection had been used by an earlier exchange, so the failure may concern only the connection.
    bool onReusedConnection = false;
    bool isWithheld = false; // Not sent: OutgoingRequest::maySend returned false.
};

template <typename T> using ExchangeResult = asio::awaitable<tl::expected<T, ExchangeError>>;

// Reads the next part of a body into the buffer and returns its size in bytes. 0 means that the body is complete; a
// truncated body is an error, never 0. Must not be called again after 0 or an error.
using ReadBody = std::function<ExchangeResult<std::size_t>(asio::mutable_buffer)>;

// Returns a reader for an empty body.
ReadBody emptyBody();

struct OutgoingRequest {
    RequestHead head;
    ReadBody readBody;
    // All of the body is in memory, so that its sender cannot be late.
    bool isBodyBuffered = false;
    // Asked when a connection is ready, just before the first byte is written: opening one takes time, in which the
    // reason to send may end. May be empty.
    std::function<bool()> maySend {};
    // Called by UpstreamClient when the head has been written to a connection. May be empty.
    std::function<void()> headWritten {};
    // Called with each head of the response as soon as it has been read, interim heads included. May be empty.
    std::function<void(const ResponseHead&)> onHead {};
};

// A response whose head has arrived. The underlying connection or stream is released when readBody returns 0 or an
// error, or when abandon is called; one of these must happen.
struct IncomingResponse {
    ResponseHead head;
    ReadBody readBody;
    std::function<void()> abandon;
};

// What a handler tells the sender's side about a request. Hooks may be empty.
struct RequestProgress {
    // Replaces the memory that the handler keeps for the request: its body for a repeat, and a response read ahead.
    std::function<void(ByteCount)> keep;
    // Called before the request is first passed on. False if its sender is being refused: it must not be passed on.
    std::function<bool()> beginSending;
    // Waits until all requests that the sender sent before this one have been answered. Results in false if the request
    // must not be passed on, since an earlier answer closes the connection. Empty if there are none.
    std::function<asio::awaitable<bool>()> turn;

    void kept(std::size_t bytes) const
    {
        if (keep)
            keep(ByteCount(bytes));
    }
    bool maySend() const { return !beginSending || beginSending(); }
    // To be awaited before a request that is not idempotent is passed on.
    asio::awaitable<bool> awaitTurn() const;
};

struct IncomingRequest {
    RequestHead head;
    ReadBody readBody;
    std::string remote; // Sender's address, for logs.
    RequestProgress progress {};
};

// Writes one response. After an error no further calls may be made, as later writes may never complete. If a handler
// returns without a successful finish(), the connection or stream is aborted, so that the receiver cannot take a
// partial response for a complete one.
struct ResponseWriter {
    std::function<ExchangeResult<void>(const ResponseHead&)> writeHead;
    std::function<ExchangeResult<void>(asio::const_buffer)> writeBody;
    std::function<ExchangeResult<void>()> finish;
};

// Serves one request. Cancelled (through Asio's cancellation) when the sender disconnects.
using RequestHandler = std::function<asio::awaitable<void>(IncomingRequest, ResponseWriter)>;

// Writes a complete response for an error: kind and outcome in the head, one sentence as the body. `retryAfter` tells
// the caller when to retry.
asio::awaitable<void> writeError(
    const ResponseWriter&, ErrorKind, Outcome, std::optional<Duration> retryAfter = std::nullopt);

} // namespace dogwoodhall
