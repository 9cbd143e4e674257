#pragma once

#include "dogwoodhall/budget/CallerAccount.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/http/RequestPipeline.h"

#include "MessageRules.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dogwoodhall {

// What a request needs beside others in progress on its connection.
struct PipelinedRequest {
    PipelinedRequest(const boost::asio::any_io_executor& executor, RequestNumber number)
        : number(number)
        , turn(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    RequestNumber number;
    CallerStage stage = CallerStage::Body;
    boost::asio::steady_timer turn; // Cancelled when the answer may be written.
    boost::asio::cancellation_signal cancellation; // Of the handler.
    std::size_t headBytes = 0; // Charged as CallerMemory::Head.
    std::size_t keptBytes = 0; // Charged as CallerMemory::Kept.
    bool hasAnswer = false; // Its answer has begun, or waits for its turn.
    bool hasEnded = false; // The handler has returned.
};

// The state of a request in progress.
struct CurrentRequest {
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser;
    ChunkExtensionLimit chunkExtensions;
    std::optional<Duration> retryAfter; // If the limits that bind the request are not certain; see RetryIfUncertain.
    bool expectsContinue = false;
    bool keepAlive = false;
    bool isHead = false;
    bool isHandled = false; // The handler has been called.
    bool isEnded = false; // By endRequestsInProgress().
    bool isResponseComplete = false; // The response has been written completely.
    // Remaining bytes of the response body. Empty before the head is written or if the length is not declared.
    std::optional<std::uint64_t> bytesLeft;
    std::optional<boost::beast::http::response<boost::beast::http::buffer_body>> response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> serializer;
    std::optional<PipelinedRequest> pipelined; // Empty if no other request may run beside this one.
};

} // namespace dogwoodhall
