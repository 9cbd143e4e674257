#include "dogwoodhall/exchange/Head.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dogwoodhall {

namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "content-length", "keep-alive",
    "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLower(x) == toLower(y); });
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
        [&](std::string_view hopByHop) { return equalsIgnoringCase(name, hopByHop); });
}

void HeaderFields::add(std::string name, std::string value)
{
    m_fields.push_back({ std::move(name), std::move(value) });
}

void HeaderFields::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HeaderFields::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
    auto it = std::find_if(m_fields.begin(), m_fields.end(),
        [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
    if (it == m_fields.end())
        return std::nullopt;
    return it->value;
}

} // namespace dogwoodhall
