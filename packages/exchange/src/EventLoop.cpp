#include "dogwoodhall/exchange/EventLoop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <memory>
#include <utility>

namespace dogwoodhall {

std::string describe(std::exception_ptr e)
{
    try {
        std::rethrow_exception(std::move(e));
    } catch (const std::exception& exception) {
        return exception.what();
    } catch (...) {
        return "unknown exception";
    }
}

void runEventLoop(asio::io_context& io, const ExceptionHandler& handleException)
{
    while (!io.stopped()) {
        try {
            io.run();
        } catch (...) {
            handleException(describe(std::current_exception()));
        }
    }
}

void RethrowToLoop::operator()(std::exception_ptr e) const
{
    if (e)
        std::rethrow_exception(std::move(e));
}

asio::awaitable<void> captureException(asio::awaitable<void> work, std::exception_ptr& failure)
{
    const auto state = co_await asio::this_coro::cancellation_state;
    try {
        co_await std::move(work);
    } catch (...) {
        if (state.cancelled() == asio::cancellation_type::none)
            failure = std::current_exception();
    }
}

void spawnPermanent(asio::any_io_executor executor, std::function<asio::awaitable<void>()> task,
    std::chrono::steady_clock::duration restartDelay)
{
    // The closure must outlive the coroutine, which refers to its captures.
    auto shared = std::make_shared<std::function<asio::awaitable<void>()>>(std::move(task));
    asio::co_spawn(executor, (*shared)(), [executor, shared, restartDelay](std::exception_ptr e) {
        if (!e)
            return;
        auto timer = std::make_shared<asio::steady_timer>(executor, restartDelay);
        timer->async_wait([executor, shared, restartDelay, timer](
                              const boost::system::error_code&) { spawnPermanent(executor, *shared, restartDelay); });
        std::rethrow_exception(std::move(e));
    });
}

} // namespace dogwoodhall
