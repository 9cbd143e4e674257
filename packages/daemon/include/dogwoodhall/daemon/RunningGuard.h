#pragma once

#include <cstddef>

namespace dogwoodhall {

// Counts a request as running during the lifetime of this object. The counter must outlive it.
class RunningGuard {
public:
    explicit RunningGuard(std::size_t& running)
        : m_running(running)
    {
        ++m_running;
    }
    RunningGuard(const RunningGuard&) = delete;
    RunningGuard& operator=(const RunningGuard&) = delete;
    ~RunningGuard() { --m_running; }

private:
    std::size_t& m_running;
};

} // namespace dogwoodhall
