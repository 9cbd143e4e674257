#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dogwoodhall {

// Upper bound of each wait for an event that a test expects. Generous, since machines that run tests are busy; a test
// that passes does not wait this long.
constexpr std::chrono::seconds testDeadline { 30 };

// A port of 127.0.0.1 that the kernel chose, bound without listening. A process that sets SO_REUSEPORT can listen on
// it. While none does, connections are refused, and the kernel gives the port to no concurrent test.
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

// A child process. It is killed when the object is destroyed, and by the kernel if the test's process ends without
// destroying it, for example after a failed assertion.
class Process {
public:
    explicit Process(const std::vector<std::string>& commandLine);
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;
    ~Process();

    pid_t id() const { return m_id; }

    // Reads the line "listening ..." from standard output: "listening ADDRESS" is returned under the key "address",
    // "listening a=ADDRESS b=ADDRESS" under the keys "a" and "b".
    std::map<std::string, NetworkAddress> readListening();

    void signal(int number) const;
    // Exit status, or 128 + the signal's number. Empty if the process still runs after the wait.
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
