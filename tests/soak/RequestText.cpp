#include "RequestText.h"

#include <algorithm>
#include <cstdio>

namespace dogwoodhall::soak {

namespace {

constexpr std::size_t maxBodyBytes = 1800;
constexpr std::size_t maxChunkBytes = 700;
constexpr std::size_t longHeadBytes = 12 * 1024;
constexpr std::size_t longHeadShare = 20; // One in so many GET requests.

// With line ends, as a parser that reads past the head would take them for fields.
std::string bodyOf(std::size_t bytes)
{
    static const std::string line = "one loaf, two rolls\r\n\r\n";
    std::string body;
    while (body.size() < bytes)
        body += line;
    body.resize(bytes);
    return body;
}

std::string inChunks(const std::string& body, const RandomBelow& randomBelow)
{
    std::string text;
    for (std::size_t begin = 0; begin < body.size();) {
        const auto size = std::min(body.size() - begin, 1 + randomBelow(maxChunkBytes));
        char length[16];
        std::snprintf(length, sizeof(length), "%zx", size);
        text += length;
        text += randomBelow(4) == 0 ? ";part=next\r\n" : "\r\n";
        text += body.substr(begin, size) + "\r\n";
        begin += size;
    }
    return text + "0\r\n\r\n";
}

} // namespace

std::vector<std::string> composeRequest(const RequestText& request, const RandomBelow& randomBelow)
{
    std::string head = request.method + " " + request.path + request.id + " HTTP/1.1\r\nHost: shop\r\n";
    head += "Dogwoodhall-Attempt-Id: " + request.id + "\r\n";
    head += "Dogwoodhall-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    if (request.method != "POST") {
        if (randomBelow(longHeadShare) == 0)
            head += "X-Filler: " + std::string(randomBelow(longHeadBytes), 'f') + "\r\n";
        return { head + "\r\n" };
    }
    auto body = bodyOf(randomBelow(maxBodyBytes + 1));
    const bool isChunked = randomBelow(2) == 0;
    if (isChunked)
        body = inChunks(body, randomBelow);
    head += isChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                      : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const auto form = randomBelow(3);
    if (form == 0)
        return { head + body };
    if (form == 1)
        return { head, body };
    const auto text = head + body;
    const auto cut = 1 + randomBelow(text.size() - 1);
    return { text.substr(0, cut), text.substr(cut) };
}

} // namespace dogwoodhall::soak
