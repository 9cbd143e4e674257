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

std::string number(double value)
{
    std::array<char, 32> text {};
    const int n = std::snprintf(text.data(), text.size(), "%.3f", value);
    return { text.data(), static_cast<std::size_t>(n) };
}

// A pipe that is ready takes PIPE_BUF bytes without blocking.
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
    m_text = "{\"time\":" + number(std::chrono::duration<double>(now).count());
    add("kind", kindNames[static_cast<std::size_t>(kind)]);
    add("event", event);
}

void EventLine::name(std::string_view name)
{
    m_text += ",\"";
    m_text += name;
    m_text += "\":";
}

EventLine& EventLine::add(std::string_view field, std::string_view text)
{
    name(field);
    m_text += boost::json::serialize(boost::json::string_view(text.data(), text.size()));
    return *this;
}

EventLine& EventLine::add(std::string_view field, std::uint64_t value)
{
    name(field);
    m_text += std::to_string(value);
    return *this;
}

EventLine& EventLine::add(std::string_view field, bool value)
{
    name(field);
    m_text += value ? "true" : "false";
    return *this;
}

EventLine& EventLine::addMilliseconds(std::string_view field, Duration value)
{
    return addNumber(field, toMilliseconds(value));
}

EventLine& EventLine::addNumber(std::string_view field, double value)
{
    name(field);
    m_text += number(value);
    return *this;
}

std::string EventLine::finish() && { return std::move(m_text) + "}\n"; }

EventLog::EventLog(EventLogLimits limits)
    : m_limits(limits)
{
    for (auto& rate : m_rates)
        rate.tokens = limits.burst;
}

bool EventLog::mayWrite(EventKind kind, TimePoint now)
{
    if (kind == EventKind::Lifecycle)
        return true;
    auto& rate = m_rates[static_cast<std::size_t>(kind)];
    const double elapsed = toSeconds(now - rate.since);
    const auto earned = static_cast<std::uint64_t>(elapsed * static_cast<double>(m_limits.linesPerSecond));
    if (earned > 0) {
        rate.tokens = std::min(rate.tokens + earned, m_limits.burst);
        rate.since = now;
    }
    if (rate.tokens == 0)
        return false;
    --rate.tokens;
    return true;
}

void EventLog::add(EventLine line, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool hasRoom = m_lines.size() < m_limits.lines && m_bytes < m_limits.bytes;
    if (!hasRoom || !mayWrite(line.kind(), now)) {
        m_dropped.add();
        return;
    }
    m_lines.push_back(std::move(line).finish());
    m_bytes += m_lines.back().size();
}

void EventLog::flush(int fd)
{
    const std::lock_guard lock(m_mutex);
    if (const auto dropped = m_dropped.value(); dropped > m_reported) {
        EventLine line(EventKind::Lifecycle, "log-lines-dropped");
        line.add("count", dropped - m_reported);
        m_lines.push_back(std::move(line).finish());
        m_bytes += m_lines.back().size();
        m_reported = dropped;
    }
    while (!m_lines.empty() && isReady(fd)) {
        // Several lines in one write, up to what never blocks.
        std::string chunk;
        for (const auto& line : m_lines) {
            if (!chunk.empty() && chunk.size() + line.size() > PIPE_BUF)
                break;
            chunk += line;
        }
        const auto text = std::string_view(chunk).substr(m_written, PIPE_BUF);
        const auto n = ::write(fd, text.data(), text.size());
        if (n <= 0)
            return; // The reader is gone, or was faster to fill the pipe; what is kept stays bounded.
        m_written += static_cast<std::size_t>(n);
        while (!m_lines.empty() && m_written >= m_lines.front().size()) {
            m_written -= m_lines.front().size();
            m_bytes -= m_lines.front().size();
            m_lines.pop_front();
        }
    }
}

} // namespace dogwoodhall
