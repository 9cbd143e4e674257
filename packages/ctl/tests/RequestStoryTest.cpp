// Included before criterion.h, whose macro Test would replace names inside Boost.
#include <boost/json.hpp>

#include "TableRows.h"

#include "dogwoodhall/ctl/RequestTimeline.h"

#include <sstream>

using namespace dogwoodhall;

struct TimelineRow {
    const char* name;
    const char* log;
    std::size_t lines; // About request "a".
    std::size_t malformed;
    const char* cause; // Its beginning.
};

const TimelineRow rows[] = {
    { "refused at peak load",
        R"({"time":1.5,"event":"refused","id":"a","error":"queue-full","status":503,"outcome":"not-run","asked":9,"endpoint":"e","running":2,"slots":3,"slowdown":1.0})",
        1, 0, "refused with 503 (queue-full, not-run): of 9 endpoints asked the best, e, had 2 of 3 slots in use" },
    { "slow endpoint, lines of two hosts out of order",
        "edge-2 "
        "{\"time\":3,\"event\":\"refused\",\"id\":\"a\",\"error\":\"deadline-exceeded\",\"status\":504,\"outcome\":"
        "\"unknown\"}\n"
        "edge-1 {\"time\":2,\"event\":\"send-failed\",\"id\":\"a\",\"endpoint\":\"e\",\"error\":\"deadline-exceeded\"}",
        2, 0, "refused with 504 (deadline-exceeded, unknown)" },
    { "the answer is missing",
        R"({"time":2,"event":"send-failed","id":"a","endpoint":"e","error":"upstream-failed","detail":"reset","ms":7})",
        1, 0, "no answer: sent to e, upstream-failed (reset) after 7 ms" },
    { "answered",
        R"({"time":2,"event":"answered","id":"a","endpoint":"e","ms":90.5,"upstreamMs":89,"result":"whole","running":1,"slots":3,"slowdown":1.0})",
        1, 0, "answered by e after 90.5 ms" },
    { "malformed lines and lines of other requests",
        "listening caller=1\n{\"time\":1,\"event\":\n{\"time\":1,\"id\":\"b\"}\n{\"time\":\"x\",\"id\":\"a\"}\n", 0, 1,
        "no line" },
};

// The timeline must contain all lines of the request, continue after malformed lines and name the right cause.
ParameterizedTestParameters(RequestTimeline, namesTheCause) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, RequestTimeline, namesTheCause)
{
    const auto& row = rows[*index];
    RequestTimeline timeline("a");
    std::istringstream log(row.log);
    timeline.read(log, "file");
    timeline.sort();
    const auto value = timeline.toJson();
    cr_expect_eq(value.at("lines").as_array().size(), row.lines, "%s", row.name);
    cr_expect_eq(timeline.malformedLines(), row.malformed, "%s", row.name);
    cr_expect(timeline.cause().starts_with(row.cause), "%s: %s", row.name, timeline.cause().c_str());
}
