#include "Schemas.h"
#include "TextRules.h"

#include <algorithm>
#include <iterator>

namespace dogwoodhall {

namespace {

// A kind of record whose keys are a prefix and an id, which a field of the record repeats.
struct RecordKind {
    std::string_view prefix;
    const char* idField;
    Declaration (*read)(CheckContext&, const JsonNode&, const std::string& pointer);
};

const RecordKind recordKinds[] = {
    { "services/", "service",
        [](CheckContext& context, const JsonNode& node, const std::string& pointer) -> Declaration {
            return readService(context, node, pointer);
        } },
    { "evacuations/", "dataCentre",
        [](CheckContext& context, const JsonNode& node, const std::string& pointer) -> Declaration {
            return readEvacuation(context, node, pointer);
        } },
};

} // namespace

Declaration readRecord(CheckContext& context, const RecordKey& key, const JsonNode& node, const std::string& pointer)
{
    const std::string_view name = key.value();
    if (name == "topology")
        return readTopology(context, node, pointer);
    const auto* kind = std::find_if(std::begin(recordKinds), std::end(recordKinds), [&](const RecordKind& it) {
        return name.starts_with(it.prefix) && idText().accepts(name.substr(it.prefix.size()));
    });
    if (kind == std::end(recordKinds)) {
        context.report(node.begin, pointer, "the key \"topology\", \"services/<id>\" or \"evacuations/<data centre>\"",
            "\"" + key.value() + "\"");
        return {};
    }
    auto declaration = kind->read(context, node, pointer);
    const auto* id = node.find(kind->idField);
    if (id && id->kind == JsonNode::Kind::String && id->text != name.substr(kind->prefix.size())) {
        context.report(*id, childPointer(pointer, kind->idField),
            "the " + std::string(kind->idField) + " of the key \"" + key.value() + "\"");
    }
    return declaration;
}

} // namespace dogwoodhall
