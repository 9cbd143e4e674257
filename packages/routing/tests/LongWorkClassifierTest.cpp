#include "dogwoodhall/routing/LongWorkClassifier.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct ClassifierRow {
    const char* guardsAgainst;
    std::optional<WorkClass> declared;
    // The requests below are recorded after 200 requests to /previews of 10 ms and 1 KB each.
    const char* path;
    unsigned count;
    unsigned milliseconds;
    unsigned bytes;
    const char* classifiedPath;
    WorkClass expected;
};

const ClassifierRow rows[] = {
    { "classifying unknown work as long", {}, "/packs/1", 0, 0, 0, "/packs/1", WorkClass::Short },
    { "measurements that override a declaration of long", WorkClass::Long, "/x", 20, 10, 1000, "/x", WorkClass::Long },
    { "measurements that override a declaration of short", WorkClass::Short, "/x", 20, 999, 1000, "/x",
        WorkClass::Short },
    { "long work that is never detected", {}, "/packs/full/1", 3, 400, 1000, "/packs/full/2", WorkClass::Long },
    { "classifying work as long after too few samples", {}, "/packs/full/1", 2, 400, 1000, "/packs/full/2",
        WorkClass::Short },
    { "classifying work with large responses as short", {}, "/packs/full/1", 3, 10, 5'000'000, "/packs/full/1",
        WorkClass::Long },
    { "classifying work as long by normal variation", {}, "/search/a/b", 50, 60, 1000, "/search/a/c",
        WorkClass::Short },
    { "classifying one kind of work by another", {}, "/packs/full/1", 9, 400, 1000, "/packs/list/1", WorkClass::Short },
    { "classifying short work by long work of the same service", {}, "/packs/full/1", 9, 400, 1000, "/previews/1",
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
    const auto workClass = classifier.classify(row.declared, service, rule, row.classifiedPath);
    cr_assert(workClass == row.expected, "guards against %s", row.guardsAgainst);
}

struct MemoryRow {
    std::size_t maxKeys;
    unsigned paths;
    std::size_t keys;
    WorkClass firstPath; // Class of the first path, which was long work and is not requested again.
};

const MemoryRow memoryRows[] = {
    { 10, 5, 6, WorkClass::Long },
    { 10, 1000, 10, WorkClass::Short },
};

// Guards against memory use that grows with the number of paths.
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
