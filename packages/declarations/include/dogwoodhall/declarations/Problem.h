#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dogwoodhall {

// A validation error in a settings file or a record.
struct Problem {
    std::string file; // Path, or the record's key if there is no file.
    std::size_t line = 0; // From 1; 0 if the problem has no position in the text.
    std::size_t column = 0; // From 1, in bytes.
    std::string pointer; // JSON pointer to the value; empty for the root and for syntax errors.
    std::string expected;
    std::string found;

    friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

// "file:line:column: pointer: expected ..., found ...".
std::string toString(const Problem&);

// All problems, one per line, without a trailing line break.
std::string toString(const Problems&);

} // namespace dogwoodhall
