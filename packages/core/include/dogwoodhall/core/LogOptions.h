#pragma once

#include <cstdint>

namespace dogwoodhall {

enum class LogFormat : std::uint8_t {
    Text, // 2026-01-31T12:00:00.123Z warning config: Sentence.
    Json, // {"time":...,"level":...,"part":...,"message":...}
};

// In ascending order of severity; lines below the configured level are not written.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogOptions {
    LogFormat format = LogFormat::Text;
    LogLevel level = LogLevel::Info;

    friend bool operator==(const LogOptions&, const LogOptions&) = default;
};

} // namespace dogwoodhall
