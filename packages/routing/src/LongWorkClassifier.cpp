#include "dogwoodhall/routing/LongWorkClassifier.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr double newestWeight = 1.0 / 8;
// Weight of the newest sample in the typical duration of the service, which changes slowly: it covers about the last
// 256 requests.
constexpr double newestWeightOfService = 1.0 / 256;
constexpr double minSeconds = 1e-6;
// Maximum length of a stored path prefix, so that long paths of a caller do not use up memory.
constexpr std::size_t maxPrefixLength = 64;

std::string_view prefixOf(std::string_view path, std::size_t segments)
{
    std::size_t end = 0;
    for (std::size_t n = 0; n < segments && end != std::string_view::npos; ++n)
        end = path.find('/', end + 1);
    return path.substr(0, std::min(end, maxPrefixLength));
}

} // namespace

LongWorkClassifier::LongWorkClassifier(LongWorkLimits limits)
    : m_limits(limits)
{
}

WorkClass LongWorkClassifier::classify(
    std::optional<WorkClass> declared, const ServiceId& service, const RuleId& rule, std::string_view path)
{
    if (declared)
        return *declared;
    auto it = m_index.find(keyFor(service, rule, path));
    if (it == m_index.end())
        return WorkClass::Short;
    m_entries.splice(m_entries.begin(), m_entries, it->second);
    return it->second->isLong ? WorkClass::Long : WorkClass::Short;
}

void LongWorkClassifier::record(
    const ServiceId& service, const RuleId& rule, std::string_view path, Duration duration, ByteCount bytes)
{
    const double seconds = std::max(toSeconds(duration), minSeconds);
    const auto [typical, isFirst] = m_typicalLogSeconds.emplace(service, std::log(seconds));
    if (!isFirst)
        typical->second += (std::log(seconds) - typical->second) * newestWeightOfService;

    Entry& entry = entryFor(keyFor(service, rule, path));
    ++entry.samples;
    // The first samples are weighted equally.
    const double weight = std::max(newestWeight, 1.0 / entry.samples);
    entry.meanSeconds += (seconds - entry.meanSeconds) * weight;
    entry.meanBytes += (static_cast<double>(bytes.count()) - entry.meanBytes) * weight;
    if (entry.samples < m_limits.minSamples)
        return;
    const double hysteresis = entry.isLong ? 0.5 : 1;
    entry.isLong = entry.meanSeconds >= hysteresis * m_limits.longFactor * std::exp(typical->second)
        || entry.meanBytes >= hysteresis * static_cast<double>(m_limits.longBytes.count());
}

std::string LongWorkClassifier::keyFor(const ServiceId& service, const RuleId& rule, std::string_view path) const
{
    // Ids and paths contain no line breaks.
    std::string key = service.value() + '\n' + rule.value() + '\n';
    key += prefixOf(path, m_limits.prefixSegments);
    return key;
}

LongWorkClassifier::Entry& LongWorkClassifier::entryFor(std::string key)
{
    if (auto it = m_index.find(key); it != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, it->second);
        return m_entries.front();
    }
    if (m_entries.size() >= m_limits.maxKeys) {
        m_index.erase(m_entries.back().key);
        m_entries.pop_back();
    }
    m_entries.push_front(Entry { std::move(key), 0, 0, 0, false });
    m_index.emplace(m_entries.front().key, m_entries.begin());
    return m_entries.front();
}

} // namespace dogwoodhall
