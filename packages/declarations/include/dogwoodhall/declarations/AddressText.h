#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

namespace dogwoodhall {

// Like parseNetworkAddress(), but also checks that the IP part is a valid IPv4 or IPv6 address, so that connecting or
// listening cannot fail because of its format.
std::optional<NetworkAddress> parseListeningAddress(std::string_view text);

// Like parseListeningAddress(), but rejects port 0.
std::optional<NetworkAddress> parseRemoteAddress(std::string_view text);

} // namespace dogwoodhall
