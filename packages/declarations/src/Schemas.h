#pragma once

#include "CheckContext.h"
#include "ObjectReader.h"
#include "dogwoodhall/declarations/Settings.h"

namespace dogwoodhall {

// These functions read one document and report problems to the context. The result is only valid if there are none.
Settings readSettings(CheckContext&, const JsonNode&);
// `key` is "topology", "services/<id>" or "evacuations/<data centre>".
Declaration readRecord(CheckContext&, const RecordKey& key, const JsonNode&, const std::string& pointer);
ServiceDeclaration readService(CheckContext&, const JsonNode&, const std::string& pointer);
EvacuationDeclaration readEvacuation(CheckContext&, const JsonNode&, const std::string& pointer);
TopologyDeclaration readTopology(CheckContext&, const JsonNode&, const std::string& pointer);

// Returns the document's schemaVersion, or 1 if it has none. If it is not between 1 and `newest`, reports a problem and
// returns nullopt: the other fields cannot be validated then.
std::optional<std::int64_t> readSchemaVersion(ObjectReader&, std::int64_t newest);

Duration durationFromMilliseconds(double milliseconds);

} // namespace dogwoodhall
