#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace dogwoodhall {

namespace {

// Durations longer than a day are treated as errors and would overflow when added to a time point.
constexpr std::int64_t maxDurationMs = 24LL * 60 * 60 * 1000;

std::optional<std::int64_t> numberField(const HeaderFields& headerFields, std::string_view name)
{
    auto text = headerFields.find(name);
    std::int64_t value = 0;
    if (!text)
        return std::nullopt;
    auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (ec != std::errc() || end != text->data() + text->size() || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<Duration> durationField(const HeaderFields& headerFields, std::string_view name)
{
    auto ms = numberField(headerFields, name);
    if (!ms || *ms == 0 || *ms > maxDurationMs)
        return std::nullopt;
    return std::chrono::milliseconds(*ms);
}

std::optional<Duration> microsecondsField(const HeaderFields& headerFields, std::string_view name)
{
    auto us = numberField(headerFields, name);
    if (!us || *us > maxDurationMs * 1000)
        return std::nullopt;
    return std::chrono::microseconds(*us);
}

void setMicroseconds(HeaderFields& headerFields, std::string_view name, Duration value)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    headerFields.set(std::string(name), std::to_string(std::clamp<std::int64_t>(us, 0, maxDurationMs * 1000)));
}

std::optional<SlotCount> slotField(const HeaderFields& headerFields, std::string_view name)
{
    auto n = numberField(headerFields, name);
    if (!n)
        return std::nullopt;
    return SlotCount(static_cast<std::uint64_t>(*n));
}

std::string_view hostNameOf(const RequestHead& head)
{
    const auto host = head.fields.find("Host").value_or("");
    if (host.starts_with('['))
        return host.substr(0, host.find(']') + 1);
    return host.substr(0, host.find(':'));
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace dogwoodhall
