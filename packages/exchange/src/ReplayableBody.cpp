#include "dogwoodhall/exchange/ReplayableBody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr std::size_t prefetchBufferBytes = 16 * 1024;

} // namespace

ReplayableBody::ReplayableBody(ReadBody source, ByteCount limit)
    : m_source(std::move(source))
    , m_limit(limit)
{
}

ReadBody ReplayableBody::reader()
{
    return [this](asio::mutable_buffer buf) { return read(buf); };
}

ExchangeResult<void> ReplayableBody::prefetch()
{
    std::string buf(std::min<std::size_t>(m_limit.count(), prefetchBufferBytes), '\0');
    while (!m_ended && m_buffered.size() < m_limit.count()) {
        const std::size_t wanted = std::min<std::size_t>(buf.size(), m_limit.count() - m_buffered.size());
        auto n = co_await read(asio::buffer(buf.data(), wanted));
        if (!n)
            co_return tl::unexpected(n.error());
    }
    rewind();
    co_return tl::expected<void, ExchangeError> {};
}

void ReplayableBody::rewind() { m_position = 0; }

ExchangeResult<std::size_t> ReplayableBody::read(asio::mutable_buffer buf)
{
    if (m_position < m_buffered.size()) {
        const std::size_t n = std::min(buf.size(), m_buffered.size() - m_position);
        std::memcpy(buf.data(), m_buffered.data() + m_position, n);
        m_position += n;
        co_return n;
    }
    if (m_ended)
        co_return std::size_t { 0 };
    auto n = co_await m_source(buf);
    if (!n) {
        m_overflowed = true;
        co_return n;
    }
    m_ended = *n == 0;
    if (!m_overflowed && m_buffered.size() + *n <= m_limit.count()) {
        m_buffered.append(static_cast<const char*>(buf.data()), *n);
        m_position = m_buffered.size();
    } else if (*n > 0) {
        m_overflowed = true;
        m_buffered.clear();
        m_position = 0;
    }
    co_return n;
}

} // namespace dogwoodhall
