#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"

#include <string>
#include <variant>

namespace dogwoodhall {

// A record as the configuration service publishes it and as peers pass it on, unparsed.
struct Record {
    RecordKey key; // "services/<id>" or "topology".
    Revision revision;
    bool deleted = false;
    std::string value; // JSON with comments; empty where deleted.

    friend bool operator==(const Record&, const Record&) = default;
};

// The meaning of a record that passed its checks, whatever its schema version.
using Declaration = std::variant<ServiceDeclaration, TopologyDeclaration>;

} // namespace dogwoodhall
