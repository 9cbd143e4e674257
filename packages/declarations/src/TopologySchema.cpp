#include "Schemas.h"
#include "TextRules.h"

namespace dogwoodhall {

namespace {

constexpr std::int64_t newestTopologyVersion = 2;
constexpr DecimalRange delayMsRange { 0, 10'000 };
constexpr IntegerRange linkBytesRange { 0, 100'000'000'000 };

void readLinks(ObjectReader& reader, TopologyDeclaration& topology)
{
    if (auto delay = reader.decimal("delayWithinRegionMs", Presence::Optional, delayMsRange))
        topology.delayWithinRegion = durationFromMilliseconds(*delay);
    if (auto delay = reader.decimal("delayBetweenRegionsMs", Presence::Optional, delayMsRange))
        topology.delayBetweenRegions = durationFromMilliseconds(*delay);
    if (auto bytes = reader.integer("linkBytesPerSecond", Presence::Optional, linkBytesRange))
        topology.linkBytesPerSecond = ByteCount(static_cast<std::uint64_t>(*bytes));
}

} // namespace

TopologyDeclaration readTopology(CheckContext& context, const JsonNode& node, const std::string& pointer)
{
    ObjectReader reader(context, node, pointer);
    TopologyDeclaration topology;
    const auto version = readSchemaVersion(reader, newestTopologyVersion);
    if (!version)
        return topology;
    UniqueValues ids(context, "data centre");
    reader.array("dataCentres", Presence::Required, [&](const JsonNode& child, const std::string& childPointer) {
        ObjectReader item(context, child, childPointer);
        const auto id = item.text("id", Presence::Required, idText());
        const auto region = item.text("region", Presence::Required, idText());
        ids.add(item.node("id"), item.pointerTo("id"));
        item.finish();
        topology.dataCentres.push_back({ DataCentreId(id.value_or("")), RegionId(region.value_or("")) });
    });
    if (*version >= 2)
        readLinks(reader, topology);
    else
        reader.declareFieldsOfVersion(
            "schemaVersion 2", { "delayWithinRegionMs", "delayBetweenRegionsMs", "linkBytesPerSecond" });
    reader.finish();
    return topology;
}

} // namespace dogwoodhall
