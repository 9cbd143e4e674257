#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/configuration/StoreRestoration.h"

#include "TableRows.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <sstream>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

// "r" and a version is a routing document, "?" cannot be read, "-" is an endpoint that states no edition; others are
// the run of an endpoint and the number of its entry. What follows a space is its address, which tells entries apart.
tl::expected<Declaration, std::string> parseValue(const Record& record)
{
    if (record.value.starts_with('?'))
        return tl::unexpected(std::string("unknown kind"));
    std::istringstream text(record.value.substr(1));
    std::uint64_t number = 0;
    text >> number;
    if (record.value.starts_with('r')) {
        RoutingDeclaration routing;
        routing.version = number;
        return routing;
    }
    EndpointRegistration endpoint;
    endpoint.id = EndpointId(record.value);
    if (!record.value.starts_with('-')) {
        endpoint.incarnation = Incarnation(static_cast<std::uint64_t>(record.value.front() - '0'));
        endpoint.sequence = number;
    }
    return endpoint;
}

struct Offer {
    std::uint64_t era = 0; // 0: end of the list.
    std::uint64_t revision = 0;
    const char* value = nullptr; // Null: a deletion.
    std::uint64_t deletedNumber = 0; // In run 1; 0: unknown.
};

Record recordOf(const Offer& offer)
{
    Record record { RecordKey("k"), Revision(offer.revision, Era(offer.era)), !offer.value,
        offer.value ? offer.value : "" };
    if (offer.deletedNumber > 0)
        record.deletedEdition = Edition { Incarnation(1), offer.deletedNumber };
    return record;
}

std::string inForce(const ConfigurationInForce& configuration)
{
    if (const auto routing = configuration.routing())
        return "r" + std::to_string(routing->version);
    const auto registration = configuration.registration(RecordKey("k"));
    return registration ? registration->id.value() : "none";
}

} // namespace

struct EraRow {
    const char* name;
    Offer offers[4];
    const char* inForce;
};

const EraRow eraRows[] = {
    { "the copy shows an older version", { { 1, 110, "r9" }, { 2, 50, "r7" } }, "r9" },
    { "a newer version at a lower revision", { { 1, 110, "r9" }, { 2, 50, "r7" }, { 2, 105, "r11" } }, "r11" },
    { "the same revision given out again", { { 1, 110, "r9" }, { 2, 110, "r11" } }, "r11" },
    { "two restorations in a row", { { 1, 110, "r9" }, { 2, 50, "r7" }, { 3, 40, "r5" } }, "r9" },
    { "an endpoint that drains, ready in the copy", { { 1, 110, "12 draining" }, { 2, 50, "11 ready" } },
        "12 draining" },
    { "an endpoint that writes again", { { 1, 110, "12 draining" }, { 2, 50, "11 ready" }, { 2, 106, "13 ready" } },
        "13 ready" },
    { "a later run of an endpoint", { { 1, 110, "19 ready" }, { 2, 104, "21 ready" } }, "21 ready" },
    { "an endpoint that left, in the copy", { { 1, 110, nullptr, 1 }, { 2, 50, "11 ready" } }, "none" },
    { "an endpoint that left and starts again", { { 1, 110, nullptr, 1 }, { 2, 50, "11 ready" }, { 2, 106, "21 x" } },
        "21 x" },
    { "deleted in the later era", { { 1, 110, "12 ready" }, { 2, 104, nullptr } }, "none" },
    { "deleted in the later era, written in the lost time", { { 1, 110, "12 ready" }, { 2, 104, nullptr, 1 } },
        "none" },
    { "no edition", { { 1, 110, "-old" }, { 2, 50, "-new" } }, "-new" },
    { "an era alone", { { 1, 50, "11 a" }, { 1, 60, "12 b" }, { 1, 55, "13 c" } }, "12 b" },
};

// Guards against members that disagree, or go back to an older state, after the store has come back from an older copy
// and gives out its revisions again. Tries every order.
ParameterizedTestParameters(StoreEra, decidesBetweenEras) { return rowIndices(eraRows); }

ParameterizedTest(std::size_t* index, StoreEra, decidesBetweenEras)
{
    const auto& row = eraRows[*index];
    std::vector<std::size_t> order;
    while (order.size() < std::size(row.offers) && row.offers[order.size()].era > 0)
        order.push_back(order.size());
    std::optional<ConfigurationDigest> digest;
    do {
        ConfigurationInForce configuration(parseValue);
        for (const auto n : order)
            configuration.offer(recordOf(row.offers[n]));
        cr_expect_eq(inForce(configuration), row.inForce, "%s: %s", row.name, inForce(configuration).c_str());
        cr_expect(!digest || digest->highest == configuration.digest().highest, "%s", row.name);
        digest = configuration.digest();
    } while (std::next_permutation(order.begin(), order.end()));
}

struct NewestRow {
    const char* name;
    Offer offers[4]; // Offered in this order.
    bool isNewest;
};

const NewestRow newestRows[] = {
    { "no record", {}, true },
    { "one version", { { 1, 50, "r7" } }, true },
    { "a later one that cannot be read", { { 1, 50, "r7" }, { 1, 60, "?" } }, false },
    { "an earlier one that cannot be read", { { 1, 60, "r7" }, { 1, 50, "?" } }, true },
    { "readable again", { { 1, 50, "r7" }, { 1, 60, "?" }, { 1, 70, "r9" } }, true },
    { "twice unreadable", { { 1, 50, "r7" }, { 1, 60, "?" }, { 1, 70, "?" } }, false },
    { "a lower version", { { 1, 50, "r7" }, { 1, 60, "r6" } }, true },
    { "a lower version after an unreadable one", { { 1, 50, "r7" }, { 1, 60, "?" }, { 1, 70, "r6" } }, true },
    { "the copy shows an older version", { { 1, 110, "r9" }, { 2, 50, "r7" } }, true },
    { "unreadable in the copy", { { 1, 110, "r9" }, { 2, 50, "?" } }, false },
    { "an endpoint's entry", { { 1, 50, "11 ready" }, { 1, 60, "?" } }, true },
};

// Guards against a 404 for a route that only a routing document names which this build cannot read.
ParameterizedTestParameters(ConfigurationInForce, tellsWhetherItsRoutesAreTheNewest) { return rowIndices(newestRows); }

ParameterizedTest(std::size_t* index, ConfigurationInForce, tellsWhetherItsRoutesAreTheNewest)
{
    const auto& row = newestRows[*index];
    ConfigurationInForce configuration(parseValue);
    for (const auto& offer : row.offers) {
        if (offer.era > 0)
            configuration.offer(recordOf(offer));
    }
    cr_expect_eq(configuration.isRoutingNewest(), row.isNewest, "%s", row.name);
}

struct JoinRow {
    const char* name;
    Offer known[2]; // To a member from before the restoration.
    Offer copy; // What both read in the new era.
    const char* inForce; // At both, after the repair.
};

const JoinRow joinRows[] = {
    { "an older version", { { 1, 50, "r7" }, { 1, 110, "r9" } }, { 2, 50, "r7" }, "r9" },
    { "an endpoint that drains", { { 1, 50, "11 ready" }, { 1, 110, "12 draining" } }, { 2, 50, "11 ready" },
        "12 draining" },
    { "an endpoint that left", { { 1, 50, "11 ready" }, { 1, 110, nullptr } }, { 2, 50, "11 ready" }, "none" },
    { "nothing lost", { { 1, 50, "11 ready" } }, { 2, 50, "11 ready" }, "11 ready" },
};

// Guards against a member that has started since the restoration and keeps what the copy shows, although its peers know
// better and both have the same highest revision.
ParameterizedTestParameters(StoreEra, repairsMembersThatHaveReadOnlyTheCopy) { return rowIndices(joinRows); }

ParameterizedTest(std::size_t* index, StoreEra, repairsMembersThatHaveReadOnlyTheCopy)
{
    const auto& row = joinRows[*index];
    const Record other { RecordKey("other"), Revision(60, Era(2)), false, "-other" };
    ConfigurationInForce present(parseValue);
    ConfigurationInForce joined(parseValue);
    for (const auto& offer : row.known) {
        if (offer.era > 0)
            present.offer(recordOf(offer));
    }
    for (auto* it : { &present, &joined }) {
        it->offer(recordOf(row.copy));
        it->offer(other);
    }
    cr_assert_eq(present.highestRevision(), joined.highestRevision(), "%s", row.name);
    for (const auto& record : present.inForceOfRejectedKeys(RecordKey(), ByteCount(1000)))
        joined.offer(record);
    cr_expect_eq(inForce(present), row.inForce, "%s: %s", row.name, inForce(present).c_str());
    cr_expect_eq(inForce(joined), row.inForce, "%s: %s", row.name, inForce(joined).c_str());
}

struct RestorationRow {
    const char* name;
    std::uint64_t eras[3]; // Observed at 0, 1 and 2 s.
    std::optional<Duration> settlesAt;
};

const RestorationRow restorationRows[] = {
    { "no eras", { 0, 0, 0 }, std::nullopt },
    { "one era", { 4, 4, 4 }, std::nullopt },
    { "a new era", { 1, 2, 2 }, 3s },
    { "named again by a stale peer", { 2, 1, 2 }, std::nullopt },
    { "two in a row", { 1, 2, 3 }, 4s },
};

// Guards against the loss of endpoints that the copy lacks and that have not had the time to write again.
ParameterizedTestParameters(StoreRestoration, givesWritersTheTimeToWriteAgain) { return rowIndices(restorationRows); }

ParameterizedTest(std::size_t* index, StoreRestoration, givesWritersTheTimeToWriteAgain)
{
    constexpr TimePoint start { 100s };
    const auto& row = restorationRows[*index];
    StoreRestoration restoration(2s);
    TimePoint now = start;
    for (const auto era : row.eras) {
        restoration.observe(Era(era), now);
        now = now + 1s;
    }
    cr_expect_eq(restoration.firstEra().value(), row.eras[0], "%s", row.name);
    cr_assert_eq(restoration.settlesAt().has_value(), row.settlesAt.has_value(), "%s", row.name);
    if (!row.settlesAt)
        return;
    const TimePoint settlesAt = start + *row.settlesAt;
    cr_expect(*restoration.settlesAt() == settlesAt, "%s", row.name);
    cr_expect_not(restoration.provesDeletions(settlesAt - 1ms), "%s", row.name);
    cr_expect(restoration.provesDeletions(settlesAt), "%s", row.name);
}
