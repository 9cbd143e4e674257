#include "dogwoodhall/configuration/Edition.h"

#include "dogwoodhall/configuration/Record.h"

namespace dogwoodhall {

std::optional<Edition> editionOf(const Declaration& declaration)
{
    if (const auto* routing = std::get_if<RoutingDeclaration>(&declaration))
        return Edition { {}, routing->version };
    if (const auto* endpoint = std::get_if<EndpointRegistration>(&declaration); endpoint && endpoint->sequence)
        return Edition { endpoint->incarnation, *endpoint->sequence };
    return std::nullopt;
}

} // namespace dogwoodhall
