#pragma once

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace dogwoodhall {

// A page of docs/, for tests that compare it with the code. The build defines DOCS_FOLDER.
class ManualPage {
public:
    explicit ManualPage(const std::string& path)
        : m_text("\n" + wholeFile(path))
    {
    }

    static std::string wholeFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw std::runtime_error("cannot read " + path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // Text from the heading, given with its leading #, to the next heading of any level. Returns the whole page for an
    // empty heading.
    std::string section(const std::string& heading) const
    {
        if (heading.empty())
            return m_text;
        const auto begin = m_text.find("\n" + heading + "\n");
        if (begin == std::string::npos)
            throw std::runtime_error("page has no heading " + heading);
        const auto end = m_text.find("\n#", begin + heading.size());
        return m_text.substr(begin, end == std::string::npos ? end : end - begin);
    }

    // Body rows of the section's tables as lists of cells, without backticks.
    std::vector<std::vector<std::string>> rows(const std::string& heading) const
    {
        std::vector<std::vector<std::string>> rows;
        std::istringstream lines(section(heading));
        bool isBody = false;
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("| ---"))
                isBody = true;
            else if (!line.starts_with("| "))
                isBody = false;
            else if (isBody)
                rows.push_back(splitCells(line));
        }
        return rows;
    }

    // All distinct matches of the expression's first group.
    static std::set<std::string> matches(const std::string& text, const std::string& expression)
    {
        const std::regex regex(expression);
        std::set<std::string> found;
        for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end; ++it)
            found.insert((*it)[1]);
        return found;
    }

private:
    static std::vector<std::string> splitCells(const std::string& line)
    {
        std::vector<std::string> cells;
        std::istringstream parts(std::regex_replace(line.substr(2), std::regex("`"), ""));
        for (std::string cell; std::getline(parts, cell, '|');)
            cells.push_back(std::regex_replace(cell, std::regex("^ +| +$"), ""));
        return cells;
    }

    std::string m_text;
};

} // namespace dogwoodhall
