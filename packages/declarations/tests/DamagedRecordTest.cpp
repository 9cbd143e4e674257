#include "dogwoodhall/declarations/RecordParser.h"

#include "TableRows.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace dogwoodhall;

namespace {

// A valid record with escapes, comments, every kind of value and non-ASCII text.
const std::string validRecord = R"(/* ü */ {"schemaVersion": 2, // "x": {
 "service": "\u0061", "hostNames": ["a.example", "b"], "dataCentres": [{"id": "c", "endpoints":
 [{"id": "e", "host": "h", "address": "[::1]:80", "slots": 3.0, "maxConnections": 1e2}]}],
 "limits": {"retrySharePercent": -0.0}, "rules": [{"id": "r", "idempotent": true, "methods": []}]})";

tl::expected<Declaration, Problems> check(const std::string& text)
{
    return checkRecord({ RecordKey("services/a"), Revision(1), false, text });
}

void assertPositionsExist(const std::string& text, const Problems& problems)
{
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    for (const auto& problem : problems) {
        cr_assert(problem.line >= 1 && problem.line <= lines);
        cr_assert(problem.column >= 1 && problem.column <= text.size() + 1);
    }
}

} // namespace

struct DamageRow {
    const char* name;
    std::string (*damage)(std::string, std::size_t at);
    bool isAlwaysRejected;
};

const DamageRow rows[] = {
    { "cut off", [](std::string text, std::size_t at) { return text.substr(0, at); }, true },
    { "control byte", [](std::string text, std::size_t at) { return text.replace(at, 1, "\x01"); }, false },
    { "quote", [](std::string text, std::size_t at) { return text.replace(at, 1, "\""); }, false },
    { "backslash", [](std::string text, std::size_t at) { return text.replace(at, 1, "\\"); }, false },
    { "slash", [](std::string text, std::size_t at) { return text.replace(at, 1, "/"); }, false },
    { "brace", [](std::string text, std::size_t at) { return text.replace(at, 1, "}"); }, false },
    { "bracket", [](std::string text, std::size_t at) { return text.replace(at, 1, "["); }, false },
    { "digit", [](std::string text, std::size_t at) { return text.replace(at, 1, "9"); }, false },
    { "byte lost", [](std::string text, std::size_t at) { return text.erase(at, 1); }, false },
    { "byte twice", [](std::string text, std::size_t at) { return text.insert(at, 1, text[at]); }, false },
};

// A corrupt record must not crash the parser or be accepted after being parsed in part, and the reported positions must
// lie within the text.
ParameterizedTestParameters(DamagedRecord, isRejectedWithPositionsInTheText) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, DamagedRecord, isRejectedWithPositionsInTheText)
{
    const DamageRow& row = rows[*index];
    cr_assert(check(validRecord));
    for (std::size_t at = 0; at < validRecord.size(); ++at) {
        const auto text = row.damage(validRecord, at);
        const auto declaration = check(text);
        if (declaration) {
            cr_assert_not(row.isAlwaysRejected, "%s at %zu is accepted", row.name, at);
            continue;
        }
        assertPositionsExist(text, declaration.error());
    }
}
