#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

struct RequestText {
    std::string method;
    std::string path;
    std::string id;
    int deadlineMs = 0;
};

// Returns a number below its argument.
using RandomBelow = std::function<std::size_t(std::size_t)>;

// The request as a proper client may send it, in the pieces that it writes one after the other. A GET has a head of up
// to 12 KB now and then; a POST has a body of up to 1,800 bytes with a length or in chunks, in one piece with its head
// or apart, or cut at any place.
std::vector<std::string> composeRequest(const RequestText&, const RandomBelow&);

} // namespace dogwoodhall::soak
