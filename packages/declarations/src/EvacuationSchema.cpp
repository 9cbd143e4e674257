#include "Schemas.h"
#include "TextRules.h"

namespace dogwoodhall {

namespace {

constexpr std::int64_t newestEvacuationVersion = 1;

} // namespace

EvacuationDeclaration readEvacuation(CheckContext& context, const JsonNode& node, const std::string& pointer)
{
    ObjectReader reader(context, node, pointer);
    EvacuationDeclaration evacuation;
    if (!readSchemaVersion(reader, newestEvacuationVersion))
        return evacuation;
    if (const auto id = reader.text("dataCentre", Presence::Required, idText())) {
        evacuation.dataCentre = DataCentreId(*id);
        context.addReference(evacuation.dataCentre, *reader.node("dataCentre"), reader.pointerTo("dataCentre"));
    }
    reader.finish();
    return evacuation;
}

} // namespace dogwoodhall
