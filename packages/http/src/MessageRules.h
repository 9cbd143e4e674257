#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Rules of RFC 9112 that Beast's parser leaves to its user. Two programs that read such a message differently disagree
// on where it ends, which lets a caller smuggle a request past one of them.

// False where a line of the raw head ends in a bare LF or continues the line before it (obs-fold). The head may be
// incomplete.
bool hasStrictLines(std::string_view rawHead);

// False where the length of the body is given twice, both as a length and as chunked, or by another coding.
bool hasUnambiguousLength(const boost::beast::http::fields&);

// False where the version is not HTTP/1.1, Host is missing or repeated, or the method is CONNECT. HTTP/1.0 is left out
// because an answer without a declared length cannot be shown to be cut short there.
bool isServable(const boost::beast::http::request_header<>&);

// A request's target with the host it names.
struct RequestTarget {
    std::string originForm; // "/path?query", or "*".
    std::string host;
};

// Reads the target in origin, absolute or asterisk form. In absolute form its host takes the place of the Host field.
std::optional<RequestTarget> readTarget(const boost::beast::http::request_header<>&);

} // namespace dogwoodhall
