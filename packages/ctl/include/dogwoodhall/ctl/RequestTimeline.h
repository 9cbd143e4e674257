#pragma once

#include <boost/json/object.hpp>
#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace dogwoodhall {

// The lines about one request in the structured logs of several entry hosts, sorted by time.
class RequestTimeline {
public:
    explicit RequestTimeline(std::string id);

    // Adds the lines with the id of the request. Structured lines without a valid JSON object are counted as malformed,
    // and unstructured lines are ignored. Text before the object, such as a host name, is kept.
    void read(std::istream&, const std::string& source);
    void sort();

    bool empty() const { return m_lines.empty(); }
    std::size_t malformedLines() const { return m_malformed; }
    // Returns how the request ended and why, in one sentence.
    std::string cause() const;
    std::string toText() const;
    boost::json::object toJson() const;

private:
    struct Line {
        double time = 0;
        std::string source; // The file, and the text before the object.
        std::string text; // The object as written in the log.
        boost::json::object fields;
    };

    std::string m_id;
    std::vector<Line> m_lines;
    std::size_t m_malformed = 0;
};

} // namespace dogwoodhall
