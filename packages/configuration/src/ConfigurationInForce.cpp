#include "dogwoodhall/configuration/ConfigurationInForce.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace dogwoodhall {

namespace {

// Of the era in the hash of a revision, which is the number alone where the store names no era.
constexpr unsigned eraShift = 48;
const char* const supersededReason = "a newer edition of an earlier era is in force";

// A routing document with a lower version than the one in force would revert routes to an older state.
bool isOlderRoutingVersion(const Declaration& declaration, const Declaration* inForce)
{
    const auto* routing = std::get_if<RoutingDeclaration>(&declaration);
    const auto* previous = inForce ? std::get_if<RoutingDeclaration>(inForce) : nullptr;
    return routing && previous && routing->version < previous->version;
}

} // namespace

ConfigurationInForce::ConfigurationInForce(ParseRecord parse)
    : m_parse(std::move(parse))
{
}

bool ConfigurationInForce::ByRevision::operator()(const Record* a, const Record* b) const
{
    return std::tie(a->revision, a->key) < std::tie(b->revision, b->key);
}

bool ConfigurationInForce::isSameChange(const Record& a, const Record& b)
{
    return !a.deleted && !b.deleted && a.revision.value() == b.revision.value() && a.value == b.value;
}

bool ConfigurationInForce::holdsSameChange(const Record& record) const
{
    const auto it = m_entries.find(record.key);
    return it != m_entries.end() && it->second.inForce && isSameChange(it->second.inForce->record, record);
}

bool ConfigurationInForce::isNewer(const InForce& offered, const InForce& held)
{
    const bool isLater = offered.record.revision > held.record.revision;
    const auto& later = isLater ? offered.record : held.record;
    // A copy shows no deletions, so that one of the later era was made in it.
    if (offered.record.revision.era() == held.record.revision.era() || later.deleted)
        return isLater;
    const auto offeredEdition = offered.edition();
    const auto heldEdition = held.edition();
    if (!offeredEdition || !heldEdition)
        return isLater;
    if (*offeredEdition != *heldEdition)
        return *offeredEdition > *heldEdition;
    return offered.record.deleted || (isLater && !held.record.deleted);
}

// Decides without parsing the record.
bool ConfigurationInForce::isNotNewer(const Entry& entry, const Record& offered)
{
    const auto& [inForce, rejection] = entry;
    if (rejection && rejection->record.revision == offered.revision)
        return true;
    return inForce && inForce->record.revision >= offered.revision
        && inForce->record.revision.era() == offered.revision.era();
}

OfferOutcome ConfigurationInForce::offer(const Record& record)
{
    const auto known = m_entries.find(record.key);
    if (known == m_entries.end() && record.revision <= m_completeRead)
        return { OfferResult::NotNewer, {} };
    if (known != m_entries.end() && isNotNewer(known->second, record))
        return { OfferResult::NotNewer, {} };
    return offerTo(known != m_entries.end() ? known->second : m_entries[record.key], record);
}

OfferOutcome ConfigurationInForce::offerTo(Entry& entry, const Record& record)
{
    const std::uint64_t hashBefore = hashOf(record.key, entry);
    auto outcome = decide(entry, record);
    m_digest.hash += hashOf(record.key, entry) - hashBefore;
    m_digest.highest = std::max(m_digest.highest, highestOf(entry));
    return outcome;
}

OfferOutcome ConfigurationInForce::decide(Entry& entry, const Record& record)
{
    if (entry.inForce && isSameChange(entry.inForce->record, record)) {
        if (record.revision > entry.inForce->record.revision)
            renumber(entry, record.revision);
        return { OfferResult::NotNewer, {} };
    }
    InForce offered { record, nullptr };
    std::string reason;
    bool isReadable = true;
    if (!record.deleted) {
        auto parsed = m_parse(record);
        const auto* previous = entry.inForce ? entry.inForce->declaration.get() : nullptr;
        const bool isSameEra = entry.inForce && entry.inForce->record.revision.era() == record.revision.era();
        isReadable = parsed.has_value();
        if (!parsed)
            reason = std::move(parsed.error());
        else if (isSameEra && isOlderRoutingVersion(*parsed, previous))
            reason = record.key.value() + ": its version is lower than the version in force";
        else
            offered.declaration = std::make_shared<const Declaration>(std::move(*parsed));
    }
    const bool isValid = record.deleted || offered.declaration;
    if (isValid && (!entry.inForce || isNewer(offered, *entry.inForce))) {
        putInForce(entry, std::move(offered));
        return { OfferResult::Accepted, {} };
    }
    const bool isHighest = record.revision > highestOf(entry);
    if (isValid)
        reason = record.key.value() + ": " + supersededReason;
    if (isHighest)
        reject(entry, { record, reason, isReadable });
    if (!isValid)
        return { OfferResult::Rejected, std::move(reason) };
    return { isHighest ? OfferResult::Superseded : OfferResult::NotNewer, std::move(reason) };
}

void ConfigurationInForce::completeReadOffered(Revision revision)
{
    m_completeRead = std::max(m_completeRead, revision);
}

Revision ConfigurationInForce::highestOf(const Entry& entry)
{
    if (entry.rejection)
        return entry.rejection->record.revision;
    return entry.inForce ? entry.inForce->record.revision : Revision();
}

void ConfigurationInForce::putInForce(Entry& entry, InForce inForce)
{
    std::optional<InForce> previous;
    if (entry.inForce) {
        m_byRevision.erase(&entry.inForce->record);
        previous = std::move(entry.inForce);
        if (inForce.record.deleted)
            inForce.record.deletedEdition = std::max(inForce.record.deletedEdition, previous->edition());
    }
    if (std::get_if<EvacuationDeclaration>(inForce.declaration.get()))
        m_evacuations.insert(inForce.record.key);
    entry.inForce = std::move(inForce);
    m_byRevision.insert(&entry.inForce->record);
    const Revision revision = entry.inForce->record.revision;
    if (entry.rejection && entry.rejection->record.revision < revision)
        dropRejection(entry);
    // The previous record is of a later era, in which the store shows an older copy.
    if (!entry.rejection && previous && previous->record.revision > revision)
        reject(entry, { std::move(previous->record), supersededReason });
}

// The change keeps its declaration, so that it does not count as made again.
void ConfigurationInForce::renumber(Entry& entry, Revision revision)
{
    m_byRevision.erase(&entry.inForce->record);
    entry.inForce->record.revision = revision;
    m_byRevision.insert(&entry.inForce->record);
    if (entry.rejection && entry.rejection->record.revision < revision)
        dropRejection(entry);
}

void ConfigurationInForce::reject(Entry& entry, Rejection rejection)
{
    dropRejection(entry);
    // A larger value does not fit into a message and would block every later record for the peers. They also reject
    // the record if it has no value.
    if (rejection.record.value.size() > maxRecordValueBytes.count())
        rejection.record.value.clear();
    m_rejected.insert(rejection.record.key);
    if (!rejection.isReadable)
        m_unreadable.insert(rejection.record.key);
    entry.rejection = std::move(rejection);
    m_byRevision.insert(&entry.rejection->record);
}

void ConfigurationInForce::dropRejection(Entry& entry)
{
    if (!entry.rejection)
        return;
    m_byRevision.erase(&entry.rejection->record);
    m_rejected.erase(entry.rejection->record.key);
    m_unreadable.erase(entry.rejection->record.key);
    entry.rejection.reset();
}

std::uint64_t ConfigurationInForce::hashOf(const RecordKey& key, const Entry& entry)
{
    const auto part = [&](const auto& held) -> std::uint64_t {
        if (!held)
            return 0;
        const Revision revision = held->record.revision;
        return stableHash(key.value(), revision.value() + (revision.era().value() << eraShift));
    };
    return part(entry.inForce) + part(entry.rejection);
}

std::set<const Record*, ConfigurationInForce::ByRevision>::const_iterator ConfigurationInForce::firstAbove(
    Revision revision) const
{
    if (revision.value() == std::numeric_limits<std::uint64_t>::max())
        return m_byRevision.end(); // No store gives out as many.
    const Record probe { RecordKey(), Revision(revision.value() + 1, revision.era()), false, {} };
    return m_byRevision.lower_bound(&probe);
}

std::vector<Record> ConfigurationInForce::recordsSince(Revision revision) const
{
    return recordsSince(revision, ByteCount(std::numeric_limits<std::uint64_t>::max()));
}

std::vector<Record> ConfigurationInForce::recordsSince(Revision revision, ByteCount limit) const
{
    std::vector<Record> records;
    std::uint64_t bytes = 0;
    for (auto it = firstAbove(revision); it != m_byRevision.end(); ++it) {
        const Record& record = **it;
        const std::uint64_t size = record.key.value().size() + record.value.size();
        // The receiver then requests what is above the last revision sent, so a revision is never split.
        const bool startsRevision = records.empty() || records.back().revision != record.revision;
        if (startsRevision && !records.empty() && size > limit.count() - std::min(bytes, limit.count()))
            break;
        bytes += size;
        records.push_back(record);
    }
    return records;
}

std::vector<Record> ConfigurationInForce::inForceOfRejectedKeys(const RecordKey& after, ByteCount limit) const
{
    std::vector<Record> records;
    std::uint64_t bytes = 0;
    auto it = m_rejected.upper_bound(after);
    for (std::size_t n = 0; n < m_rejected.size(); ++n, ++it) {
        if (it == m_rejected.end())
            it = m_rejected.begin();
        const auto& inForce = m_entries.at(*it).inForce;
        if (!inForce)
            continue;
        bytes += inForce->record.key.value().size() + inForce->record.value.size();
        if (!records.empty() && bytes > limit.count())
            break;
        records.push_back(inForce->record);
    }
    return records;
}

std::vector<Record> ConfigurationInForce::evacuationRecords() const
{
    std::vector<Record> records;
    for (const auto& key : m_evacuations)
        records.push_back(m_entries.at(key).inForce->record);
    return records;
}

std::vector<ServiceDeclaration> ConfigurationInForce::services() const
{
    std::vector<ServiceDeclaration> services;
    for (const auto& service : sharedServices())
        services.push_back(*service);
    return services;
}

std::vector<Record> ConfigurationInForce::deletionsIn(const RecordBatch& batch) const
{
    std::set<RecordKey> present;
    for (const auto& record : batch.records)
        present.insert(record.key);
    std::vector<Record> deletions;
    for (const auto& [key, entry] : m_entries) {
        const bool isDeleted = entry.inForce && entry.inForce->record.deleted;
        if (!isDeleted && !present.contains(key) && highestOf(entry) < batch.highest)
            deletions.push_back({ key, batch.highest, true, {} });
    }
    return deletions;
}

template <typename Kind> std::vector<std::shared_ptr<const Kind>> ConfigurationInForce::sharedDeclarations() const
{
    std::vector<std::shared_ptr<const Kind>> declarations;
    for (const auto& [key, entry] : m_entries) {
        const auto* declaration = entry.inForce ? entry.inForce->declaration.get() : nullptr;
        if (const auto* wanted = std::get_if<Kind>(declaration))
            declarations.emplace_back(entry.inForce->declaration, wanted);
    }
    return declarations;
}

std::vector<std::shared_ptr<const ServiceDeclaration>> ConfigurationInForce::sharedServices() const
{
    return sharedDeclarations<ServiceDeclaration>();
}

std::vector<std::shared_ptr<const EndpointRegistration>> ConfigurationInForce::registrations() const
{
    return sharedDeclarations<EndpointRegistration>();
}

std::set<DataCentreId> ConfigurationInForce::evacuatedDataCentres() const
{
    std::set<DataCentreId> dataCentres;
    for (const auto& key : m_evacuations) {
        const auto* declaration = m_entries.at(key).inForce->declaration.get();
        if (const auto* evacuation = std::get_if<EvacuationDeclaration>(declaration))
            dataCentres.insert(evacuation->dataCentre);
    }
    return dataCentres;
}

std::shared_ptr<const EndpointRegistration> ConfigurationInForce::registration(const RecordKey& key) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || !it->second.inForce)
        return nullptr;
    const auto& declaration = it->second.inForce->declaration;
    const auto* registration = std::get_if<EndpointRegistration>(declaration.get());
    return registration ? std::shared_ptr<const EndpointRegistration>(declaration, registration) : nullptr;
}

std::shared_ptr<const RoutingDeclaration> ConfigurationInForce::routing() const
{
    const auto documents = sharedDeclarations<RoutingDeclaration>();
    return documents.empty() ? nullptr : documents.front();
}

bool ConfigurationInForce::isRoutingNewest() const
{
    return std::none_of(m_unreadable.begin(), m_unreadable.end(), [&](const RecordKey& key) {
        const auto& inForce = m_entries.at(key).inForce;
        return inForce && std::get_if<RoutingDeclaration>(inForce->declaration.get());
    });
}

TopologyDeclaration ConfigurationInForce::topology() const
{
    const auto it = m_entries.find(RecordKey("topology"));
    if (it == m_entries.end() || !it->second.inForce)
        return {};
    const auto* topology = std::get_if<TopologyDeclaration>(it->second.inForce->declaration.get());
    return topology ? *topology : TopologyDeclaration {};
}

std::vector<RejectedRecord> ConfigurationInForce::rejected() const
{
    std::vector<RejectedRecord> rejected;
    for (const auto& [key, entry] : m_entries) {
        if (!entry.rejection)
            continue;
        const auto inForce = entry.inForce ? std::optional(entry.inForce->record.revision) : std::nullopt;
        rejected.push_back({ key, entry.rejection->record.revision, inForce, entry.rejection->reason });
    }
    return rejected;
}

} // namespace dogwoodhall
