#include "dogwoodhall/configuration/RecordTransfer.h"

#include "TableRows.h"

#include "dogwoodhall/configuration/ConfigurationInForce.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

// "r" and a version is a routing document; others are endpoints.
tl::expected<Declaration, std::string> parseValue(const Record& record)
{
    if (record.value.starts_with('r')) {
        RoutingDeclaration routing;
        routing.version = std::stoul(record.value.substr(1));
        return routing;
    }
    EndpointRegistration endpoint;
    endpoint.id = EndpointId(record.value);
    return endpoint;
}

Record recordOf(std::uint64_t revision, const std::string& key, const std::string& value)
{
    return { RecordKey(key), Revision(revision), false, value };
}

} // namespace

struct TransferRow {
    const char* name;
    std::size_t parts; // Of two records each.
    bool mayBeConfirmed; // By a peer that lacks what the sender has read since.
    std::uint64_t version; // In force then.
};

const TransferRow transferRows[] = {
    { "nothing sent", 0, false, 1 },
    { "the first part, without the routing document", 1, false, 1 },
    { "two of three parts", 2, false, 1 },
    { "all parts", 3, true, 3 },
};

// Guards against a 404 by an old routing document on a member that was cut off and has received a part of what it
// lacks: the document's newest change comes last, and its highest revision is already above that of a peer that holds
// the document before.
ParameterizedTestParameters(RecordTransfer, isConfirmedOnlyAsAWhole) { return rowIndices(transferRows); }

ParameterizedTest(std::size_t* index, RecordTransfer, isConfirmedOnlyAsAWhole)
{
    const auto& row = transferRows[*index];
    ConfigurationInForce cutOff(parseValue);
    ConfigurationInForce sender(parseValue);
    ConfigurationInForce peer(parseValue);
    for (auto* it : { &cutOff, &sender, &peer })
        it->offer(recordOf(5, "config", "r1"));
    for (auto* it : { &sender, &peer })
        it->offer(recordOf(20, "config", "r2"));
    for (std::uint64_t revision = 21; revision <= 25; ++revision)
        sender.offer(recordOf(revision, "e" + std::to_string(revision), "endpoint"));
    peer.offer(recordOf(21, "e21", "endpoint"));
    sender.offer(recordOf(50, "config", "r3"));
    RecordTransfer transfer;
    for (std::size_t n = 0; n < row.parts; ++n) {
        auto part = sender.recordsSince(cutOff.highestRevision());
        part.resize(2);
        for (const auto& record : part)
            cutOff.offer(record);
        transfer.received(part.back().revision, sender.highestRevision());
    }
    const Revision held = cutOff.highestRevision();
    cr_expect_eq(cutOff.routing()->version, row.version, "%s", row.name);
    cr_expect_eq(held >= peer.highestRevision() && transfer.isComplete(held), row.mayBeConfirmed, "%s", row.name);
}
