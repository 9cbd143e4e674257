#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/telemetry/Counter.h"

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Category of a line. Each kind has its own rate limit, so that no kind crowds out the others.
enum class EventKind : std::uint8_t {
    Lifecycle, // Start, stop, reload, a dependency lost or regained. Not rate limited.
    Belief, // A change in the process's view of other hosts, such as a removed endpoint.
    Request, // A request that was answered in time.
    Failure, // A request that was refused, failed, retried or late, and each of its steps.
    Text, // Other lines.
};

inline constexpr std::size_t eventKindCount = 5;

// One structured log line: a JSON object whose members are in the order of the add() calls.
class EventLine {
public:
    EventLine(EventKind, std::string_view event);

    EventLine& add(std::string_view name, std::string_view text);
    // Without this overload a string literal would convert to bool.
    EventLine& add(std::string_view name, const char* text) { return add(name, std::string_view(text)); }
    EventLine& add(std::string_view name, std::uint64_t value);
    EventLine& add(std::string_view name, bool value);
    EventLine& addMilliseconds(std::string_view name, Duration);
    EventLine& addNumber(std::string_view name, double value); // Formatted with three decimal places.

    EventKind kind() const { return m_kind; }
    // Returns the JSON object followed by a newline.
    std::string finish() &&;

private:
    void appendName(std::string_view);

    EventKind m_kind;
    std::string m_text;
};

struct EventLogLimits {
    std::size_t lines = 4096; // Buffered while the reader is slow; further lines are dropped.
    std::size_t bytes = 1024 * 1024;
    // Rate limit and burst per kind. At 25 requests per second an entry host logs all lines.
    std::uint64_t linesPerSecond = 200;
    std::uint64_t burst = 400;
};

// Buffers lines to be written to a file descriptor. add() never blocks; flush() writes what the descriptor accepts
// without blocking. Thread-safe.
class EventLog {
public:
    explicit EventLog(EventLogLimits limits = {});

    void add(EventLine, TimePoint now);
    // Writes as much as the descriptor accepts without blocking. Also logs the number of lines dropped since the last
    // call, if any.
    void flush(int fd);
    std::uint64_t dropped() const { return m_dropped.value(); }

private:
    bool acquireToken(EventKind, TimePoint now);

    struct TokenBucket {
        TimePoint lastRefill;
        std::uint64_t tokens = 0;
    };

    EventLogLimits m_limits;
    std::mutex m_mutex;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_writtenOfFirstLine = 0; // Bytes of the first line already written.
    std::array<TokenBucket, eventKindCount> m_buckets {};
    std::uint64_t m_reportedDropped = 0; // Value of m_dropped at the last report.
    Counter m_dropped;
};

} // namespace dogwoodhall
