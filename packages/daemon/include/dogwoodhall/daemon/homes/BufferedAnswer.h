#pragma once

#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/request/TicketLedger.h"

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

// Writer and answer must outlive the call.
asio::awaitable<void> writeStored(const ResponseWriter&, const StoredAnswer&);

} // namespace dogwoodhall
