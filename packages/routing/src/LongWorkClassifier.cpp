#include "dogwoodhall/routing/LongWorkClassifier.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr double newestShare = 1.0 / 8;
// The service's typical duration moves slowly: about the last 256 requests count.
constexpr double newestShareOfService = 1.0 / 256;
constexpr double shortestSeconds = 1e-6;
// Characters of a path prefix that are kept, so that a caller's long paths do not use up memory.
constexpr std::size_t longestPrefix = 64;

std::string_view prefixOf(std::string_view path, std::size_t segments)
{
    std::size_t end = 0;
    for (std::size_t n = 0; n < segments && end != std::string_view::npos; ++n)
        end = path.find('/', end + 1);
    return path.substr(0, std::min(end, longestPrefix));
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
    const double seconds = std::max(toSeconds(duration), shortestSeconds);
    const auto [typical, isFirst] = m_typicalLogSeconds.emplace(service, std::log(seconds));
    if (!isFirst)
        typical->second += (std::log(seconds) - typical->second) * newestShareOfService;

    Entry& entry = entryFor(keyFor(service, rule, path));
    ++entry.samples;
    // The first samples weigh equally.
    const double share = std::max(newestShare, 1.0 / entry.samples);
    entry.meanSeconds += (seconds - entry.meanSeconds) * share;
    entry.meanBytes += (static_cast<double>(bytes.count()) - entry.meanBytes) * share;
    if (entry.samples < m_limits.samplesToJudge)
        return;
    const double slack = entry.isLong ? 0.5 : 1;
    entry.isLong = entry.meanSeconds >= slack * m_limits.longFactor * std::exp(typical->second)
        || entry.meanBytes >= slack * static_cast<double>(m_limits.longBytes.count());
}

std::string LongWorkClassifier::keyFor(const ServiceId& service, const RuleId& rule, std::string_view path) const
{
    // A line break occurs in no id and no path.
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
