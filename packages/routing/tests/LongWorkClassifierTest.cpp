#include "dogwoodhall/routing/LongWorkClassifier.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct ClassifierRow {
    const char* guardsAgainst;
    std::optional<WorkClass> declared;
    // Recorded after 200 requests to /previews of 10 ms and 1 KB each.
    const char* path;
    unsigned count;
    unsigned milliseconds;
    unsigned bytes;
    const char* asked;
    WorkClass expected;
};

const ClassifierRow rows[] = {
    { "unknown work taken for long", {}, "/packs/1", 0, 0, 0, "/packs/1", WorkClass::Short },
    { "measurement overruling a declaration of long", WorkClass::Long, "/x", 20, 10, 1000, "/x", WorkClass::Long },
    { "measurement overruling a declaration of short", WorkClass::Short, "/x", 20, 999, 1000, "/x", WorkClass::Short },
    { "long work that is never recognised", {}, "/packs/full/1", 3, 400, 1000, "/packs/full/2", WorkClass::Long },
    { "one slow request making its kind long", {}, "/packs/full/1", 2, 400, 1000, "/packs/full/2", WorkClass::Short },
    { "large answers taken for short", {}, "/packs/full/1", 3, 10, 5'000'000, "/packs/full/1", WorkClass::Long },
    { "ordinary spread taken for long work", {}, "/search/a/b", 50, 60, 1000, "/search/a/c", WorkClass::Short },
    { "one kind of work judged by another", {}, "/packs/full/1", 9, 400, 1000, "/packs/list/1", WorkClass::Short },
    { "short work judged by long work of the same service", {}, "/packs/full/1", 9, 400, 1000, "/previews/1",
        WorkClass::Short },
};

ParameterizedTestParameters(LongWorkClassifier, classifies) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, LongWorkClassifier, classifies)
{
    const ClassifierRow& row = rows[*index];
    const ServiceId service("s");
    const RuleId rule("r");
    LongWorkClassifier classifier;
    for (int n = 0; n < 200; ++n)
        classifier.record(service, rule, "/previews", std::chrono::milliseconds(10), ByteCount(1000));
    for (unsigned n = 0; n < row.count; ++n)
        classifier.record(service, rule, row.path, std::chrono::milliseconds(row.milliseconds), ByteCount(row.bytes));
    const auto got = classifier.classify(row.declared, service, rule, row.asked);
    cr_assert(got == row.expected, "guards against %s", row.guardsAgainst);
}

struct MemoryRow {
    std::size_t maxKeys;
    unsigned paths;
    std::size_t keys;
    WorkClass firstPath; // Whether the first path, long work and never asked for again, is still known as long.
};

const MemoryRow memoryRows[] = {
    { 10, 5, 6, WorkClass::Long },
    { 10, 1000, 10, WorkClass::Short },
};

// Guards against memory that grows with the number of paths.
ParameterizedTestParameters(LongWorkClassifier, isBounded) { return rowIndices(memoryRows); }

ParameterizedTest(std::size_t* index, LongWorkClassifier, isBounded)
{
    const MemoryRow& row = memoryRows[*index];
    LongWorkLimits limits;
    limits.maxKeys = row.maxKeys;
    LongWorkClassifier classifier(limits);
    const ServiceId service("s");
    for (int n = 0; n < 3; ++n)
        classifier.record(service, RuleId("r"), "/long", std::chrono::seconds(1), ByteCount(9'000'000));
    for (unsigned n = 0; n < row.paths; ++n)
        classifier.record(service, RuleId("r"), "/" + std::to_string(n), std::chrono::milliseconds(1), ByteCount(1));
    cr_assert_eq(classifier.keys(), row.keys);
    cr_assert(classifier.classify({}, service, RuleId("r"), "/long") == row.firstPath);
}
