#pragma once

#include "CheckContext.h"

#include <functional>

namespace dogwoodhall {

enum class Presence : std::uint8_t {
    Required,
    Optional,
};

// What a text field accepts, and the words for it in messages.
struct TextRule {
    std::string expected;
    std::function<bool(std::string_view)> accepts;
};

// Bounds of a whole number, both included.
struct IntegerRange {
    std::int64_t min;
    std::int64_t max;
};

struct DecimalRange {
    double min;
    double max;
};

// Reads the fields of one object and reports each that is missing, duplicate, of a wrong type or out of range. A field
// is known once it has been asked for; finish() reports the others.
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
    // Calls `read` where the member is an object.
    void object(const std::string& name, Presence, const ReadItem& read);

    // The value of a field, or null.
    const JsonNode* node(std::string_view name) const { return m_node.find(name); }
    std::string pointerTo(std::string_view name) const { return childPointer(m_pointer, name); }
    CheckContext& context() { return m_context; }

    // Names fields that this object has in another schema version, so that finish() can say so.
    void declareElsewhere(std::string version, std::vector<std::string> names);
    void finish();

private:
    const JsonNode* take(const std::string& name, Presence, std::string_view expected);
    void reportDuplicates();
    std::string expectedInsteadOf(const std::string& name) const;

    CheckContext& m_context;
    const JsonNode& m_node;
    std::string m_pointer;
    std::vector<std::string> m_known;
    std::string m_otherVersion;
    std::vector<std::string> m_knownElsewhere;
};

} // namespace dogwoodhall
