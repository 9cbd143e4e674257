#include "dogwoodhall/exchange/Exchange.h"

#include "dogwoodhall/exchange/WholeBody.h"

#include <array>
#include <cstdio>

namespace dogwoodhall {

ReadBody emptyBody()
{
    return [](asio::mutable_buffer) -> ExchangeResult<std::size_t> { co_return std::size_t { 0 }; };
}

asio::awaitable<bool> RequestProgress::awaitTurn() const
{
    if (!turn)
        co_return true;
    co_return co_await turn();
}

asio::awaitable<void> writeError(
    const ResponseWriter& writer, ErrorKind kind, Outcome outcome, std::optional<Duration> retryAfter)
{
    const ErrorAnswer& answer = answerFor(kind);
    const std::string body = std::string(answer.text) + "\n";
    ResponseHead head;
    head.status = answer.status;
    head.fields.add("Content-Type", "text/plain");
    head.fields.add(std::string(fields::error), std::string(answer.name));
    head.fields.add(std::string(fields::outcome), std::string(toString(outcome)));
    if (retryAfter) {
        std::array<char, 32> text {};
        const int n = std::snprintf(text.data(), text.size(), "%.3f", toSeconds(*retryAfter));
        head.fields.add("Retry-After", std::string(text.data(), static_cast<std::size_t>(n)));
    }
    co_await writeFullResponse(writer, head, body);
}

} // namespace dogwoodhall
