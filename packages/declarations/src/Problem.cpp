#include "dogwoodhall/declarations/Problem.h"

namespace dogwoodhall {

std::string toString(const Problem& problem)
{
    std::string text;
    if (!problem.file.empty())
        text += problem.file + ":";
    if (problem.line)
        text += std::to_string(problem.line) + ":" + std::to_string(problem.column) + ":";
    if (!text.empty())
        text += " ";
    if (!problem.pointer.empty())
        text += problem.pointer + ": ";
    return text + "expected " + problem.expected + ", found " + problem.found;
}

std::string toString(const Problems& problems)
{
    std::string text;
    for (const auto& problem : problems) {
        if (!text.empty())
            text += "\n";
        text += toString(problem);
    }
    return text;
}

} // namespace dogwoodhall
