#include "dogwoodhall/routing/RouteTable.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

RouteTable makeTable()
{
    ServiceDeclaration catalogue { ServiceId("catalogue"), {}, "/", {}, {}, {} };
    RuleDeclaration previews { RuleId("previews"), { "GET" }, "/previews", {}, WorkClass::Short, Priority::Low,
        std::chrono::seconds(2) };
    catalogue.rules = { previews };
    ServiceDeclaration claims { ServiceId("claims"), { "claims.example" }, "/claims", {}, {}, {} };
    RuleDeclaration lookups { RuleId("lookups"), { "POST" }, "/claims/lookups", true, {}, Priority::Normal,
        std::chrono::seconds(1) };
    claims.rules = { lookups };
    ServiceDeclaration archive { ServiceId("archive"), {}, "/previews/old/", {}, {}, {} };
    ServiceDeclaration again { ServiceId("claims-2"), { "claims.example", "B.example" }, "/claims", {}, {}, {} };
    ServiceDeclaration longer { ServiceId("longer"), {}, "/claims/long", {}, {}, {} };
    return RouteTable({ catalogue, claims, archive, again, longer });
}

} // namespace

struct RouteRow {
    const char* host;
    const char* path;
    const char* method;
    const char* service; // Empty if there is no route.
    const char* rule;
    bool isIdempotent;
};

const RouteRow rows[] = {
    { "any", "/previews/7", "GET", "catalogue", "previews", true },
    { "any", "/previews", "POST", "catalogue", "", false },
    { "any", "/previewsX", "GET", "catalogue", "", true },
    { "any", "/claims/1", "POST", "catalogue", "", false },
    { "claims.example", "/claims/1", "POST", "claims", "", false },
    { "claims.example", "/claims/lookups", "POST", "claims", "lookups", true },
    { "claims.example", "/claims/1", "PUT", "claims", "", false },
    { "claims.example", "/claims/1", "DELETE", "claims", "", false },
    { "claims.example", "/claims", "HEAD", "claims", "", true },
    { "claims.example", "*", "OPTIONS", "", "", false },
    { "any", "/previews/old/", "GET", "archive", "", true },
    { "any", "/previews/old/1/2", "GET", "archive", "", true },
    { "any", "/previews/old", "GET", "catalogue", "previews", true },
    { "b.example", "/claims", "GET", "claims-2", "", true },
    { "b.example", "/claims/long/1", "GET", "longer", "", true },
    { "claims.example", "/claims/longest", "GET", "claims", "", true },
    { "Claims.EXAMPLE", "/claims/1", "POST", "claims", "", false },
    { "any", "", "GET", "", "", true },
};

// Guards against requests that are routed to the wrong service or wrongly treated as idempotent.
ParameterizedTestParameters(RouteTable, findsServiceAndRule) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, RouteTable, findsServiceAndRule)
{
    const RouteRow& row = rows[*index];
    auto route = makeTable().find({ row.host, row.path, row.method });
    if (!*row.service) {
        cr_assert_not(route);
        return;
    }
    cr_assert(route);
    cr_assert_str_eq(route->service.value().c_str(), row.service);
    cr_assert_str_eq(route->rule.value().c_str(), row.rule);
    cr_assert_eq(route->isIdempotent, row.isIdempotent);
}
