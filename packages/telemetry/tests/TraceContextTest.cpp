#include "dogwoodhall/telemetry/TraceContext.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct TraceParentRow {
    const char* text;
    bool isValid;
    bool isSampled;
};

const TraceParentRow rows[] = {
    { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true, true },
    { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", true, false },
    { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-03", true, true },
    { "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false, false },
    { "00-00000000000000000000000000000000-b7ad6b7169203331-01", false, false },
    { "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false, false },
    { "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false, false },
    { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0g", false, false },
    { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", false, false },
    { "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01", false, false },
    { "", false, false },
};

// Guards against a malformed traceparent that corrupts the trace or is forwarded.
ParameterizedTestParameters(TraceContext, parsesTraceParent) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, TraceContext, parsesTraceParent)
{
    const auto& row = rows[*index];
    auto context = parseTraceParent(row.text);
    cr_assert_eq(context.has_value(), row.isValid, "%s", row.text);
    if (context)
        cr_assert_eq(context->isSampled, row.isSampled, "%s", row.text);
}

// Guards against generated ids that other systems reject.
Test(TraceContext, generatedContextsParse)
{
    RandomEngine random(1);
    for (int n = 0; n < 1000; ++n)
        cr_assert(parseTraceParent(toTraceParent(newTrace(Fraction(0.5), random))));
}
