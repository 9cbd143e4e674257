#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"

#include <string>
#include <vector>

namespace dogwoodhall {

std::string toText(const std::string&);
std::string toText(const NetworkAddress&);
std::string toText(std::uint64_t);
std::string toText(Duration); // In milliseconds.
std::string toText(Fraction); // In percent.
std::string toText(std::optional<bool>);
std::string toText(std::optional<WorkClass>);
std::string toText(Priority);
std::string toText(const std::vector<std::string>&); // "any" if empty.

template <typename Id> std::vector<std::string> toTexts(const std::vector<Id>& ids)
{
    std::vector<std::string> texts;
    for (const auto& id : ids)
        texts.push_back(id.value());
    return texts;
}

// "1 slot", "3 slots".
std::string countOf(std::uint64_t count, const std::string& noun);
// "any method", "method GET", "methods GET, HEAD".
std::string listOf(const std::vector<std::string>& names, const std::string& noun);

// Collects the fields that differ, as "slots from 3 to 4, ...".
class FieldChanges {
public:
    template <typename T> FieldChanges& compare(const std::string& field, const T& before, const T& after)
    {
        if (!(before == after))
            add(field, toText(before), toText(after));
        return *this;
    }

    bool empty() const { return m_text.empty(); }
    const std::string& text() const { return m_text; }

private:
    void add(const std::string& field, const std::string& before, const std::string& after);

    std::string m_text;
};

} // namespace dogwoodhall
