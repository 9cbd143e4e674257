#include "dogwoodhall/daemon/control/AllowedRegionsLog.h"

#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

std::vector<std::string> warningsOf(const ServiceDeclaration& service, const PoolEligibility& eligibility)
{
    std::vector<std::string> warnings;
    const auto name = "Service " + service.id.value();
    for (const auto& region : eligibility.unknownRegions(service))
        warnings.push_back(name + " allows region " + region.value() + ", which has no data centre.");
    if (!service.endpoints.empty() && !eligibility.hasAllowedEndpoint(service))
        warnings.push_back(name + " has no endpoint in its allowed regions: its requests are refused.");
    return warnings;
}

} // namespace

void AllowedRegionsLog::update(
    const std::vector<std::shared_ptr<const ServiceDeclaration>>& services, const PoolEligibility& eligibility)
{
    std::map<ServiceId, std::vector<std::string>> current;
    for (const auto& service : services) {
        if (service->allowedRegions.empty())
            continue;
        auto& warnings = current[service->id] = warningsOf(*service, eligibility);
        const auto& known = m_warnings[service->id];
        for (const auto& warning : warnings) {
            if (std::find(known.begin(), known.end(), warning) == known.end())
                DOGWOODHALL_LOG(config, warning) << warning;
        }
    }
    m_warnings = std::move(current);
}

} // namespace dogwoodhall
