#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

struct AdminReply {
    unsigned status = 0;
    std::string body;
};

// Client for the admin port of one process. Each call blocks for at most the given time.
class AdminClient {
public:
    explicit AdminClient(NetworkAddress);

    // The error is a message that says why there is no response.
    tl::expected<AdminReply, std::string> request(
        const std::string& method, const std::string& target, Duration timeout);

    // Waits until the port refuses connections, which means that the process has ended. If `limit` is 0, waits without
    // a limit. Returns false if the limit has passed, or an error if connecting keeps failing for another reason.
    tl::expected<bool, std::string> waitUntilStopped(Duration limit);

private:
    NetworkAddress m_address;
};

} // namespace dogwoodhall
