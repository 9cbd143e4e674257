#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dogwoodhall {

// Limits repeated log lines: the first few in each period are written, and the number of suppressed ones is reported in
// a later period.
class LogLimiter {
public:
    static constexpr unsigned linesPerPeriod = 5;
    static constexpr Duration period = std::chrono::seconds(10);
    // Number of distinct lines tracked. When it is reached all are forgotten, which bounds memory.
    static constexpr std::size_t maxLines = 1024;

    struct Decision {
        bool write = true;
        unsigned suppressed = 0; // Number of identical lines suppressed in the previous period.
    };

    Decision check(std::string_view line, TimePoint now);

private:
    struct Entry {
        TimePoint periodStart;
        unsigned seen = 0;
    };
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace dogwoodhall
