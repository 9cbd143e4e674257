#include "MessageRules.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <iterator>

namespace dogwoodhall {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view absolutePrefix = "http://";
constexpr unsigned supportedVersion = 11;

std::size_t fieldCount(const http::fields& fields, http::field name)
{
    const auto range = fields.equal_range(name);
    return static_cast<std::size_t>(std::distance(range.first, range.second));
}

bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

bool hasValidLineEndings(std::string_view rawHead)
{
    for (auto lf = rawHead.find('\n'); lf != std::string_view::npos; lf = rawHead.find('\n', lf + 1)) {
        if (lf == 0 || rawHead[lf - 1] != '\r')
            return false;
        if (lf + 1 < rawHead.size() && (rawHead[lf + 1] == ' ' || rawHead[lf + 1] == '\t'))
            return false;
    }
    return true;
}

bool hasUnambiguousLength(const http::fields& fields)
{
    const auto lengths = fieldCount(fields, http::field::content_length);
    const auto codings = fieldCount(fields, http::field::transfer_encoding);
    if (lengths + codings > 1)
        return false;
    if (lengths == 1)
        return isDigits(fields[http::field::content_length]);
    return codings == 0 || beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

StatusClass classOf(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    if (status < 100 || status > 599 || status == switchingProtocols)
        return StatusClass::Invalid;
    return status < 200 ? StatusClass::Interim : StatusClass::Final;
}

void ChunkExtensionLimit::operator()(std::uint64_t, beast::string_view extensions, beast::error_code& ec)
{
    if (extensions.size() > m_left) {
        ec = http::error::bad_chunk_extension;
        return;
    }
    m_left -= extensions.size();
}

bool isSupportedRequest(const http::request_header<>& head)
{
    return head.version() == supportedVersion && fieldCount(head, http::field::host) == 1
        && head.method() != http::verb::connect;
}

std::optional<RequestTarget> parseTarget(const http::request_header<>& head)
{
    std::string_view target = head.target();
    RequestTarget result { std::string(target), std::string(head[http::field::host]) };
    if (target.starts_with('/') || (target == "*" && head.method() == http::verb::options))
        return result;
    if (!beast::iequals(target.substr(0, absolutePrefix.size()), absolutePrefix))
        return std::nullopt;
    target.remove_prefix(absolutePrefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    result.host = std::string(target.substr(0, end));
    target.remove_prefix(end);
    result.originForm.clear();
    if (!target.starts_with('/'))
        result.originForm.push_back('/');
    result.originForm.append(target);
    if (result.host.empty() || result.host.find('@') != std::string::npos)
        return std::nullopt;
    return result;
}

} // namespace dogwoodhall
