#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dogwoodhall {

// Decides which log lines to write when one repeats: the first few of each period, and after it how many were left
// out.
class LogLimiter {
public:
    static constexpr unsigned linesPerPeriod = 5;
    static constexpr Duration period = std::chrono::seconds(10);
    // Distinct lines remembered; beyond it all are forgotten, so that memory stays bounded.
    static constexpr std::size_t maxLines = 1024;

    struct Verdict {
        bool write = true;
        unsigned leftOut = 0; // Of the same line in the period before.
    };

    Verdict offer(std::string_view line, TimePoint now);

private:
    struct Entry {
        TimePoint periodStart;
        unsigned seen = 0;
    };
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace dogwoodhall
