#pragma once

#include "dogwoodhall/telemetry/Counter.h"
#include "dogwoodhall/telemetry/Histogram.h"

#include <deque>
#include <string>
#include <vector>

namespace dogwoodhall {

struct MetricLabel {
    std::string name;
    std::string value;
};

// The metrics of the process. All metrics must be registered before threads start; afterwards only their values change,
// so that updating and reading need no lock. References stay valid for the lifetime of the registry.
class MetricsRegistry {
public:
    Counter& counter(std::string name, std::string help, std::vector<MetricLabel> labels = {});
    // A value that can decrease.
    Counter& gauge(std::string name, std::string help, std::vector<MetricLabel> labels = {});
    Histogram& histogram(std::string name, std::string help);

    // Prometheus text format, version 0.0.4.
    std::string toPrometheusText() const;

private:
    enum class Kind { Counter, Gauge, Histogram };
    struct Family {
        std::string name;
        std::string help;
        Kind kind;
        std::vector<std::size_t> series; // Indices into m_values or m_histograms.
    };
    struct Series {
        std::string labels; // Rendered, including braces; empty if there are none.
        Counter value;
    };

    Family& family(std::string name, std::string help, Kind);
    Counter& addSeries(Family&, std::vector<MetricLabel>);

    std::deque<Family> m_families;
    std::deque<Series> m_values;
    std::deque<Histogram> m_histograms;
};

} // namespace dogwoodhall
