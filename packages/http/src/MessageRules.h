#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
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

// A request target and its host.
struct RequestTarget {
    std::string originForm; // "/path?query", or "*".
    std::string host;
};

// Parses a target in origin, absolute or asterisk form. The host of an absolute target overrides the Host field.
std::optional<RequestTarget> parseTarget(const boost::beast::http::request_header<>&);

} // namespace dogwoodhall
