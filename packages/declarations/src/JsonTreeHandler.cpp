#include "JsonTreeHandler.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Doubles represent integers exactly up to 2^53.
constexpr double maxExactInteger = 9007199254740992.0;

} // namespace

bool JsonTreeHandler::on_key_part(Text part, std::size_t, Error&)
{
    m_partial.append(part.data(), part.size());
    return true;
}

bool JsonTreeHandler::on_key(Text part, std::size_t, Error&)
{
    m_partial.append(part.data(), part.size());
    skipSeparators();
    m_open.back()->members.push_back({ std::move(m_partial), m_offset, {} });
    m_partial.clear();
    skipString();
    return true;
}

bool JsonTreeHandler::on_string_part(Text part, std::size_t, Error&)
{
    m_partial.append(part.data(), part.size());
    return true;
}

bool JsonTreeHandler::on_string(Text part, std::size_t, Error& ec)
{
    m_partial.append(part.data(), part.size());
    auto* node = append(JsonNode::Kind::String, ec);
    if (!node)
        return false;
    node->text = std::move(m_partial);
    m_partial.clear();
    skipString();
    node->end = m_offset;
    return true;
}

bool JsonTreeHandler::on_int64(std::int64_t value, Text, Error& ec)
{
    auto* node = append(JsonNode::Kind::Number, ec);
    if (!node)
        return false;
    node->integer = value;
    node->number = static_cast<double>(value);
    skipLiteral();
    node->end = m_offset;
    return true;
}

bool JsonTreeHandler::on_uint64(std::uint64_t value, Text text, Error& ec)
{
    // The parser uses uint64 only for numbers above the range of int64.
    return on_double(static_cast<double>(value), text, ec);
}

bool JsonTreeHandler::on_double(double value, Text, Error& ec)
{
    auto* node = append(JsonNode::Kind::Number, ec);
    if (!node)
        return false;
    node->number = value;
    if (std::abs(value) <= maxExactInteger && std::trunc(value) == value)
        node->integer = static_cast<std::int64_t>(value);
    skipLiteral();
    node->end = m_offset;
    return true;
}

bool JsonTreeHandler::on_bool(bool value, Error& ec)
{
    auto* node = append(JsonNode::Kind::Boolean, ec);
    if (!node)
        return false;
    node->boolean = value;
    skipLiteral();
    node->end = m_offset;
    return true;
}

bool JsonTreeHandler::on_null(Error& ec)
{
    auto* node = append(JsonNode::Kind::Null, ec);
    if (!node)
        return false;
    skipLiteral();
    node->end = m_offset;
    return true;
}

bool JsonTreeHandler::open(JsonNode::Kind kind, Error& ec)
{
    auto* node = append(kind, ec);
    if (!node)
        return false;
    m_open.push_back(node);
    ++m_offset;
    return true;
}

bool JsonTreeHandler::close()
{
    skipSeparators();
    m_open.back()->end = ++m_offset;
    m_open.pop_back();
    return true;
}

JsonNode* JsonTreeHandler::append(JsonNode::Kind kind, Error& ec)
{
    if (m_valuesLeft == 0) {
        ec = tooManyValues;
        return nullptr;
    }
    --m_valuesLeft;
    skipSeparators();
    JsonNode* node = &m_root;
    if (!m_open.empty()) {
        auto& parent = *m_open.back();
        node = parent.kind == JsonNode::Kind::Array ? &parent.items.emplace_back() : &parent.members.back().value;
    }
    node->kind = kind;
    node->begin = m_offset;
    return node;
}

std::size_t JsonTreeHandler::findMalformedComment()
{
    skipSeparators();
    return std::min(m_offset + 1, m_text.size());
}

void JsonTreeHandler::skipSeparators()
{
    while (m_offset < m_text.size()) {
        if (std::string_view(" \t\r\n,:").find(m_text[m_offset]) != std::string_view::npos)
            ++m_offset;
        else if (!skipComment())
            return;
    }
}

bool JsonTreeHandler::skipComment()
{
    const auto rest = m_text.substr(m_offset);
    const bool isBlock = rest.starts_with("/*");
    if (!isBlock && !rest.starts_with("//"))
        return false;
    const auto end = m_text.find(isBlock ? "*/" : "\n", m_offset + 2);
    m_offset = end == std::string_view::npos ? m_text.size() : end + (isBlock ? 2 : 1);
    return true;
}

void JsonTreeHandler::skipString()
{
    for (++m_offset; m_offset < m_text.size() && m_text[m_offset] != '"'; ++m_offset) {
        if (m_text[m_offset] == '\\')
            ++m_offset;
    }
    ++m_offset;
}

void JsonTreeHandler::skipLiteral()
{
    m_offset = std::min(m_text.find_first_of(" \t\r\n,:]}/", m_offset), m_text.size());
}

} // namespace dogwoodhall
