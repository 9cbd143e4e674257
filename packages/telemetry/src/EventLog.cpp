#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <climits>
#include <cstdio>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace dogwoodhall {

namespace {

// In the order of EventKind.
constexpr std::array<std::string_view, eventKindCount> kindNames { "lifecycle", "belief", "request", "failure",
    "text" };

std::string formatNumber(double value)
{
    std::array<char, 32> text {};
    const int n = std::snprintf(text.data(), text.size(), "%.3f", value);
    return { text.data(), static_cast<std::size_t>(n) };
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
bool isReady(int fd)
{
    pollfd waiting { fd, POLLOUT, 0 };
    return ::poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

} // namespace

EventLine::EventLine(EventKind kind, std::string_view event)
    : m_kind(kind)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_text = "{\"time\":" + formatNumber(std::chrono::duration<double>(now).count());
    add("kind", kindNames[static_cast<std::size_t>(kind)]);
    add("event", event);
}

void EventLine::appendName(std::string_view name)
{
    m_text += ",\"";
    m_text += name;
    m_text += "\":";
}

EventLine& EventLine::add(std::string_view field, std::string_view text)
{
    appendName(field);
    m_text += boost::json::serialize(boost::json::string_view(text.data(), text.size()));
    return *this;
}

EventLine& EventLine::add(std::string_view field, std::uint64_t value)
{
    appendName(field);
    m_text += std::to_string(value);
    return *this;
}

EventLine& EventLine::add(std::string_view field, bool value)
{
    appendName(field);
    m_text += value ? "true" : "false";
    return *this;
}

EventLine& EventLine::addMilliseconds(std::string_view field, Duration value)
{
    return addNumber(field, toMilliseconds(value));
}

EventLine& EventLine::addNumber(std::string_view field, double value)
{
    appendName(field);
    m_text += formatNumber(value);
    return *this;
}

std::string EventLine::finish() && { return std::move(m_text) + "}\n"; }

EventLog::EventLog(EventLogLimits limits)
    : m_limits(limits)
{
    for (auto& bucket : m_buckets)
        bucket.tokens = limits.burst;
}

bool EventLog::acquireToken(EventKind kind, TimePoint now)
{
    if (kind == EventKind::Lifecycle)
        return true;
    auto& bucket = m_buckets[static_cast<std::size_t>(kind)];
    const double elapsed = toSeconds(now - bucket.lastRefill);
    const auto refill = static_cast<std::uint64_t>(elapsed * static_cast<double>(m_limits.linesPerSecond));
    if (refill > 0) {
        bucket.tokens = std::min(bucket.tokens + refill, m_limits.burst);
        bucket.lastRefill = now;
    }
    if (bucket.tokens == 0)
        return false;
    --bucket.tokens;
    return true;
}

void EventLog::add(EventLine line, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool hasRoom = m_lines.size() < m_limits.lines && m_bytes < m_limits.bytes;
    if (!hasRoom || !acquireToken(line.kind(), now)) {
        m_dropped.add();
        return;
    }
    m_lines.push_back(std::move(line).finish());
    m_bytes += m_lines.back().size();
}

void EventLog::flush(int fd)
{
    const std::lock_guard lock(m_mutex);
    if (const auto dropped = m_dropped.value(); dropped > m_reportedDropped) {
        EventLine line(EventKind::Lifecycle, "log-lines-dropped");
        line.add("count", dropped - m_reportedDropped);
        m_lines.push_back(std::move(line).finish());
        m_bytes += m_lines.back().size();
        m_reportedDropped = dropped;
    }
    while (!m_lines.empty() && isReady(fd)) {
        // Combines lines into one write of at most PIPE_BUF bytes, which does not block.
        std::string chunk;
        for (const auto& line : m_lines) {
            if (!chunk.empty() && chunk.size() + line.size() > PIPE_BUF)
                break;
            chunk += line;
        }
        const auto text = std::string_view(chunk).substr(m_writtenOfFirstLine, PIPE_BUF);
        const auto n = ::write(fd, text.data(), text.size());
        if (n <= 0)
            return; // The reader is gone or the pipe has been filled meanwhile. The buffer stays bounded.
        m_writtenOfFirstLine += static_cast<std::size_t>(n);
        while (!m_lines.empty() && m_writtenOfFirstLine >= m_lines.front().size()) {
            m_writtenOfFirstLine -= m_lines.front().size();
            m_bytes -= m_lines.front().size();
            m_lines.pop_front();
        }
    }
}

} // namespace dogwoodhall
