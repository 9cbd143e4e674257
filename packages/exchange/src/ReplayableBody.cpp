#include "dogwoodhall/exchange/ReplayableBody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr std::size_t prefetchBufferBytes = 16 * 1024;

} // namespace

ReplayableBody::ReplayableBody(ReadBody source, ByteCount limit, std::function<void(std::size_t)> resized)
    : m_source(std::move(source))
    , m_limit(limit)
    , m_resized(std::move(resized))
{
}

ReadBody ReplayableBody::reader()
{
    return [this](asio::mutable_buffer buf) { return read(buf); };
}

ExchangeResult<void> ReplayableBody::prefetch()
{
    std::string buf(std::min<std::size_t>(m_limit.count(), prefetchBufferBytes), '\0');
    setPrefetchBytes(buf.size());
    while (!m_ended && m_buffered.size() < m_limit.count()) {
        const std::size_t wanted = std::min<std::size_t>(buf.size(), m_limit.count() - m_buffered.size());
        auto n = co_await read(asio::buffer(buf.data(), wanted));
        if (!n)
            co_return tl::unexpected(n.error());
    }
    setPrefetchBytes(0);
    rewind();
    co_return tl::expected<void, ExchangeError> {};
}

void ReplayableBody::rewind() { m_position = 0; }

void ReplayableBody::setPrefetchBytes(std::size_t bytes)
{
    m_prefetchBytes = bytes;
    if (m_resized)
        m_resized(memory());
}

void ReplayableBody::append(asio::const_buffer part)
{
    const auto before = m_buffered.capacity();
    m_buffered.append(static_cast<const char*>(part.data()), part.size());
    m_position = m_buffered.size();
    if (m_resized && m_buffered.capacity() != before)
        m_resized(memory());
}

void ReplayableBody::dropBuffered()
{
    m_position = 0;
    if (m_buffered.empty())
        return;
    m_buffered = std::string();
    if (m_resized)
        m_resized(memory());
}

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
        append(asio::buffer(buf.data(), *n));
    } else if (*n > 0) {
        m_overflowed = true;
        dropBuffered();
    }
    co_return n;
}

} // namespace dogwoodhall
