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

// Asks one process on its operators' port. Each call blocks, for at most the time it is given.
class AdminClient {
public:
    explicit AdminClient(NetworkAddress);

    // The error says in words why there is no answer.
    tl::expected<AdminReply, std::string> request(
        const std::string& method, const std::string& target, Duration timeout);

    // Waits until the port refuses connections, which it does once the process has ended. Without a limit where `limit`
    // is 0. Gives false where the limit passed, and an error where the port can neither be reached nor refuses.
    tl::expected<bool, std::string> waitUntilStopped(Duration limit);

private:
    NetworkAddress m_address;
};

} // namespace dogwoodhall
