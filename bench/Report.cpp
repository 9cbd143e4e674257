#include "Report.h"

#include <algorithm>
#include <iomanip>

namespace dogwoodhall::bench {

namespace {

double percentile(const std::vector<float>& sorted, double share)
{
    if (sorted.empty())
        return -1;
    const auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(at, sorted.size() - 1)];
}

} // namespace

Row summarise(Result result, const Scenario& scenario, const Deployment& deployment, const Options& options,
    const std::string& policy)
{
    std::sort(result.shortAdded.begin(), result.shortAdded.end());
    std::sort(result.longTotal.begin(), result.longTotal.end());
    const double peakSeconds = toSeconds(timeAtPeak(scenario, TimePoint(options.warmUp), TimePoint(options.duration)));
    const double offered = std::min(1.0, options.load * (scenario.hasPeaks ? peakFactor : 1));
    const double capacity = peakSeconds * offered * static_cast<double>(deployment.totalSlots());
    const auto& bytes = result.measurementCost.bytesByHost;
    const double seconds = toSeconds(options.duration);
    return { deployment.name, scenario.name, policy, percentile(result.shortAdded, 0.5),
        percentile(result.shortAdded, 0.99), percentile(result.shortAdded, 0.999),
        static_cast<double>(result.shortInTime) / static_cast<double>(std::max<std::size_t>(1, result.shortArrived)),
        result.busyInTimeSeconds / capacity, -1, percentile(result.longTotal, 0.99),
        static_cast<double>(result.measurementCost.calls) / seconds,
        static_cast<double>(*std::max_element(bytes.begin(), bytes.end())) / seconds };
}

void printTableHeader(std::ostream& out)
{
    out << std::left << std::setw(10) << "service" << std::setw(15) << "scenario" << std::setw(15) << "policy"
        << std::right << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(9) << "p99.9 ms"
        << std::setw(9) << "in time" << std::setw(8) << "peak" << std::setw(12) << "p99 no long" << std::setw(10)
        << "long p99" << std::setw(9) << "calls/s" << std::setw(9) << "bytes/s" << '\n';
}

void printTableRow(std::ostream& out, const Row& row)
{
    const auto optional = [&](int width, double value) {
        if (value < 0)
            out << std::setw(width) << "-";
        else
            out << std::setw(width) << value;
    };
    out << std::left << std::setw(10) << row.deployment << std::setw(15) << row.scenario << std::setw(15) << row.policy
        << std::right << std::fixed << std::setprecision(2) << std::setw(9) << row.p50 << std::setw(9) << row.p99
        << std::setw(9) << row.p999 << std::setprecision(4) << std::setw(9) << row.inTime << std::setprecision(3)
        << std::setw(8) << row.peakUtilisation << std::setprecision(2);
    optional(12, row.p99WithoutLong);
    optional(10, row.longP99);
    out << std::setprecision(0) << std::setw(9) << row.callsPerSecond << std::setw(9) << row.bytesPerSecond
        << std::endl;
}

void printJson(std::ostream& out, const Row& row, const Options& options)
{
    out << std::defaultfloat << std::setprecision(6) << R"({"seed":)" << options.seed << R"(,"load":)" << options.load
        << R"(,"serviceMs":)" << toMilliseconds(options.service) << R"(,"durationS":)" << toSeconds(options.duration)
        << R"(,"deployment":")" << row.deployment << R"(","scenario":")" << row.scenario << R"(","policy":")"
        << row.policy << R"(","p50Ms":)" << row.p50 << R"(,"p99Ms":)" << row.p99 << R"(,"p999Ms":)" << row.p999
        << R"(,"inTime":)" << row.inTime << R"(,"peak":)" << row.peakUtilisation;
    if (row.p99WithoutLong >= 0)
        out << R"(,"p99WithoutLongMs":)" << row.p99WithoutLong;
    if (row.longP99 >= 0)
        out << R"(,"longP99Ms":)" << row.longP99;
    out << R"(,"callsPerSecond":)" << row.callsPerSecond << R"(,"bytesPerSecond":)" << row.bytesPerSecond << "}"
        << std::endl;
}

} // namespace dogwoodhall::bench
