#include "FieldChanges.h"

#include <sstream>

namespace dogwoodhall {

namespace {

std::string decimal(double value)
{
    std::ostringstream text;
    text.precision(10);
    text << value;
    return text.str();
}

} // namespace

std::string toText(const std::string& text) { return text; }

std::string toText(const NetworkAddress& address) { return toString(address); }

std::string toText(std::uint64_t count) { return std::to_string(count); }

std::string toText(Duration duration) { return decimal(toMilliseconds(duration)) + " ms"; }

std::string toText(Fraction fraction) { return decimal(fraction.value() * 100) + "%"; }

std::string toText(std::optional<bool> value) { return !value ? "by method" : (*value ? "true" : "false"); }

std::string toText(std::optional<WorkClass> workClass)
{
    return !workClass ? "measured" : (*workClass == WorkClass::Long ? "long" : "short");
}

std::string toText(Priority priority) { return priority == Priority::Low ? "low" : "normal"; }

std::string toText(const std::vector<std::string>& texts)
{
    std::string list;
    for (const auto& text : texts)
        list += (list.empty() ? "" : "|") + text;
    return list.empty() ? "any" : list;
}

std::string countOf(std::uint64_t count, const std::string& noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string listOf(const std::vector<std::string>& names, const std::string& noun)
{
    if (names.empty())
        return "any " + noun;
    std::string list = noun + (names.size() == 1 ? " " : "s ");
    for (const auto& name : names)
        list += (&name == &names.front() ? "" : ", ") + name;
    return list;
}

void FieldChanges::add(const std::string& field, const std::string& before, const std::string& after)
{
    m_text += (m_text.empty() ? "" : ", ") + field + " from " + before + " to " + after;
}

} // namespace dogwoodhall
