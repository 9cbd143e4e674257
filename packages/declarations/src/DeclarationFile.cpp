#include "dogwoodhall/declarations/DeclarationFile.h"

#include "Schemas.h"
#include "dogwoodhall/declarations/SettingsParser.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

// Checks for fields that only settings have. One is enough, so that settings with a missing field are still validated
// as settings.
bool isSettings(const JsonNode& node)
{
    const auto names = { "member", "callerAddress", "peerAddress", "adminAddress", "platformAddress" };
    return std::any_of(names.begin(), names.end(), [&](const char* name) { return node.find(name) != nullptr; });
}

// A record without a usable id gets a problem for that field, and the rest is validated under a placeholder key.
std::string usableText(const JsonNode* id)
{
    const bool isUsable = id && id->kind == JsonNode::Kind::String && !id->text.empty();
    return isUsable ? id->text : "unnamed";
}

RecordKey keyOf(const JsonNode& node)
{
    const auto* service = node.find("service");
    if (!service && node.find("dataCentres"))
        return RecordKey("topology");
    if (const auto* dataCentre = node.find("dataCentre"); !service && dataCentre)
        return RecordKey("evacuations/" + usableText(dataCentre));
    return RecordKey("services/" + usableText(service));
}

std::size_t countValues(const JsonNode& node)
{
    std::size_t count = 1;
    for (const auto& item : node.items)
        count += countValues(item);
    for (const auto& member : node.members)
        count += countValues(member.value);
    return count;
}

// Applies the limits that a daemon applies to the value. `bytes` may exceed the size of the node if there are comments
// around it.
bool checkSize(
    CheckContext& context, const JsonNode& node, std::size_t bytes, std::size_t maxBytes, const std::string& pointer)
{
    const std::size_t values = countValues(node);
    const std::size_t maxValues = maxBytes / minJsonBytesPerValue;
    if (bytes > maxBytes) {
        context.report(
            node.begin, pointer, "at most " + std::to_string(maxBytes) + " bytes", std::to_string(bytes) + " bytes");
    } else if (values > maxValues) {
        context.report(node.begin, pointer, "at most " + std::to_string(maxValues) + " values",
            std::to_string(values) + " values");
    }
    return bytes <= maxBytes && values <= maxValues;
}

void readBundle(CheckContext& context, const JsonNode& root, DeclarationFile& file)
{
    ObjectReader reader(context, root, "");
    reader.object("records", Presence::Required, [&](const JsonNode& records, const std::string& pointer) {
        ObjectReader duplicates(context, records, pointer);
        for (const auto& [name, begin, node] : records.members) {
            const auto recordPointer = childPointer(pointer, name);
            if (!checkSize(context, node, node.end - node.begin, maxRecordBytes, recordPointer))
                continue;
            file.records.push_back({ RecordKey(name), readRecord(context, RecordKey(name), node, recordPointer) });
        }
    });
    reader.finish();
}

} // namespace

DeclarationFile readDeclarationFile(std::string_view text, const std::string& name)
{
    DeclarationFile file;
    const auto root = readJson(text, maxBundleBytes, name);
    if (!root) {
        file.problems.push_back(root.error());
        return file;
    }
    CheckContext context(text, name);
    const bool isBundle = root->find("records") != nullptr;
    if (isBundle) {
        readBundle(context, *root, file);
    } else if (isSettings(*root)) {
        if (checkSize(context, *root, text.size(), maxSettingsBytes, ""))
            file.settings = readSettings(context, *root);
    } else if (checkSize(context, *root, text.size(), maxRecordBytes, "")) {
        const auto key = keyOf(*root);
        file.records.push_back({ key, readRecord(context, key, *root, "") });
    }
    file.references = context.takeReferences();
    file.problems = context.takeProblems();
    return file;
}

Problems checkReferences(const std::vector<TopologyReference>& references, const TopologyDeclaration& topology)
{
    Problems problems;
    const auto& known = topology.dataCentres;
    for (const auto& reference : references) {
        const auto* dataCentre = std::get_if<DataCentreId>(&reference.name);
        const auto* region = std::get_if<RegionId>(&reference.name);
        const bool isKnown = std::any_of(known.begin(), known.end(),
            [&](const auto& it) { return dataCentre ? it.id == *dataCentre : it.region == *region; });
        if (isKnown)
            continue;
        const auto& name = dataCentre ? dataCentre->value() : region->value();
        problems.push_back({ reference.file, reference.line, reference.column, reference.pointer,
            std::string(dataCentre ? "a data centre" : "a region") + " of the topology", "\"" + name + "\"" });
    }
    return problems;
}

} // namespace dogwoodhall
