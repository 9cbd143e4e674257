#pragma once

#include "dogwoodhall/declarations/DeclarationFile.h"
#include "dogwoodhall/declarations/JsonDocument.h"

#include <map>
#include <variant>

namespace dogwoodhall {

// Collects the results of validating one document: problems with their positions, and references to data centres and
// regions.
class CheckContext {
public:
    CheckContext(std::string_view text, std::string file);

    void report(std::size_t offset, std::string pointer, std::string expected, std::string found);
    void report(const JsonNode& at, std::string pointer, std::string expected);
    // `name` is the text of the node.
    void addReference(std::variant<DataCentreId, RegionId> name, const JsonNode& at, std::string pointer);

    // Returns a short form of the value for messages.
    std::string describe(const JsonNode&) const;

    const Problems& problems() const { return m_problems; }
    // Returns the problems sorted by position.
    Problems takeProblems();
    std::vector<TopologyReference> takeReferences() { return std::move(m_references); }

private:
    std::string_view m_text;
    std::string m_file;
    LineTable m_lines;
    Problems m_problems;
    std::vector<TopologyReference> m_references;
};

// Returns the JSON pointer of a child, such as "/a/b" for member b of the value at "/a".
std::string childPointer(const std::string& parent, std::string_view name);
std::string childPointer(const std::string& parent, std::size_t index);

// Reports duplicate values in a list.
class UniqueValues {
public:
    UniqueValues(CheckContext&, std::string valueName);

    // `at` may be null if the value is missing.
    void add(const JsonNode* at, const std::string& pointer);

private:
    CheckContext& m_context;
    std::string m_valueName;
    std::map<std::string, std::string> m_pointers; // The pointer of the first occurrence, by value.
};

} // namespace dogwoodhall
