#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dogwoodhall {

// Longest wait for anything a test expects to happen. Generous, since machines that run tests are busy; a test that
// passes does not wait for it.
constexpr std::chrono::seconds testDeadline { 30 };

// A child process. It is killed when the object is destroyed, and by the kernel when the test's process ends without
// that, as after a failed assertion.
class Process {
public:
    explicit Process(const std::vector<std::string>& commandLine);
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;
    ~Process();

    pid_t id() const { return m_id; }

    // Reads the line "listening ..." from standard output: "listening ADDRESS" gives the key "address",
    // "listening a=ADDRESS b=ADDRESS" a key for each.
    std::map<std::string, NetworkAddress> readListening();

    void signal(int number) const;
    // Exit status, or 128 + the signal's number. Empty where the process still runs after the wait.
    std::optional<int> waitForExit(std::chrono::milliseconds = testDeadline);
    bool isRunning() { return !waitForExit(std::chrono::milliseconds(0)); }
    void kill();

    std::size_t residentKilobytes() const; // VmRSS

private:
    pid_t m_id = -1;
    int m_output = -1;
    std::optional<int> m_exitStatus;
};

} // namespace dogwoodhall
