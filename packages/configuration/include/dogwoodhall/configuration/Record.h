#pragma once

#include "dogwoodhall/configuration/Edition.h"
#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/configuration/EvacuationDeclaration.h"
#include "dogwoodhall/configuration/RoutingDeclaration.h"
#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodhall {

// The configuration service and the platform's store hold values of up to 1 MiB; the store returns them base64-encoded.
inline constexpr ByteCount maxRecordValueBytes { 4 * ((1024 * 1024 + 2) / 3) };

// An unparsed record as published by the configuration service and forwarded by peers.
struct Record {
    RecordKey key; // "services/<id>", "evacuations/<data centre>" or "topology"; in a registry, the platform's key.
    Revision revision;
    bool deleted = false;
    std::string value; // JSON with comments, or text in the platform's format; empty if deleted.
    std::optional<Edition> deletedEdition {}; // Of the content that was deleted, if it is known.

    friend bool operator==(const Record&, const Record&) = default;
};

// The content of a valid record, independent of its schema version.
using Declaration = std::variant<ServiceDeclaration, TopologyDeclaration, RoutingDeclaration, EndpointRegistration,
    EvacuationDeclaration>;

// Empty if the content does not state its edition.
std::optional<Edition> editionOf(const Declaration&);

// Result of a read of the configuration service.
struct RecordBatch {
    Revision highest; // The service's revision at the time of the read, or that of the last record.
    std::vector<Record> records;
    // The records are all those that exist at `highest`; a known key that is missing has been deleted.
    bool isComplete = false;
};

} // namespace dogwoodhall
