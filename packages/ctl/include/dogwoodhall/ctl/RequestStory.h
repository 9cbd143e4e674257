#pragma once

#include <boost/json/object.hpp>
#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace dogwoodhall {

// What the structured logs of several entry hosts say about one request, in the order of time.
class RequestStory {
public:
    explicit RequestStory(std::string id);

    // Takes the lines that name the request. Lines without a JSON object are counted, unless they are no structured
    // lines at all; text before the object, such as a host's name, is kept.
    void read(std::istream&, const std::string& source);
    void sort();

    bool empty() const { return m_lines.empty(); }
    std::size_t malformedLines() const { return m_malformed; }
    // One sentence: how the request ended and why.
    std::string cause() const;
    std::string toText() const;
    boost::json::object toJson() const;

private:
    struct Line {
        double time = 0;
        std::string source; // The file, and what stood before the object.
        std::string text; // The object as it was written.
        boost::json::object fields;
    };

    std::string m_id;
    std::vector<Line> m_lines;
    std::size_t m_malformed = 0;
};

} // namespace dogwoodhall
