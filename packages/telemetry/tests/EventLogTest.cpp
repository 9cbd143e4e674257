#include <boost/json.hpp>

#include "TableRows.h"

#include "dogwoodhall/telemetry/EventLog.h"

#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

class Pipe {
public:
    Pipe() { cr_assert_eq(::pipe(m_ends), 0); }
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    int writeEnd() const { return m_ends[1]; }
    std::string readAll()
    {
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buf[65536];
        for (ssize_t n = 0; (n = ::read(m_ends[0], buf, sizeof(buf))) > 0;)
            text.append(buf, static_cast<std::size_t>(n));
        return text;
    }

private:
    int m_ends[2] {};
};

EventLine makeLine(EventKind kind, std::uint64_t n)
{
    EventLine line(kind, "test");
    line.add("n", n);
    return line;
}

} // namespace

struct VolumeRow {
    const char* name;
    EventKind kind;
    std::size_t lines; // Within one second.
    std::size_t kept;
};

const VolumeRow volumeRows[] = {
    { "few requests", EventKind::Request, 50, 50 },
    { "a burst of requests", EventKind::Request, 1000, 120 },
    { "a burst of failures", EventKind::Failure, 1000, 120 },
    { "lifecycle lines are not rate limited", EventKind::Lifecycle, 500, 500 },
};

// Guards against a log whose volume grows with the load, and against dropping lines without reporting it.
ParameterizedTestParameters(EventLog, limitsLinesPerSecond) { return rowIndices(volumeRows); }

ParameterizedTest(std::size_t* index, EventLog, limitsLinesPerSecond)
{
    const auto& row = volumeRows[*index];
    EventLog log({ 4096, 1024 * 1024, 20, 100 });
    for (std::size_t n = 0; n < row.lines; ++n)
        log.add(makeLine(row.kind, n), start + n * 1000ms / static_cast<std::int64_t>(row.lines));
    cr_expect(log.dropped() + row.kept + 1 >= row.lines && log.dropped() + row.kept <= row.lines + 1, "%s: %zu dropped",
        row.name, static_cast<std::size_t>(log.dropped()));
    Pipe pipe;
    log.flush(pipe.writeEnd());
    const auto text = pipe.readAll();
    const bool isReported = text.find("log-lines-dropped") != std::string::npos;
    cr_expect_eq(isReported, log.dropped() > 0, "%s", row.name);
}

// Guards against a process that blocks when the reader of its log stops: flush() must return while nobody reads.
Test(EventLog, neverBlocksOnReader, .timeout = 10)
{
    EventLog log({ 4096, 256 * 1024, 1'000'000, 1'000'000 });
    Pipe pipe;
    for (std::uint64_t n = 0; n < 20'000; ++n) {
        log.add(makeLine(EventKind::Request, n), start);
        if (n % 100 == 0)
            log.flush(pipe.writeEnd());
    }
    cr_expect(log.dropped() > 0);
    const auto text = pipe.readAll();
    log.flush(pipe.writeEnd());
    std::istringstream lines(text + pipe.readAll());
    std::size_t validLines = 0;
    for (std::string line; std::getline(lines, line) && !lines.eof();) {
        boost::json::error_code ec;
        boost::json::parse(line, ec);
        validLines += !ec;
        cr_assert(!ec, "not JSON: %s", line.c_str());
    }
    cr_expect(validLines > 100);
}

// Guards against values that break a line or its JSON syntax.
Test(EventLog, escapesText)
{
    EventLog log;
    EventLine line(EventKind::Belief, "test");
    line.add("text", "a\"b\\\n\x01").addMilliseconds("ms", 1500us).add("flag", true);
    log.add(std::move(line), start);
    Pipe pipe;
    log.flush(pipe.writeEnd());
    const auto text = pipe.readAll();
    const auto value = boost::json::parse(text).as_object();
    cr_expect_eq(value.at("text").as_string(), "a\"b\\\n\x01");
    cr_expect_float_eq(value.at("ms").as_double(), 1.5, 1e-9);
    cr_expect(value.at("flag").as_bool());
    cr_expect_eq(std::count(text.begin(), text.end(), '\n'), 1);
}
