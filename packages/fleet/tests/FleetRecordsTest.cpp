#include "TableRows.h"

#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

using namespace dogwoodhall;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr std::uint64_t newest = 40;
constexpr std::size_t recordsPerMessage = 8;

Member member(const std::string& id, std::uint16_t port)
{
    Member member;
    member.id = MemberId(id);
    member.dataCentre = DataCentreId("dc");
    member.peerAddress = { IpAddress::v4(10, 0, 0, 1), port };
    member.incarnation = Incarnation(1);
    return member;
}

// A member that holds one record per revision and carries out the fleet's actions towards one peer immediately.
class Node {
public:
    Node(const std::string& id, std::uint16_t port)
        : fleet(std::make_unique<Fleet>(member(id, port), hooks()))
    {
    }

    void exchangeWith(Node& peer, const std::vector<FleetAction>& actions)
    {
        std::deque<FleetAction> pending(actions.begin(), actions.end());
        while (!pending.empty()) {
            const auto action = pending.front();
            pending.pop_front();
            if (!std::holds_alternative<Exchange>(action))
                continue;
            for (auto& next : exchangeOnce(peer))
                pending.push_back(std::move(next));
        }
    }

    std::vector<FleetAction> exchangeOnce(Node& peer)
    {
        ++exchanges;
        auto handled = peer.fleet->handle(fleet->messageFor(peer.fleet->self().id, start), start);
        peer.take(handled.actions);
        peer.fleet->updateDigest(*handled.reply);
        auto refutedVersion = fleet->handle(*handled.reply, start);
        take(refutedVersion.actions);
        return refutedVersion.actions;
    }

    std::set<std::uint64_t> revisions;
    std::unique_ptr<Fleet> fleet;
    std::size_t exchanges = 0;

private:
    Fleet::Hooks hooks()
    {
        return {
            [this] {
                return ConfigurationDigest { Revision(revisions.empty() ? 0 : *revisions.rbegin()), revisions.size() };
            },
            [this](Revision since, ByteCount) {
                std::vector<Record> records;
                for (auto it = revisions.upper_bound(since.value());
                     it != revisions.end() && records.size() < recordsPerMessage; ++it)
                    records.push_back({ RecordKey(std::to_string(*it)), Revision(*it), false, "value" });
                return records;
            },
            [](ByteCount) { return std::vector<Record> {}; },
            [](std::size_t) { return std::vector<PoolLoadSummary> {}; }
        };
    }

    void take(const std::vector<FleetAction>& actions)
    {
        for (const auto& action : actions) {
            const auto* offer = std::get_if<OfferRecords>(&action);
            for (std::size_t n = 0; offer && n < offer->records.size(); ++n)
                revisions.insert(offer->records[n].revision.value());
        }
    }
};

std::set<std::uint64_t> upTo(std::uint64_t last)
{
    std::set<std::uint64_t> revisions;
    for (std::uint64_t n = 1; n <= last; ++n)
        revisions.insert(n);
    return revisions;
}

} // namespace

struct PushRow {
    const char* name;
    std::uint64_t held; // The peer holds the revisions up to this one.
    std::uint64_t before; // The revisions above this one are new.
    std::size_t exchanges;
};

const PushRow pushRows[] = {
    { "new records for one message", 36, 36, 1 },
    { "new records for five messages", 0, 0, 5 },
    { "earlier records did not arrive", 28, 36, 3 },
    { "the peer has just started", 0, 36, 6 },
    { "the peer has the records from another member", 40, 36, 1 },
};

// Guards against records that a member never receives because later ones make it look up to date. With 60 endpoint
// changes at once, members of a data centre would hold only the later half and use an old routing document for 3 s too
// long.
ParameterizedTestParameters(FleetRecords, arriveWithoutWaiting) { return rowIndices(pushRows); }

ParameterizedTest(std::size_t* index, FleetRecords, arriveWithoutWaiting)
{
    const auto& row = pushRows[*index];
    Node reader("reader", 1);
    Node peer("peer", 2);
    reader.revisions = upTo(newest);
    peer.revisions = upTo(row.held);
    GossipMessage greeting;
    greeting.sender = peer.fleet->self();
    greeting.configuration = { Revision(newest), 0 };
    reader.fleet->handle(greeting, start);
    reader.exchangeWith(peer, reader.fleet->pushRecords(Revision(row.before), start));
    cr_expect(
        peer.revisions == upTo(newest), "%s: %zu of %zu records", row.name, peer.revisions.size(), std::size_t(newest));
    cr_expect_leq(reader.exchanges, row.exchanges, "%s: %zu exchanges", row.name, reader.exchanges);
}

// Guards against records that are dropped when the budget does not allow the message that carries them.
Test(FleetRecords, remainDueIfNotSent)
{
    Node reader("reader", 1);
    Node peer("peer", 2);
    reader.revisions = upTo(newest);
    const auto id = peer.fleet->self().id;
    GossipMessage greeting;
    greeting.sender = peer.fleet->self();
    reader.fleet->handle(greeting, start);
    reader.fleet->pushRecords(Revision(newest - 1), start);
    const auto unsent = reader.fleet->messageFor(id, start);
    cr_assert_eq(unsent.records.size(), 1);
    reader.fleet->exchangeNotSent(id);
    const auto repeated = reader.fleet->messageFor(id, start);
    cr_expect(repeated.records == unsent.records, "%zu records", repeated.records.size());
}

struct UnfinishedRow {
    std::chrono::seconds since; // The start of an exchange whose end was not reported.
    bool startsAnother;
};

const UnfinishedRow unfinishedRows[] = { { std::chrono::seconds(1), false }, { std::chrono::seconds(16), true } };

// Guards against a peer that gets no records any more after an exchange with it ended in an exception.
ParameterizedTestParameters(FleetRecords, followAnUnfinishedExchange) { return rowIndices(unfinishedRows); }

ParameterizedTest(std::size_t* index, FleetRecords, followAnUnfinishedExchange)
{
    const auto& row = unfinishedRows[*index];
    Node reader("reader", 1);
    Node peer("peer", 2);
    reader.revisions = upTo(newest);
    GossipMessage greeting;
    greeting.sender = peer.fleet->self();
    reader.fleet->handle(greeting, start);
    const auto count = [](const std::vector<FleetAction>& actions) {
        return std::count_if(actions.begin(), actions.end(),
            [](const FleetAction& action) { return std::holds_alternative<Exchange>(action); });
    };
    cr_assert_eq(count(reader.fleet->pushRecords(Revision(newest - 1), start)), 1);
    const auto later = reader.fleet->pushRecords(Revision(newest - 1), start + row.since);
    cr_expect_eq(count(later), row.startsAnother ? 1 : 0, "after %lld s", static_cast<long long>(row.since.count()));
}

// Guards against a requester that gets only the first part of the records it lacks and has to wait for the next period.
Test(FleetRecords, areRequestedUntilComplete)
{
    Node late("late", 1);
    Node peer("peer", 2);
    peer.revisions = upTo(newest);
    GossipMessage greeting;
    greeting.sender = peer.fleet->self();
    late.fleet->handle(greeting, start);
    RandomEngine random(1);
    late.exchangeWith(peer, late.fleet->tick({ start, random }));
    cr_expect(late.revisions == upTo(newest), "%zu of %zu records", late.revisions.size(), std::size_t(newest));
}

struct RepairRow {
    const char* name;
    Revision held; // Highest revision of the requester; that of the replying member is 40 of era 2.
    std::chrono::seconds since; // The requester's start.
    std::size_t sent; // Of the records at 50 of era 1 and at 39 of era 2 that repair it.
    bool hasEraBegun = false; // The replying member has just seen the first record of era 2.
    bool hasNewer = false; // The reply also carries the record at 40 of era 2.
};

const RepairRow repairRows[] = {
    { "as high", Revision(40, Era(2)), std::chrono::seconds(0), 2 },
    { "as high, started a minute ago", Revision(40, Era(2)), std::chrono::seconds(61), 2 },
    { "higher, has just started", Revision(45, Era(2)), std::chrono::seconds(0), 1 },
    { "higher, started a minute ago", Revision(45, Era(2)), std::chrono::seconds(61), 0 },
    { "higher, started a minute ago, the era has begun", Revision(45, Era(2)), std::chrono::seconds(61), 1, true },
    { "lower, has just started", Revision(38, Era(2)), std::chrono::seconds(0), 1 },
    { "lower, has just started, newer records follow", Revision(38, Era(2)), std::chrono::seconds(5), 2, false, true },
    { "lower, started a minute ago, newer records follow", Revision(38, Era(2)), std::chrono::seconds(61), 1, false,
        true },
    { "of the earlier era", Revision(60, Era(1)), std::chrono::seconds(0), 0 },
    { "has nothing", Revision(), std::chrono::seconds(0), 0 },
};

// Guards against a member that has started since the store came back from an older copy and keeps what the copy shows,
// because revisions rise all the time, so that it never has the same highest revision as the peer that knows better.
ParameterizedTestParameters(FleetRecords, repairMembersThatHaveJustStarted) { return rowIndices(repairRows); }

ParameterizedTest(std::size_t* index, FleetRecords, repairMembersThatHaveJustStarted)
{
    const auto& row = repairRows[*index];
    Era era(row.hasEraBegun ? 1 : 2);
    Fleet::Hooks hooks { [&era] {
                            return ConfigurationDigest { Revision(newest, era), 1 };
                        },
        [&row](Revision, ByteCount) {
            const Record newer { RecordKey("c"), Revision(newest, Era(2)), false, "x" };
            return row.hasNewer ? std::vector<Record> { newer } : std::vector<Record> {};
        },
        [](ByteCount) {
            return std::vector<Record> { { RecordKey("a"), Revision(50, Era(1)), false, "x" },
                { RecordKey("b"), Revision(39, Era(2)), false, "x" } };
        },
        [](std::size_t) { return std::vector<PoolLoadSummary> {}; } };
    Fleet fleet(member("reader", 1), std::move(hooks));
    GossipMessage request;
    request.sender = member("started", 2);
    request.configuration = { row.held, 2 };
    fleet.handle(request, start);
    era = Era(2);
    const auto handled = fleet.handle(request, start + row.since);
    cr_assert(handled.reply.has_value());
    const auto& records = handled.reply->records;
    cr_expect_eq(records.size(), row.sent, "%s: %zu", row.name, records.size());
    if (row.hasNewer)
        cr_expect_eq(records.back().revision, Revision(newest, Era(2)), "%s", row.name);
}

struct SequenceRow {
    const char* name;
    std::optional<Revision> after; // Empty: the records are no sequence.
    std::optional<Revision> senderHighest;
};

const SequenceRow sequenceRows[] = {
    { "a part of a sequence", Revision(0), Revision(newest) },
    { "records that repair", std::nullopt, std::nullopt },
};

// Guards against a member that takes a part of the records for all, as the part does not say how far the sender was.
ParameterizedTestParameters(FleetRecords, tellHowFarTheSenderWas) { return rowIndices(sequenceRows); }

ParameterizedTest(std::size_t* index, FleetRecords, tellHowFarTheSenderWas)
{
    const auto& row = sequenceRows[*index];
    Node peer("peer", 1);
    GossipMessage message;
    message.sender = member("sender", 2);
    message.configuration = { Revision(newest), 0 };
    message.records = { { RecordKey("1"), Revision(1), false, "value" } };
    message.recordsAfter = row.after;
    const auto handled = peer.fleet->handle(message, start);
    const OfferRecords expected { message.sender.id, message.records, row.senderHighest };
    const auto isExpected = [&](const FleetAction& it) { return it == FleetAction(expected); };
    cr_expect(std::any_of(handled.actions.begin(), handled.actions.end(), isExpected), "%s", row.name);
}
