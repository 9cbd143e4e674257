#pragma once

#include "dogwoodhall/declarations/DeclarationFile.h"
#include "dogwoodhall/declarations/JsonDocument.h"

#include <map>

namespace dogwoodhall {

// What one check collects: problems with their places, and references to data centres.
class CheckContext {
public:
    CheckContext(std::string_view text, std::string file);

    void report(std::size_t offset, std::string pointer, std::string expected, std::string found);
    void report(const JsonNode& at, std::string pointer, std::string expected);
    void refer(const JsonNode& at, std::string pointer);

    // A short form of the value for messages.
    std::string describe(const JsonNode&) const;

    const Problems& problems() const { return m_problems; }
    // In order of place.
    Problems takeProblems();
    std::vector<DataCentreReference> takeReferences() { return std::move(m_references); }

private:
    std::string_view m_text;
    std::string m_file;
    LineTable m_lines;
    Problems m_problems;
    std::vector<DataCentreReference> m_references;
};

// "/a/b" for a pointer to member b of the value at "/a".
std::string childPointer(const std::string& parent, std::string_view name);
std::string childPointer(const std::string& parent, std::size_t index);

// Reports values that occur twice in one list.
class UniqueTexts {
public:
    UniqueTexts(CheckContext&, std::string what);

    // `at` may be null, for a value that is missing.
    void add(const JsonNode* at, const std::string& pointer);

private:
    CheckContext& m_context;
    std::string m_what;
    std::map<std::string, std::string> m_pointers; // Text to the pointer where it first occurred.
};

} // namespace dogwoodhall
