#include "dogwoodhall/configuration/ConfigurationInForce.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

ConfigurationInForce::ConfigurationInForce(ParseRecord parse)
    : m_parse(std::move(parse))
{
}

OfferOutcome ConfigurationInForce::offer(const Record& record)
{
    auto it = m_entries.find(record.key);
    if (it != m_entries.end() && it->second.record.revision >= record.revision)
        return { OfferResult::NotNewer, {} };
    m_highestRevision = std::max(m_highestRevision, record.revision);
    if (record.deleted) {
        m_entries.insert_or_assign(record.key, Entry { record, ServiceDeclaration {} });
        return { OfferResult::Accepted, {} };
    }
    auto declaration = m_parse(record);
    if (!declaration)
        return { OfferResult::Rejected, declaration.error() };
    m_entries.insert_or_assign(record.key, Entry { record, std::move(*declaration) });
    return { OfferResult::Accepted, {} };
}

std::vector<Record> ConfigurationInForce::recordsSince(Revision revision) const
{
    std::vector<Record> records;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.revision > revision)
            records.push_back(entry.record);
    }
    std::sort(records.begin(), records.end(), [](const Record& a, const Record& b) { return a.revision < b.revision; });
    return records;
}

std::vector<ServiceDeclaration> ConfigurationInForce::services() const
{
    std::vector<ServiceDeclaration> services;
    for (const auto& [key, entry] : m_entries) {
        const auto* service = std::get_if<ServiceDeclaration>(&entry.declaration);
        if (service && !entry.record.deleted)
            services.push_back(*service);
    }
    return services;
}

TopologyDeclaration ConfigurationInForce::topology() const
{
    for (const auto& [key, entry] : m_entries) {
        const auto* topology = std::get_if<TopologyDeclaration>(&entry.declaration);
        if (topology && !entry.record.deleted)
            return *topology;
    }
    return {};
}

} // namespace dogwoodhall
