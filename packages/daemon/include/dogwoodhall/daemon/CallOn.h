#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <utility>

namespace dogwoodhall {

// Runs the function on the thread of another io_context and returns its result on the caller's. Cancelling the caller
// does not cancel the call: co_spawn would post the cancellation to the other thread with a pointer into the call's
// state, which that thread may already have destroyed.
template <typename Result>
boost::asio::awaitable<Result> callOn(boost::asio::io_context& io, std::function<Result()> function)
{
    namespace asio = boost::asio;
    auto task = [](std::function<Result()> function) -> asio::awaitable<Result> { co_return function(); };
    return asio::co_spawn(
        io, task(std::move(function)), asio::bind_cancellation_slot(asio::cancellation_slot(), asio::use_awaitable));
}

} // namespace dogwoodhall
