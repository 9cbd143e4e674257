#pragma once

#include "CheckContext.h"

#include <functional>

namespace dogwoodhall {

enum class Presence : std::uint8_t {
    Required,
    Optional,
};

// The values that a text field accepts, and their description in messages.
struct TextRule {
    std::string expected;
    std::function<bool(std::string_view)> accepts;
};

// Inclusive bounds of an integer.
struct IntegerRange {
    std::int64_t min;
    std::int64_t max;
};

struct DecimalRange {
    double min;
    double max;
};

// Reads the fields of one object and reports fields that are missing, duplicate, of the wrong type or out of range. A
// field counts as known once it has been read; finish() reports all unknown fields.
class ObjectReader {
public:
    using ReadItem = std::function<void(const JsonNode&, const std::string& pointer)>;

    ObjectReader(CheckContext&, const JsonNode&, std::string pointer);

    std::optional<std::string> text(const std::string& name, Presence, const TextRule&);
    std::optional<std::int64_t> integer(const std::string& name, Presence, IntegerRange);
    std::optional<double> decimal(const std::string& name, Presence, DecimalRange);
    std::optional<bool> boolean(const std::string& name, Presence);
    std::vector<std::string> texts(const std::string& name, const TextRule&);
    // Calls `read` for each item of an array.
    void array(const std::string& name, Presence, const ReadItem& read);
    // Calls `read` with the value of the field, if it is present.
    void object(const std::string& name, Presence, const ReadItem& read);

    // Returns the value of a field, or null.
    const JsonNode* node(std::string_view name) const { return m_node.find(name); }
    std::string pointerTo(std::string_view name) const { return childPointer(m_pointer, name); }
    CheckContext& context() { return m_context; }

    // Registers fields that this object only has in another schema version, so that finish() can report that version.
    void declareFieldsOfVersion(std::string version, std::vector<std::string> names);
    void finish();

private:
    const JsonNode* findField(const std::string& name, Presence, std::string_view expected);
    void reportDuplicates();
    std::string expectedForUnknownField(const std::string& name) const;

    CheckContext& m_context;
    const JsonNode& m_node;
    std::string m_pointer;
    std::vector<std::string> m_known;
    std::string m_otherVersion;
    std::vector<std::string> m_fieldsOfOtherVersion;
};

} // namespace dogwoodhall
