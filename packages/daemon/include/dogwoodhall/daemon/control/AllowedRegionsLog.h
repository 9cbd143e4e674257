#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/routing/PoolEligibility.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall {

// Warns of services whose allowed regions are not in the topology or have none of their endpoints; once, and again if
// this changes.
class AllowedRegionsLog {
public:
    void update(const std::vector<std::shared_ptr<const ServiceDeclaration>>&, const PoolEligibility&);

private:
    std::map<ServiceId, std::vector<std::string>> m_warnings; // Those in force.
};

} // namespace dogwoodhall
