#include "dogwoodhall/ctl/RequestTimeline.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <utility>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

std::string textOf(const json::object& fields, std::string_view name)
{
    const auto* value = fields.if_contains(name);
    if (!value)
        return "?";
    if (value->is_string())
        return std::string(value->get_string());
    if (!value->is_double())
        return json::serialize(*value);
    // In fixed notation, because json::serialize() writes an exponent.
    std::array<char, 32> text {};
    const int n = std::snprintf(text.data(), text.size(), "%.1f", value->get_double());
    return { text.data(), static_cast<std::size_t>(n) };
}

std::string trimEnd(std::string text)
{
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
}

std::string causeOf(const json::object& last)
{
    const auto event = textOf(last, "event");
    const auto load = textOf(last, "running") + " of " + textOf(last, "slots") + " slots in use";
    if (event == "refused") {
        const auto error = textOf(last, "error");
        std::string text
            = "refused with " + textOf(last, "status") + " (" + error + ", " + textOf(last, "outcome") + ")";
        if (last.if_contains("running"))
            text += ": of " + textOf(last, "asked") + " endpoints asked the best, " + textOf(last, "endpoint")
                + ", had " + load + " and a slowdown of " + textOf(last, "slowdown");
        return text;
    }
    if (event == "answered")
        return "answered by " + textOf(last, "endpoint") + " after " + textOf(last, "ms") + " ms, "
            + textOf(last, "upstreamMs") + " ms of them there, " + textOf(last, "result")
            + "; when it was chosen it had " + load + " and a slowdown of " + textOf(last, "slowdown");
    if (event == "send-failed")
        return "no answer: sent to " + textOf(last, "endpoint") + ", " + textOf(last, "error") + " ("
            + textOf(last, "detail") + ") after " + textOf(last, "ms") + " ms";
    return "no answer on record; the last line is " + event;
}

} // namespace

RequestTimeline::RequestTimeline(std::string id)
    : m_id(std::move(id))
{
}

void RequestTimeline::read(std::istream& in, const std::string& source)
{
    for (std::string line; std::getline(in, line);) {
        const auto begin = line.find("{\"time\":");
        if (begin == std::string::npos)
            continue;
        json::error_code ec;
        const auto value = json::parse(line.substr(begin), ec);
        if (ec || !value.is_object()) {
            ++m_malformed;
            continue;
        }
        const auto& fields = value.get_object();
        const auto* time = fields.if_contains("time");
        if (textOf(fields, "id") != m_id || !time || !time->is_number())
            continue;
        const auto prefix = trimEnd(line.substr(0, begin));
        m_lines.push_back(
            { time->to_number<double>(), prefix.empty() ? source : source + " " + prefix, line.substr(begin), fields });
    }
}

void RequestTimeline::sort()
{
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const Line& a, const Line& b) { return a.time < b.time; });
}

std::string RequestTimeline::cause() const { return m_lines.empty() ? "no line" : causeOf(m_lines.back().fields); }

std::string RequestTimeline::toText() const
{
    std::string text;
    for (const auto& line : m_lines)
        text += line.source + ": " + line.text + "\n";
    return text + "Cause: " + cause() + ".\n";
}

json::object RequestTimeline::toJson() const
{
    json::array lines;
    for (const auto& line : m_lines)
        lines.push_back(json::object { { "source", line.source }, { "line", line.fields } });
    return { { "id", m_id }, { "lines", std::move(lines) }, { "malformedLines", m_malformed }, { "cause", cause() } };
}

} // namespace dogwoodhall
