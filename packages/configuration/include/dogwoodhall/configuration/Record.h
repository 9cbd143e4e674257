#pragma once

#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/configuration/RoutingDeclaration.h"
#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"

#include <string>
#include <variant>
#include <vector>

namespace dogwoodhall {

// A record as the configuration service publishes it and as peers pass it on, unparsed.
struct Record {
    RecordKey key; // "services/<id>" or "topology"; in a registry, the platform's own key.
    Revision revision;
    bool deleted = false;
    std::string value; // JSON with comments, or the platform's own text; empty where deleted.

    friend bool operator==(const Record&, const Record&) = default;
};

// The meaning of a record that passed its checks, whatever its schema version.
using Declaration = std::variant<ServiceDeclaration, TopologyDeclaration, RoutingDeclaration, EndpointRegistration>;

// A read of the configuration service.
struct RecordBatch {
    Revision highest; // The service's revision at the time of the read, or that of the last record.
    std::vector<Record> records;
    // The records are all that exist at `highest`: a known key that is missing has been deleted.
    bool isWhole = false;
};

} // namespace dogwoodhall
