#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/declarations/Problem.h"
#include "dogwoodhall/declarations/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dogwoodhall {

// A reference to a data centre or region in settings or in a service, with its position in the file.
struct TopologyReference {
    std::variant<DataCentreId, RegionId> name;
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    std::string pointer;
};

struct CheckedRecord {
    RecordKey key;
    Declaration declaration;
};

// The contents of an operator's file. If `problems` is not empty, the whole file has to be rejected.
struct DeclarationFile {
    std::optional<Settings> settings;
    std::vector<CheckedRecord> records;
    std::vector<TopologyReference> references;
    Problems problems;
};

// The largest value that the configuration service stores.
inline constexpr std::size_t maxRecordBytes = 1024 * 1024;
inline constexpr std::size_t maxSettingsBytes = 64 * 1024;
// A bundle holds all records: 28,000 endpoints at about 150 bytes each are 4 MB, which leaves room for comments and
// growth.
inline constexpr std::size_t maxBundleBytes = 64 * 1024 * 1024;

// Parses settings, one record value, or a bundle {"records": {"services/x": {...}, "topology": {...}}}. The kind is
// detected from the fields of the text. `file` is only used in messages.
DeclarationFile readDeclarationFile(std::string_view text, const std::string& file);

// Returns a problem for each reference to a data centre or region that the topology does not declare.
Problems checkReferences(const std::vector<TopologyReference>&, const TopologyDeclaration&);

} // namespace dogwoodhall
