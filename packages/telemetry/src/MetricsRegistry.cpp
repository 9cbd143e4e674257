#include "dogwoodhall/telemetry/MetricsRegistry.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace dogwoodhall {

namespace {

std::string escapeLabelValue(const std::string& value)
{
    std::string escaped;
    for (char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

std::string renderLabels(const std::vector<MetricLabel>& labels)
{
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const auto& label : labels) {
        if (text.size() > 1)
            text += ',';
        text += label.name + "=\"" + escapeLabelValue(label.value) + "\"";
    }
    return text + "}";
}

void renderHistogram(std::ostream& out, const std::string& name, const Histogram& histogram)
{
    for (std::size_t n = 0; n < Histogram::bounds.size(); ++n)
        out << name << "_bucket{le=\"" << toSeconds(Histogram::bounds[n]) << "\"} " << histogram.cumulativeCount(n)
            << "\n";
    out << name << "_bucket{le=\"+Inf\"} " << histogram.count() << "\n";
    out << name << "_sum " << histogram.sumSeconds() << "\n";
    out << name << "_count " << histogram.count() << "\n";
}

} // namespace

MetricsRegistry::Family& MetricsRegistry::family(std::string name, std::string help, Kind kind)
{
    auto it = std::find_if(m_families.begin(), m_families.end(), [&](const Family& f) { return f.name == name; });
    if (it != m_families.end())
        return *it;
    return m_families.emplace_back(Family { std::move(name), std::move(help), kind, {} });
}

Counter& MetricsRegistry::addSeries(Family& family, std::vector<MetricLabel> labels)
{
    family.series.push_back(m_values.size());
    auto& series = m_values.emplace_back();
    series.labels = renderLabels(labels);
    return series.value;
}

Counter& MetricsRegistry::counter(std::string name, std::string help, std::vector<MetricLabel> labels)
{
    return addSeries(family(std::move(name), std::move(help), Kind::Counter), std::move(labels));
}

Counter& MetricsRegistry::gauge(std::string name, std::string help, std::vector<MetricLabel> labels)
{
    return addSeries(family(std::move(name), std::move(help), Kind::Gauge), std::move(labels));
}

Histogram& MetricsRegistry::histogram(std::string name, std::string help)
{
    Family& target = family(std::move(name), std::move(help), Kind::Histogram);
    target.series.push_back(m_histograms.size());
    return m_histograms.emplace_back();
}

std::string MetricsRegistry::toPrometheusText() const
{
    static constexpr std::array<std::string_view, 3> typeNames { "counter", "gauge", "histogram" };
    std::ostringstream out;
    for (const auto& family : m_families) {
        out << "# HELP " << family.name << " " << family.help << "\n";
        out << "# TYPE " << family.name << " " << typeNames[static_cast<std::size_t>(family.kind)] << "\n";
        for (const auto index : family.series) {
            if (family.kind == Kind::Histogram)
                renderHistogram(out, family.name, m_histograms[index]);
            else
                out << family.name << m_values[index].labels << " " << m_values[index].value.value() << "\n";
        }
    }
    return out.str();
}

} // namespace dogwoodhall
