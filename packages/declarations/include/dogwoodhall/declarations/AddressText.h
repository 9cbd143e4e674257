#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

namespace dogwoodhall {

// As parseNetworkAddress(), and the IP part is a valid IPv4 or IPv6 number, so that connecting or listening cannot fail
// for its form.
std::optional<NetworkAddress> parseListeningAddress(std::string_view text);

// As parseListeningAddress(), with a port other than 0.
std::optional<NetworkAddress> parseRemoteAddress(std::string_view text);

} // namespace dogwoodhall
