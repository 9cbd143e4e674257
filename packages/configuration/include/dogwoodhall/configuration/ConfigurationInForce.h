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

// Turns a record into its meaning, or says why it is rejected. The parser is a hook because decisions know no JSON.
using ParseRecord = std::function<tl::expected<Declaration, std::string>(const Record&)>;

enum class OfferResult {
    Accepted,
    NotNewer, // The revision in force is the same or higher, or this revision was rejected before.
    Rejected, // The record fails its checks; the one in force stays.
};

struct OfferOutcome {
    OfferResult result;
    std::string reason; // Place and reason where rejected.
};

struct RejectedRecord {
    RecordKey key;
    Revision revision;
    std::optional<Revision> inForce; // Revision that stays in force; empty where the key has none.
    std::string reason;
};

// The records in force on this member. A key's revision never goes down, whatever source offers a record: the
// platform, which may be stale, or a peer. The outcome does not depend on the order of offers: in force is each key's
// valid record with the highest revision, so that of two operators' changes to one key the store's later one wins on
// every member.
//
// Memory: the text of each record, its meaning, and an index entry; see packages/configuration/bench.
class ConfigurationInForce {
public:
    explicit ConfigurationInForce(ParseRecord parse);
    // The index points into the entries, so that a copy would refer to its original.
    ConfigurationInForce(const ConfigurationInForce&) = delete;
    ConfigurationInForce& operator=(const ConfigurationInForce&) = delete;

    // Costs the parsing of the record and a logarithmic number of comparisons.
    OfferOutcome offer(const Record&);

    // The known keys that a whole read lacks, as deletions at its revision. Keys with a higher revision were written
    // after the read.
    std::vector<Record> deletionsIn(const RecordBatch&) const;

    // Highest revision seen, accepted or rejected: a rejected record is not asked for again.
    Revision highestRevision() const { return m_digest.highest; }
    ConfigurationDigest digest() const { return m_digest; }

    // Records with a revision above `revision`, in order of revision: deletions, and rejected records too, since a peer
    // with a later schema may accept them. With a limit, as many as fit, but at least one revision.
    std::vector<Record> recordsSince(Revision) const;
    std::vector<Record> recordsSince(Revision, ByteCount limit) const;

    // Records in force of keys whose newest record is rejected, in order of the keys from the one after `after` round
    // to it; as many as fit, but at least one. A peer that read the rejected record without the one before it lacks
    // them, although both have the same highest revision.
    std::vector<Record> inForceUnderRejections(const RecordKey& after, ByteCount limit) const;

    std::vector<ServiceDeclaration> services() const;
    // The same services without copying them; immutable, and shared with the snapshots of other threads.
    std::vector<std::shared_ptr<const ServiceDeclaration>> sharedServices() const;
    TopologyDeclaration topology() const;
    // The routing document in force; null where there is none.
    std::shared_ptr<const RoutingDeclaration> routing() const;
    std::vector<std::shared_ptr<const EndpointRegistration>> registrations() const;
    // The registration in force under this key; null where there is none.
    std::shared_ptr<const EndpointRegistration> registration(const RecordKey&) const;

    std::vector<RejectedRecord> rejected() const;
    // Keys known, deleted ones included. Deletions are kept for as long as the process runs, because an older record
    // could otherwise come back from a stale source.
    std::size_t size() const { return m_entries.size(); }

private:
    struct InForce {
        Record record;
        std::shared_ptr<const Declaration> declaration; // Null where deleted.
    };
    struct Rejection {
        Record record;
        std::string reason;
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
    void putInForce(Entry&, InForce);
    void reject(Entry&, Rejection);
    void dropRejection(Entry&);
    static std::uint64_t hashOf(const RecordKey&, const Entry&);
    std::set<const Record*, ByRevision>::const_iterator firstAbove(Revision) const;

    ParseRecord m_parse;
    std::map<RecordKey, Entry> m_entries;
    std::set<const Record*, ByRevision> m_byRevision; // Points into m_entries.
    ConfigurationDigest m_digest;
};

} // namespace dogwoodhall
