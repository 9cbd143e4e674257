#pragma once

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Rules of RFC 9112 that Beast's parser does not enforce. Two programs that interpret such a message differently
// disagree on where it ends, which allows request smuggling.

// False if a line of the raw head ends in a bare LF or continues the previous line (obs-fold). The head may be
// incomplete.
bool hasValidLineEndings(std::string_view rawHead);

// False if the length of the body is given twice, both as Content-Length and as chunked, or by another transfer coding.
bool hasUnambiguousLength(const boost::beast::http::fields&);

// False if the version is not HTTP/1.1, Host is missing or repeated, or the method is CONNECT. HTTP/1.0 is not
// supported because truncation of a response without a declared length cannot be detected there.
bool isSupportedRequest(const boost::beast::http::request_header<>&);

enum class StatusClass {
    Interim, // The final response follows.
    Final,
    Invalid, // Not a status of HTTP, or 101: no request asks to switch the protocol.
};

StatusClass classOf(unsigned status);

// Total size of the chunk extensions of one message. They are neither relayed nor counted as body.
inline constexpr std::size_t maxChunkExtensionBytes = 16 * 1024;

// Callback of Beast's parser for the chunk headers of one message: fails with bad_chunk_extension when their extensions
// exceed maxChunkExtensionBytes.
class ChunkExtensionLimit {
public:
    void operator()(std::uint64_t chunkSize, boost::beast::string_view extensions, boost::beast::error_code&);

private:
    std::size_t m_left = maxChunkExtensionBytes;
};

// Passes the buffered bytes of a head to the parser and removes those that it consumed. `bytesLeft` is what the head
// may still take. Beast's parser limits only the part of a head that it has not consumed yet, and so does not limit a
// head whose lines arrive one after another. Fails with need_more if the head is incomplete.
template <bool isRequest>
boost::beast::error_code parseHead(
    boost::beast::http::basic_parser<isRequest>& parser, boost::beast::flat_buffer& buffer, std::size_t& bytesLeft)
{
    namespace http = boost::beast::http;
    boost::beast::error_code ec;
    const auto n = parser.put(buffer.cdata(), ec);
    buffer.consume(n);
    bytesLeft -= std::min(bytesLeft, n);
    if (ec == http::error::need_more && buffer.size() >= bytesLeft)
        return http::error::header_limit;
    return ec;
}

// A request target and its host.
struct RequestTarget {
    std::string originForm; // "/path?query", or "*".
    std::string host;
};

// Parses a target in origin, absolute or asterisk form. The host of an absolute target overrides the Host field.
std::optional<RequestTarget> parseTarget(const boost::beast::http::request_header<>&);

} // namespace dogwoodhall
