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

// A port of 127.0.0.1 that the kernel chose, held without listening. A process that sets SO_REUSEPORT can listen on it;
// while none does, connections are refused, and no test that runs at the same time is given the port.
class ReservedPort {
public:
    ReservedPort();
    ReservedPort(ReservedPort&&) noexcept;
    ReservedPort& operator=(ReservedPort&&) = delete;
    ~ReservedPort();

    const NetworkAddress& address() const { return m_address; }

private:
    int m_socket = -1;
    NetworkAddress m_address;
};

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
