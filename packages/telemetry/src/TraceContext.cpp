#include "dogwoodhall/telemetry/TraceContext.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::size_t traceDigits = 32;
constexpr std::size_t spanDigits = 16;
// Version "00", trace id, span id and flags, separated by dashes.
constexpr std::size_t traceParentSize = 2 + 1 + traceDigits + 1 + spanDigits + 1 + 2;
constexpr std::string_view hexDigits = "0123456789abcdef";

bool isId(std::string_view text)
{
    const bool isHex = text.find_first_not_of(hexDigits) == std::string_view::npos;
    return isHex && text.find_first_not_of('0') != std::string_view::npos;
}

std::string toHex(std::uint64_t value)
{
    std::string text(spanDigits, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = hexDigits[value & 0xf];
        value >>= 4;
    }
    return text;
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view text)
{
    if (text.size() != traceParentSize || !text.starts_with("00-") || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto trace = text.substr(3, traceDigits);
    const auto span = text.substr(36, spanDigits);
    const auto flags = text.substr(53);
    if (!isId(trace) || !isId(span) || flags.find_first_not_of(hexDigits) != std::string_view::npos)
        return std::nullopt;
    const bool isSampled = hexDigits.find(flags[1]) % 2 == 1;
    return TraceContext { TraceId(std::string(trace)), SpanId(std::string(span)), isSampled };
}

std::string toTraceParent(const TraceContext& context)
{
    return "00-" + context.trace.value() + "-" + context.span.value() + (context.isSampled ? "-01" : "-00");
}

SpanId newSpanId(RandomEngine& random)
{
    // All zeros is not a valid id.
    return SpanId(toHex(std::max<std::uint64_t>(1, random())));
}

TraceContext newTrace(Fraction sampling, RandomEngine& random)
{
    const bool isSampled = std::uniform_real_distribution<double>(0, 1)(random) < sampling.value();
    return { TraceId(toHex(random()) + newSpanId(random).value()), newSpanId(random), isSampled };
}

} // namespace dogwoodhall
