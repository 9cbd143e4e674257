#include "dogwoodhall/declarations/RecordParser.h"

#include "Schemas.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::size_t maxLoggedProblems = 20;

} // namespace

tl::expected<Declaration, Problems> checkRecord(const Record& record)
{
    const auto node = readJson(record.value, maxRecordBytes, record.key.value());
    if (!node)
        return tl::unexpected(Problems { node.error() });
    CheckContext context(record.value, record.key.value());
    auto declaration = readRecord(context, record.key, *node, "");
    if (!context.problems().empty())
        return tl::unexpected(context.takeProblems());
    return declaration;
}

tl::expected<Declaration, std::string> parseRecord(const Record& record)
{
    auto declaration = checkRecord(record);
    if (declaration)
        return std::move(*declaration);
    auto& problems = declaration.error();
    const std::size_t total = problems.size();
    problems.resize(std::min(total, maxLoggedProblems));
    std::string text = toString(problems);
    for (auto at = text.find('\n'); at != std::string::npos; at = text.find('\n', at))
        text.replace(at, 1, "; ");
    if (total > maxLoggedProblems)
        text += "; and " + std::to_string(total - maxLoggedProblems) + " more problems";
    return tl::unexpected(std::move(text));
}

} // namespace dogwoodhall
