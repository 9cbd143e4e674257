#include "dogwoodhall/exchange/Exchange.h"

#include "dogwoodhall/exchange/WholeBody.h"

namespace dogwoodhall {

ReadBody emptyBody()
{
    return [](asio::mutable_buffer) -> ExchangeResult<std::size_t> { co_return std::size_t { 0 }; };
}

asio::awaitable<void> writeError(const ResponseWriter& writer, ErrorKind kind, Outcome outcome)
{
    const ErrorAnswer& answer = answerFor(kind);
    const std::string body = std::string(answer.text) + "\n";
    ResponseHead head;
    head.status = answer.status;
    head.fields.add("Content-Type", "text/plain");
    head.fields.add(std::string(fields::error), std::string(answer.name));
    head.fields.add(std::string(fields::outcome), std::string(toString(outcome)));
    co_await writeWhole(writer, head, body);
}

} // namespace dogwoodhall
