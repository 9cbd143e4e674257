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

// What a line is about. Each kind has a rate of its own, so that none crowds out the others.
enum class EventKind : std::uint8_t {
    Lifecycle, // Start, stop, reload, a dependency lost or regained. Never dropped for its rate.
    Belief, // What the process takes for true has changed.
    Request, // A request that was answered in time.
    Failure, // A request that was refused, failed, repeated or late, and each step of it.
    Text, // Other lines.
};

inline constexpr std::size_t eventKindCount = 5;

// One structured line: a JSON object whose members are in the order of add().
class EventLine {
public:
    EventLine(EventKind, std::string_view event);

    EventLine& add(std::string_view name, std::string_view text);
    // A literal would otherwise convert to bool.
    EventLine& add(std::string_view name, const char* text) { return add(name, std::string_view(text)); }
    EventLine& add(std::string_view name, std::uint64_t value);
    EventLine& add(std::string_view name, bool value);
    EventLine& addMilliseconds(std::string_view name, Duration);
    EventLine& addNumber(std::string_view name, double value); // With three digits after the point.

    EventKind kind() const { return m_kind; }
    // The object with its line end.
    std::string finish() &&;

private:
    void name(std::string_view);

    EventKind m_kind;
    std::string m_text;
};

struct EventLogLimits {
    std::size_t lines = 4096; // Kept while the reader is slow; further ones are dropped.
    std::size_t bytes = 1024 * 1024;
    // Lines a second of one kind, and at once. At 25 requests a second an entry host writes all of them.
    std::uint64_t linesPerSecond = 200;
    std::uint64_t burst = 400;
};

// Lines on their way to a file descriptor. add() never waits; flush() writes what the descriptor takes without
// blocking. Thread-safe.
class EventLog {
public:
    explicit EventLog(EventLogLimits limits = {});

    void add(EventLine, TimePoint now);
    // Writes as much as the descriptor takes at once. Lines that were dropped since the last call are reported in a
    // line of their own.
    void flush(int fd);
    std::uint64_t dropped() const { return m_dropped.value(); }

private:
    bool mayWrite(EventKind, TimePoint now);

    struct Rate {
        TimePoint since;
        std::uint64_t tokens = 0;
    };

    EventLogLimits m_limits;
    std::mutex m_mutex;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_written = 0; // Of the first line.
    std::array<Rate, eventKindCount> m_rates {};
    std::uint64_t m_reported = 0; // Of the dropped lines.
    Counter m_dropped;
};

} // namespace dogwoodhall
