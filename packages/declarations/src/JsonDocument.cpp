#include "dogwoodhall/declarations/JsonDocument.h"

#include "JsonTreeHandler.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

std::string describeByte(std::string_view text, std::size_t offset)
{
    if (offset >= text.size())
        return "the end of the text";
    const auto byte = static_cast<unsigned char>(text[offset]);
    if (byte > 0x20 && byte < 0x7f)
        return std::string("'") + text[offset] + "'";
    constexpr std::string_view digits = "0123456789ABCDEF";
    return std::string("byte 0x") + digits[byte >> 4] + digits[byte & 15];
}

Problem toProblem(
    json::error_code ec, std::string_view text, std::size_t offset, std::size_t maxBytes, const std::string& file)
{
    const auto position = LineTable(text).at(offset);
    Problem problem { file, position.line, position.column, "", "JSON with comments", "" };
    if (ec == json::error::too_deep) {
        problem.expected = "at most " + std::to_string(maxJsonDepth) + " levels of nesting";
        problem.found = "a deeper level";
    } else if (ec == JsonTreeHandler::tooManyValues) {
        problem.expected = "at most " + std::to_string(maxBytes / minJsonBytesPerValue) + " values";
        problem.found = "more";
    } else {
        problem.found = ec == json::error::incomplete ? "the end of the text"
                                                      : describeByte(text, offset) + " (" + ec.message() + ")";
    }
    return problem;
}

} // namespace

const JsonNode* JsonNode::find(std::string_view name) const
{
    auto it = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.name == name; });
    return it == members.end() ? nullptr : &it->value;
}

tl::expected<JsonNode, Problem> readJson(std::string_view text, std::size_t maxBytes, const std::string& file)
{
    if (text.size() > maxBytes) {
        return tl::unexpected(Problem {
            file, 0, 0, "", "at most " + std::to_string(maxBytes) + " bytes", std::to_string(text.size()) + " bytes" });
    }
    json::parse_options options;
    options.allow_comments = true;
    options.max_depth = maxJsonDepth;
    json::basic_parser<JsonTreeHandler> parser(options, text, maxBytes / minJsonBytesPerValue);
    json::error_code ec;
    std::size_t parsed = parser.write_some(false, text.data(), text.size(), ec);
    // After a malformed comment before a value, Boost 1.81 returns an offset outside the text.
    if (parsed > text.size())
        parsed = parser.handler().findMalformedComment();
    if (ec == json::error::incomplete)
        parsed = text.size();
    if (!ec && parsed < text.size())
        ec = json::error::extra_data;
    if (ec)
        return tl::unexpected(toProblem(ec, text, parsed, maxBytes, file));
    return parser.handler().takeRoot();
}

LineTable::LineTable(std::string_view text)
    : m_lineStarts { 0 }
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1))
        m_lineStarts.push_back(at + 1);
}

LineTable::Position LineTable::at(std::size_t offset) const
{
    const auto next = std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), offset);
    const auto line = static_cast<std::size_t>(next - m_lineStarts.begin());
    return { line, offset - m_lineStarts[line - 1] + 1 };
}

} // namespace dogwoodhall
