#include "CheckContext.h"

#include <algorithm>
#include <tuple>

namespace dogwoodhall {

namespace {

constexpr std::size_t maxExcerptBytes = 60;

std::string escapePointer(std::string_view name)
{
    std::string text;
    for (char c : name) {
        if (c == '~')
            text += "~0";
        else if (c == '/')
            text += "~1";
        else
            text += c;
    }
    return text;
}

} // namespace

CheckContext::CheckContext(std::string_view text, std::string file)
    : m_text(text)
    , m_file(std::move(file))
    , m_lines(text)
{
}

void CheckContext::report(std::size_t offset, std::string pointer, std::string expected, std::string found)
{
    const auto position = m_lines.at(offset);
    m_problems.push_back(
        { m_file, position.line, position.column, std::move(pointer), std::move(expected), std::move(found) });
}

void CheckContext::report(const JsonNode& at, std::string pointer, std::string expected)
{
    report(at.begin, std::move(pointer), std::move(expected), describe(at));
}

void CheckContext::addReference(std::variant<DataCentreId, RegionId> name, const JsonNode& at, std::string pointer)
{
    const auto position = m_lines.at(at.begin);
    m_references.push_back({ std::move(name), m_file, position.line, position.column, std::move(pointer) });
}

Problems CheckContext::takeProblems()
{
    std::stable_sort(m_problems.begin(), m_problems.end(),
        [](const Problem& a, const Problem& b) { return std::tie(a.line, a.column) < std::tie(b.line, b.column); });
    return std::move(m_problems);
}

std::string CheckContext::describe(const JsonNode& node) const
{
    if (node.kind == JsonNode::Kind::Array)
        return node.items.empty() ? "an empty array" : "an array";
    if (node.kind == JsonNode::Kind::Object)
        return "an object";
    const auto text = m_text.substr(node.begin, node.end - node.begin);
    return text.size() <= maxExcerptBytes ? std::string(text) : std::string(text.substr(0, maxExcerptBytes)) + "...";
}

std::string childPointer(const std::string& parent, std::string_view name)
{
    return parent + "/" + escapePointer(name);
}

std::string childPointer(const std::string& parent, std::size_t index) { return parent + "/" + std::to_string(index); }

UniqueValues::UniqueValues(CheckContext& context, std::string valueName)
    : m_context(context)
    , m_valueName(std::move(valueName))
{
}

void UniqueValues::add(const JsonNode* at, const std::string& pointer)
{
    if (!at || at->kind != JsonNode::Kind::String)
        return;
    auto [it, isNew] = m_pointers.emplace(at->text, pointer);
    if (!isNew) {
        m_context.report(at->begin, pointer, "a unique " + m_valueName,
            m_context.describe(*at) + ", which " + it->second + " already has");
    }
}

} // namespace dogwoodhall
