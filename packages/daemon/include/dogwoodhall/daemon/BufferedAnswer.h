#pragma once

#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/request/TicketLedger.h"

#include <chrono>
#include <optional>
#include <string>

namespace dogwoodhall {

// Takes an answer into memory in place of sending it, up to a bound.
class BufferedAnswer {
public:
    explicit BufferedAnswer(ByteCount limit);

    // The object must outlive the writer.
    ResponseWriter writer();

    // The answer, once it was finished whole.
    const std::optional<StoredAnswer>& whole() const { return m_whole; }

private:
    ExchangeResult<void> writeHead(const ResponseHead&);
    ExchangeResult<void> writeBody(asio::const_buffer);
    ExchangeResult<void> finish();

    ByteCount m_limit;
    StoredAnswer m_answer;
    std::optional<StoredAnswer> m_whole;
};

asio::awaitable<void> writeStored(const ResponseWriter&, const StoredAnswer&);

// Reads a body whole, up to a bound; larger ones are ErrorKind::BodyTooLarge.
ExchangeResult<std::string> readWhole(const ReadBody&, ByteCount limit);

// Reads the body of an answer whole, up to a bound and by `deadline`. A larger one is ErrorKind::BodyTooLarge, a later
// one ErrorKind::DeadlineExceeded, and the connection or stream of both is closed instead of being held with the rest
// unread. The answer must outlive the call.
ExchangeResult<std::string> readWhole(
    IncomingResponse&, ByteCount limit, std::chrono::steady_clock::time_point deadline);

// A body in memory.
ReadBody bodyFrom(std::string);

} // namespace dogwoodhall
