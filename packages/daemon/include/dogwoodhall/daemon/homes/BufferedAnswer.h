#pragma once

#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/request/TicketLedger.h"

#include <optional>
#include <string>

namespace dogwoodhall {

// Buffers a response in memory instead of sending it, up to a size limit.
class BufferedAnswer {
public:
    explicit BufferedAnswer(ByteCount limit);

    // This object must outlive the writer.
    ResponseWriter writer();

    // The response; empty until it has been completed.
    const std::optional<StoredAnswer>& complete() const { return m_complete; }

private:
    ExchangeResult<void> writeHead(const ResponseHead&);
    ExchangeResult<void> writeBody(asio::const_buffer);
    ExchangeResult<void> finish();

    ByteCount m_limit;
    StoredAnswer m_answer;
    std::optional<StoredAnswer> m_complete;
};

// The writer and the response must outlive the returned awaitable.
asio::awaitable<void> writeStored(const ResponseWriter&, const StoredAnswer&);

} // namespace dogwoodhall
