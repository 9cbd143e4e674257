#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/declarations/Problem.h"
#include "dogwoodhall/declarations/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// A place where settings or a service name a data centre.
struct DataCentreReference {
    DataCentreId dataCentre;
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    std::string pointer;
};

struct CheckedRecord {
    RecordKey key;
    Declaration declaration;
};

// What an operator's file declares. Where `problems` is not empty, the file is to be rejected whole.
struct DeclarationFile {
    std::optional<Settings> settings;
    std::vector<CheckedRecord> records;
    std::vector<DataCentreReference> references;
    Problems problems;
};

// A record is limited by the configuration service's largest value.
inline constexpr std::size_t maxRecordBytes = 1024 * 1024;
inline constexpr std::size_t maxSettingsBytes = 64 * 1024;
// A bundle holds all records: 28,000 endpoints at about 150 bytes are 4 MB, with room for comments and growth.
inline constexpr std::size_t maxBundleBytes = 64 * 1024 * 1024;

// Reads settings, one record value, or a bundle {"records": {"services/x": {...}, "topology": {...}}}. Which of these
// the text is follows from its fields. `file` is used in messages only.
DeclarationFile readDeclarationFile(std::string_view text, const std::string& file);

// Reports references to data centres that the topology does not declare.
Problems checkReferences(const std::vector<DataCentreReference>&, const TopologyDeclaration&);

} // namespace dogwoodhall
