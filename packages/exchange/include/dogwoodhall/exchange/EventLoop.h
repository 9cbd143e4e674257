#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace dogwoodhall {

namespace asio = boost::asio;

// Receives the text of an exception that no one else has handled.
using ExceptionHandler = std::function<void(std::string_view text)>;

// The text of an exception, or "unknown exception" if it is not derived from std::exception.
std::string describe(std::exception_ptr);

// Runs the loop until it is stopped or has no more work. An exception that a handler throws is passed to the
// ExceptionHandler and ends only that handler: one unexpected message must not end the process and with it the requests
// of all other connections.
void runEventLoop(asio::io_context&, const ExceptionHandler&);

// Completion handler for co_spawn() in place of asio::detached, which drops exceptions: passes them to the
// ExceptionHandler of runEventLoop().
struct RethrowToLoop {
    void operator()(std::exception_ptr) const;
};
inline constexpr RethrowToLoop rethrowToLoop;

// Runs `work` as an operand of operator||. That operator would go on waiting for the other operand after an exception
// of one, possibly for good; this one stores the exception, so that the caller can rethrow it. One that follows a
// cancellation is dropped.
asio::awaitable<void> captureException(asio::awaitable<void> work, std::exception_ptr& failure);

// Starts a task that runs as long as the process. If it ends with an exception, the exception is passed on as by
// RethrowToLoop and the task is started again after `restartDelay`.
void spawnPermanent(asio::any_io_executor, std::function<asio::awaitable<void>()> task,
    std::chrono::steady_clock::duration restartDelay = std::chrono::seconds(1));

} // namespace dogwoodhall
