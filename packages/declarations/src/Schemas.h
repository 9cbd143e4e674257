#pragma once

#include "CheckContext.h"
#include "ObjectReader.h"
#include "dogwoodhall/declarations/Settings.h"

namespace dogwoodhall {

// Each reads one document and reports its problems to the context. The result is meaningful only where there are none.
Settings readSettings(CheckContext&, const JsonNode&);
// `key` is "topology" or "services/<id>".
Declaration readRecord(CheckContext&, const RecordKey& key, const JsonNode&, const std::string& pointer);
ServiceDeclaration readService(CheckContext&, const JsonNode&, const std::string& pointer);
TopologyDeclaration readTopology(CheckContext&, const JsonNode&, const std::string& pointer);

// The document's schemaVersion, 1 where it has none. Empty, and reported, where it is not from 1 to `newest`: the
// other fields can then not be judged.
std::optional<std::int64_t> readSchemaVersion(ObjectReader&, std::int64_t newest);

Duration durationOfMilliseconds(double milliseconds);

} // namespace dogwoodhall
