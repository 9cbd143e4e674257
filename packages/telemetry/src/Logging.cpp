#include "dogwoodhall/telemetry/Logging.h"

#include "dogwoodhall/telemetry/LogLimiter.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <ostream>

namespace dogwoodhall {

namespace {

namespace log = boost::log;

log::trivial::severity_level severityOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log::trivial::debug;
    case LogLevel::Info:
        return log::trivial::info;
    case LogLevel::Warning:
        return log::trivial::warning;
    case LogLevel::Error:
        break;
    }
    return log::trivial::error;
}

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof(text), "%s.%03dZ", date, static_cast<int>(ms));
    return text;
}

class LimitedStreamBackend : public log::sinks::basic_formatted_sink_backend<char, log::sinks::synchronized_feeding> {
public:
    LimitedStreamBackend(std::ostream& out, LogFormat format)
        : m_out(out)
        , m_format(format)
    {
    }

    void consume(const log::record_view& record, const std::string& line)
    {
        const auto level = record[log::trivial::severity];
        const std::string levelName = level ? log::trivial::to_string(*level) : "info";
        const TimePoint now(std::chrono::steady_clock::now().time_since_epoch());
        const auto decision = m_limiter.check(line, now);
        if (decision.suppressed > 0)
            write(levelName, line + " (repeated " + std::to_string(decision.suppressed) + " more times)");
        if (decision.write)
            write(levelName, line);
    }

private:
    void write(const std::string& level, const std::string& line)
    {
        // One write per line, so that lines of processes that share a standard error stream do not interleave.
        m_out << formatLogLine(m_format, utcNow(), level, line) + "\n" << std::flush;
    }

    std::ostream& m_out;
    LogFormat m_format;
    LogLimiter m_limiter;
};

} // namespace

std::string formatLogLine(LogFormat format, const std::string& time, const std::string& level, const std::string& line)
{
    if (format == LogFormat::Text)
        return time + " " + level + " " + line;
    const auto colon = line.find(": ");
    const std::string part = colon == std::string::npos ? "" : line.substr(0, colon);
    const std::string message = colon == std::string::npos ? line : line.substr(colon + 2);
    return boost::json::serialize(
        boost::json::object { { "time", time }, { "level", level }, { "part", part }, { "message", message } });
}

void startLogging(std::ostream& out, const LogOptions& options)
{
    using Sink = log::sinks::synchronous_sink<LimitedStreamBackend>;
    auto sink = boost::make_shared<Sink>(boost::make_shared<LimitedStreamBackend>(out, options.format));
    sink->set_formatter(log::expressions::stream << log::expressions::smessage);
    log::core::get()->remove_all_sinks();
    log::core::get()->add_sink(sink);
    log::core::get()->set_filter(log::trivial::severity >= severityOf(options.level));
}

} // namespace dogwoodhall
