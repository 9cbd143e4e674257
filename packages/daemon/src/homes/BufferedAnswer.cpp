#include "dogwoodhall/daemon/homes/BufferedAnswer.h"

#include "dogwoodhall/exchange/WholeBody.h"

#include <utility>

namespace dogwoodhall {

BufferedAnswer::BufferedAnswer(ByteCount limit)
    : m_limit(limit)
{
}

ResponseWriter BufferedAnswer::writer()
{
    return { [this](const ResponseHead& head) { return writeHead(head); },
        [this](asio::const_buffer buf) { return writeBody(buf); }, [this] { return finish(); } };
}

ExchangeResult<void> BufferedAnswer::writeHead(const ResponseHead& head)
{
    m_answer.status = head.status;
    for (const auto& field : head.fields)
        m_answer.fields.emplace_back(field.name, field.value);
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> BufferedAnswer::writeBody(asio::const_buffer buf)
{
    if (m_answer.body.size() + buf.size() > m_limit.count())
        co_return tl::unexpected(ExchangeError { ErrorKind::UpstreamTruncated, false, "response too large to buffer" });
    m_answer.body.append(static_cast<const char*>(buf.data()), buf.size());
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> BufferedAnswer::finish()
{
    m_complete = std::move(m_answer);
    co_return tl::expected<void, ExchangeError> {};
}

asio::awaitable<void> writeStored(const ResponseWriter& writer, const StoredAnswer& answer)
{
    ResponseHead head;
    head.status = answer.status;
    for (const auto& [name, value] : answer.fields)
        head.fields.add(name, value);
    co_await writeFullResponse(writer, head, answer.body);
}

} // namespace dogwoodhall
