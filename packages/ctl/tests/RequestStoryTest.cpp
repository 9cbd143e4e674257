// Before criterion.h, whose macro Test would replace names inside Boost.
#include <boost/json.hpp>

#include "TableRows.h"

#include "dogwoodhall/ctl/RequestStory.h"

#include <sstream>

using namespace dogwoodhall;

struct StoryRow {
    const char* name;
    const char* log;
    std::size_t lines; // About request "a".
    std::size_t malformed;
    const char* cause; // Part of it.
};

const StoryRow rows[] = {
    { "refused at the crest",
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
    { "malformed and foreign lines",
        "listening caller=1\n{\"time\":1,\"event\":\n{\"time\":1,\"id\":\"b\"}\n{\"time\":\"x\",\"id\":\"a\"}\n", 0, 1,
        "no line" },
};

// Guards against a story that misses lines, ends at a malformed one, or names the wrong cause.
ParameterizedTestParameters(RequestStory, tellsTheCause) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, RequestStory, tellsTheCause)
{
    const auto& row = rows[*index];
    RequestStory story("a");
    std::istringstream log(row.log);
    story.read(log, "file");
    story.sort();
    const auto value = story.toJson();
    cr_expect_eq(value.at("lines").as_array().size(), row.lines, "%s", row.name);
    cr_expect_eq(story.malformedLines(), row.malformed, "%s", row.name);
    cr_expect(story.cause().starts_with(row.cause), "%s: %s", row.name, story.cause().c_str());
}
