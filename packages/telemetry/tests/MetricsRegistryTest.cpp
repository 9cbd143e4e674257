#include "dogwoodhall/telemetry/MetricsRegistry.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace dogwoodhall;

struct TextRow {
    const char* line; // Must appear in the rendered text.
};

const TextRow rows[] = {
    { "# TYPE requests_total counter\n" },
    { "requests_total{kind=\"queue-full\"} 2\n" },
    { "requests_total{kind=\"a\\\"b\"} 1\n" },
    { "# TYPE queued gauge\nqueued 7\n" },
    { "wait_seconds_bucket{le=\"0.00063\"} 1\n" },
    { "wait_seconds_bucket{le=\"+Inf\"} 3\n" },
    { "wait_seconds_count 3\n" },
};

// Guards against output that a Prometheus scraper rejects or misreads.
ParameterizedTestParameters(MetricsRegistry, rendersPrometheusText) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, MetricsRegistry, rendersPrometheusText)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.", { { "kind", "queue-full" } }).add(2);
    registry.counter("requests_total", "Requests.", { { "kind", "a\"b" } }).add();
    registry.gauge("queued", "Queued requests.").set(7);
    auto& wait = registry.histogram("wait_seconds", "Queue wait.");
    wait.observe(std::chrono::microseconds(630));
    wait.observe(std::chrono::milliseconds(2));
    wait.observe(std::chrono::hours(1));
    const auto text = registry.toPrometheusText();
    cr_assert(text.find(rows[*index].line) != std::string::npos, "missing %s in\n%s", rows[*index].line, text.c_str());
}
