#include "dogwoodhall/declarations/SettingsParser.h"

#include "Schemas.h"

namespace dogwoodhall {

tl::expected<Settings, Problems> parseSettings(std::string_view text, const std::string& file)
{
    const auto node = readJson(text, maxSettingsBytes, file);
    if (!node)
        return tl::unexpected(Problems { node.error() });
    CheckContext context(text, file);
    auto settings = readSettings(context, *node);
    if (!context.problems().empty())
        return tl::unexpected(context.takeProblems());
    return settings;
}

} // namespace dogwoodhall
