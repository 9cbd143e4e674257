#pragma once

#include "dogwoodhall/configuration/Record.h"

#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dogwoodhall {

// Turns a record into its meaning, or says why it is rejected. The parser is a hook because decisions know no JSON.
using ParseRecord = std::function<tl::expected<Declaration, std::string>(const Record&)>;

enum class OfferResult {
    Accepted,
    NotNewer, // The revision in force is the same or higher.
    Rejected, // The record fails its checks; the one in force stays.
};

struct OfferOutcome {
    OfferResult result;
    std::string reason; // Place and reason where rejected.
};

// The records in force on this member. A key's revision never goes down, whatever source offers a record: the
// platform, which may be stale, or a peer.
class ConfigurationInForce {
public:
    explicit ConfigurationInForce(ParseRecord parse);

    OfferOutcome offer(const Record&);

    // Highest revision seen, accepted or rejected.
    Revision highestRevision() const { return m_highestRevision; }

    // Records with a revision above `revision`, deletions included, in order of revision.
    std::vector<Record> recordsSince(Revision) const;

    std::vector<ServiceDeclaration> services() const;
    TopologyDeclaration topology() const;

private:
    struct Entry {
        Record record;
        Declaration declaration;
    };

    ParseRecord m_parse;
    std::map<RecordKey, Entry> m_entries;
    Revision m_highestRevision;
};

} // namespace dogwoodhall
