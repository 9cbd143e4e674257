#pragma once

#include "dogwoodhall/configuration/ConfigurationDigest.h"
#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dogwoodhall {

// Parses a record, or returns the reason for its rejection. The parser is a hook because this package does not depend
// on JSON.
using ParseRecord = std::function<tl::expected<Declaration, std::string>(const Record&)>;

enum class OfferResult {
    Accepted,
    NotNewer, // The revision in force is the same or higher, or this revision has already been rejected.
    Rejected, // The record is invalid; the one in force stays.
    Superseded, // The store shows an older copy; the record in force, of an earlier era, is newer and stays.
};

struct OfferOutcome {
    OfferResult result;
    std::string reason; // Location and reason if rejected.
};

struct RejectedRecord {
    RecordKey key;
    Revision revision;
    std::optional<Revision> inForce; // Revision that stays in force; empty if the key has none.
    std::string reason;
};

// The records in force on this member, and the only place that decides which of two records is newer. Within an era of
// the store a key's revision never decreases, whichever source offers a record: the platform, which may be stale, or a
// peer. The result does not depend on the order of offers: for each key the valid record with the highest revision is
// in force, so that if two operators change the same key, the change that the store ordered last wins on every member.
//
// When an era begins, the store shows an older copy until the writers have written again. Between records of different
// eras the later edition wins, and a deletion wins over the edition that it deleted and those before. Only where an
// edition is missing the later era wins. A record that loses although its revision is higher is kept like a rejected
// one, so that members with the same highest revision can repair each other.
//
// Memory: the text of each record, its parsed declaration, and an index entry; see packages/configuration/bench.
class ConfigurationInForce {
public:
    explicit ConfigurationInForce(ParseRecord parse);
    // Not copyable because the index points into the entries.
    ConfigurationInForce(const ConfigurationInForce&) = delete;
    ConfigurationInForce& operator=(const ConfigurationInForce&) = delete;

    // Takes the time to parse the record plus a logarithmic number of comparisons.
    OfferOutcome offer(const Record&);

    // Whether the record in force is the same change, read in the same or another era. Changes from before an older
    // copy was taken are the same in both eras.
    bool holdsSameChange(const Record&) const;

    // Deletions, at the revision of a complete read, of the known keys that it does not contain. Keys with a higher
    // revision were written after the read and are kept.
    std::vector<Record> deletionsIn(const RecordBatch&) const;

    // All records of a complete read of a linearizable source, and the deletions that follow from it, have been
    // offered. A key that is still unknown was deleted before the read: a record of it from a peer that has missed the
    // deletion is ignored, unless its revision is higher than that of the read.
    void completeReadOffered(Revision);

    // Highest revision seen, accepted or rejected; a rejected record is not requested again.
    Revision highestRevision() const { return m_digest.highest; }
    ConfigurationDigest digest() const { return m_digest; }

    // Records with a revision above the given one, in order of revision. Includes deletions, and rejected records
    // because a peer with a later schema may accept them. With a limit, as many as fit, but at least one revision.
    std::vector<Record> recordsSince(Revision) const;
    std::vector<Record> recordsSince(Revision, ByteCount limit) const;

    // Records in force for keys whose newest record was rejected, in order of keys, starting after `after` and wrapping
    // around; as many as fit, but at least one. A peer that has read the rejected record but not its predecessor lacks
    // them, although both members have the same highest revision.
    std::vector<Record> inForceOfRejectedKeys(const RecordKey& after, ByteCount limit) const;

    // Evacuation records in force and the deletions of former ones. They are few, and a member that lacks one of them
    // although it holds records of higher revisions never gets it by recordsSince().
    std::vector<Record> evacuationRecords() const;

    std::vector<ServiceDeclaration> services() const;
    // The same services without copies. They are immutable and shared with the snapshots of other threads.
    std::vector<std::shared_ptr<const ServiceDeclaration>> sharedServices() const;
    TopologyDeclaration topology() const;
    // The routing document in force; null if there is none.
    std::shared_ptr<const RoutingDeclaration> routing() const;
    // Whether no later routing document is known that this build cannot read.
    bool isRoutingNewest() const;
    std::vector<std::shared_ptr<const EndpointRegistration>> registrations() const;
    // Data centres that operators evacuate.
    std::set<DataCentreId> evacuatedDataCentres() const;
    // The registration in force under this key; null if there is none.
    std::shared_ptr<const EndpointRegistration> registration(const RecordKey&) const;

    std::vector<RejectedRecord> rejected() const;
    // Number of known keys, deleted ones included. Deletions are kept for the lifetime of the process, because a stale
    // source could otherwise bring back an older record.
    std::size_t size() const { return m_entries.size(); }

private:
    struct InForce {
        Record record;
        std::shared_ptr<const Declaration> declaration; // Null if deleted.

        std::optional<Edition> edition() const { return declaration ? editionOf(*declaration) : record.deletedEdition; }
    };
    struct Rejection {
        Record record;
        std::string reason;
        bool isReadable = true; // False if the parser has rejected it, so that its content is unknown.
    };
    // At least one of the two is present. A rejection is kept only while its revision is above the one in force.
    struct Entry {
        std::optional<InForce> inForce;
        std::optional<Rejection> rejection;
    };
    struct ByRevision {
        bool operator()(const Record* a, const Record* b) const;
    };

    template <typename Kind> std::vector<std::shared_ptr<const Kind>> sharedDeclarations() const;
    static Revision highestOf(const Entry&);
    static bool isSameChange(const Record&, const Record&);
    static bool isNewer(const InForce& offered, const InForce& held);
    static bool isNotNewer(const Entry&, const Record& offered);
    OfferOutcome offerTo(Entry&, const Record&);
    OfferOutcome decide(Entry&, const Record&);
    void putInForce(Entry&, InForce);
    void reject(Entry&, Rejection);
    void dropRejection(Entry&);
    void renumber(Entry&, Revision);
    static std::uint64_t hashOf(const RecordKey&, const Entry&);
    std::set<const Record*, ByRevision>::const_iterator firstAbove(Revision) const;

    ParseRecord m_parse;
    std::map<RecordKey, Entry> m_entries;
    std::set<const Record*, ByRevision> m_byRevision; // Points into m_entries.
    std::set<RecordKey> m_rejected; // Keys that have a rejection.
    std::set<RecordKey> m_unreadable; // Keys whose newest record the parser has rejected.
    std::set<RecordKey> m_evacuations; // Keys that have, or had, an evacuation in force.
    ConfigurationDigest m_digest;
    Revision m_completeRead; // The highest of completeReadOffered().
};

} // namespace dogwoodhall
