#pragma once

#include "PeerFixture.h"

#include <boost/asio/read.hpp>
#include <initializer_list>
#include <vector>

// Hand-written HTTP/2 frames, for peers that violate the protocol.
namespace dogwoodhall::raw {

inline constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

enum FrameType : std::uint8_t {
    Data = 0,
    Headers = 1,
    RstStream = 3,
    Settings = 4,
    Ping = 6,
    Goaway = 7,
    WindowUpdate = 8
};
inline constexpr std::uint8_t endStream = 1;
inline constexpr std::uint8_t endHeaders = 4;

struct Frame {
    std::uint8_t type;
    std::uint32_t stream;
    std::string payload;
};

inline std::string number(std::uint32_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(value >> shift & 0xff);
    return text;
}

inline std::string frame(FrameType type, std::uint8_t flags, std::uint32_t stream, const std::string& payload)
{
    return number(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) + static_cast<char>(flags)
        + number(stream, 4) + payload;
}

inline std::string settings(const std::string& payload = "") { return frame(Settings, 0, 0, payload); }

inline std::string maxConcurrentStreams(std::uint32_t n) { return settings(number(3, 2) + number(n, 4)); }

inline std::string reset(std::uint32_t stream, std::uint32_t code)
{
    return frame(RstStream, 0, stream, number(code, 4));
}

inline std::string goaway(std::uint32_t lastStream, std::uint32_t code)
{
    return frame(Goaway, 0, 0, number(lastStream, 4) + number(code, 4));
}

// A literal HPACK field with a literal name. The value must be shorter than 127 + 2^14 bytes.
inline std::string field(const std::string& name, const std::string& value)
{
    std::string text(1, '\0');
    text += static_cast<char>(name.size());
    text += name;
    if (value.size() < 127) {
        text += static_cast<char>(value.size());
    } else {
        const auto rest = static_cast<unsigned>(value.size() - 127);
        text += '\x7f';
        text += static_cast<char>(0x80 | (rest & 0x7f));
        text += static_cast<char>(0x80 | (rest >> 7 & 0x7f));
        text += static_cast<char>(rest >> 14);
    }
    return text + value;
}

// Fields of 18 KB in a header block of 3 KB: one field that enters the dynamic table and five references to it.
inline std::string oversizedFields()
{
    std::string literal = field("x-a", std::string(3000, 'a'));
    literal[0] = '\x40';
    return literal + std::string(5, '\xbe');
}

inline const std::string postRoot = "\x83\x86\x84" + field(":authority", "test"); // :method POST, :scheme http, :path /
inline const std::string status200 = "\x88";

inline std::string request(std::uint32_t stream, std::uint8_t flags, const std::string& block = postRoot)
{
    return frame(Headers, endHeaders | flags, stream, block);
}

inline std::string response(std::uint32_t stream, std::uint8_t flags, const std::string& block = status200)
{
    return frame(Headers, endHeaders | flags, stream, block);
}

inline std::string data(std::uint32_t stream, std::size_t n, std::uint8_t flags = 0)
{
    return frame(Data, flags, stream, std::string(n, 'x'));
}

// Reads one frame. Returns nullopt if the connection has ended.
inline asio::awaitable<std::optional<Frame>> readFrame(asio::ip::tcp::socket& socket)
{
    std::array<std::uint8_t, 9> head;
    auto [headError, n] = co_await asio::async_read(socket, asio::buffer(head), useTuple);
    if (headError)
        co_return std::nullopt;
    const std::size_t length = std::size_t { head[0] } << 16 | std::size_t { head[1] } << 8 | head[2];
    Frame frame { head[3], std::uint32_t { head[7] } << 8 | head[8], std::string(length, '\0') };
    auto [bodyError, m] = co_await asio::async_read(socket, asio::buffer(frame.payload), useTuple);
    if (bodyError)
        co_return std::nullopt;
    co_return frame;
}

// Reads up to and including the first frame of this type on this stream (0 for any stream). Returns nullopt if the
// connection ends first.
inline asio::awaitable<std::optional<Frame>> readUntil(
    asio::ip::tcp::socket& socket, FrameType type, std::uint32_t stream)
{
    while (auto frame = co_await readFrame(socket)) {
        if (frame->type == type && (stream == 0 || frame->stream == stream))
            co_return frame;
    }
    co_return std::nullopt;
}

inline asio::awaitable<void> send(asio::ip::tcp::socket& socket, std::string bytes)
{
    co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
}

} // namespace dogwoodhall::raw
