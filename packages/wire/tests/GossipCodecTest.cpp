// Included before parameterized.h, which does not define Test().
#include "dogwoodhall/wire/GossipCodec.h"

#include <criterion/criterion.h>

#include "Base64.h"
#include "TableRows.h"

#include <criterion/parameterized.h>
#include <random>

using namespace dogwoodhall;

namespace {

Member makeMember(const std::string& id, MemberState state)
{
    Member member;
    member.id = MemberId(id);
    member.dataCentre = DataCentreId("cairo-1");
    member.region = RegionId("cairo");
    member.peerAddress = { IpAddress::v4(10, 0, 0, 7), 7400 };
    member.incarnation = Incarnation(0xfedcba9876543210);
    member.version = 7;
    member.state = state;
    member.isReady = true;
    return member;
}

GossipMessage makeMinimal()
{
    GossipMessage message;
    message.sender = makeMember("a", MemberState::Alive);
    return message;
}

GossipMessage makeFull()
{
    GossipMessage message = makeMinimal();
    message.kind = GossipMessage::Kind::Reply;
    message.configuration = { Revision(1ULL << 60), ~0ULL };
    message.dataCentreRoster = 1;
    message.rosterAfter = MemberId("entry-9");
    message.fleetRoster = 2;
    for (MemberState state : { MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Gone })
        message.members.push_back(makeMember("m" + std::to_string(message.members.size()), state));
    message.members[1].region.reset();
    message.members[2].peerAddress = parseNetworkAddress("[::1]:1").value();
    message.members[1].canReadPlatform = false;
    message.members[2].linkCapacityPerSecond = ByteCount(1'250'000);
    message.poolLoads.push_back({ { ServiceId("claims"), DataCentreId("cairo-1") }, std::chrono::milliseconds(3),
        SlotCount(12), std::chrono::seconds(2) });
    message.records.push_back({ RecordKey("services/claims"), Revision(5), false, std::string("\xff\0{}", 4) });
    message.records.push_back({ RecordKey("topology"), Revision(6), true, "" });
    message.records.push_back(
        { RecordKey("gone"), Revision(2, Era(3)), true, "", Edition { Incarnation(1700000000000), 7 } });
    message.recordsAfter = Revision(4, Era(2));
    message.confirmedAge = std::chrono::milliseconds(1234);
    message.relayTo.push_back(makeMember("m9", MemberState::Alive));
    message.relayTo[0].relaysRecords = true;
    return message;
}

GossipMessage makeLargest()
{
    GossipMessage message = makeFull();
    message.records
        = { { RecordKey("services/a"), Revision(9), false, std::string(maxRecordValueBytes.count(), 'v') } };
    return message;
}

// A routing document, which is highly repetitive.
std::string routingText()
{
    std::string text;
    for (int n = 0; n < 4000; ++n)
        text += R"({"prefix":"/route)" + std::to_string(n) + R"(/","kind":"idempotent","timeout":2000},)";
    return text;
}

GossipMessage makeCompressible()
{
    GossipMessage message = makeFull();
    message.records[0].value = routingText();
    return message;
}

// Bytes that cannot be compressed.
std::string randomBytes(std::size_t size)
{
    std::string text(size, '\0');
    std::minstd_rand random(1);
    for (char& c : text)
        c = static_cast<char>(random() >> 8);
    return text;
}

GossipMessage makeIncompressible()
{
    GossipMessage message = makeFull();
    message.records[0].value = randomBytes(100'000);
    return message;
}

std::string compressedText()
{
    RecordCompressor compressor;
    return *compressor.compressed({ RecordKey("k"), Revision(1), false, std::string(4096, 'v') });
}

// A list of records of the smallest size whose end is malformed.
std::string malformedLongList()
{
    std::string list;
    for (std::size_t n = 0; n <= maxGossipEntries; ++n)
        list += std::string("\x0a\0", 2);
    RecordCompressor compressor;
    return *compressor.compressedList({}, [&](const auto&) { return list + "\x0a\x7f"; });
}

template <typename Change> std::string changed(Change change)
{
    GossipMessage message = makeFull();
    change(message);
    return encode(message);
}

// Protobuf fields encoded by hand: a length-delimited one, and one with a number below 128.
std::string field(int number, const std::string& content)
{
    return std::string(1, static_cast<char>(number << 3 | 2)) + static_cast<char>(content.size()) + content;
}
std::string field(int number, char value) { return std::string(1, static_cast<char>(number << 3)) + value; }

std::string member(char state) { return field(1, "a") + field(2, "d") + field(4, "1.2.3.4:5") + field(7, state); }
const std::string valid = field(1, '\1') + field(2, member(1)) + field(3, "");

} // namespace

struct RoundTripRow {
    GossipMessage (*make)();
};
const RoundTripRow roundTripRows[]
    = { { makeMinimal }, { makeFull }, { makeLargest }, { makeCompressible }, { makeIncompressible } };

// Guards against content that is lost or changed between two daemons by encoding and decoding.
ParameterizedTestParameters(GossipCodec, keepsMessage) { return rowIndices(roundTripRows); }

ParameterizedTest(std::size_t* index, GossipCodec, keepsMessage)
{
    const GossipMessage message = roundTripRows[*index].make();
    const auto decoded = decode(encode(message));
    cr_assert(decoded, "%s", decoded ? "" : decoded.error().c_str());
    cr_assert(*decoded == message);
}

struct SizeRow {
    const char* name;
    std::string (*value)();
    std::size_t maxBytes; // Bytes of the encoded message.
};

const SizeRow sizeRows[] = {
    { "routing document", routingText, 300 * 1024 / 8 },
    { "incompressible bytes", [] { return randomBytes(100'000); }, 101'000 },
    { "endpoint entry", [] { return std::string(300, 'e'); }, 1'300 },
};

// Guards against a large routing document that saturates the 10 Mbit/s links of a data centre's members:
// uncompressed, a document of 300 KB takes four seconds to reach 20 members.
ParameterizedTestParameters(GossipCodec, compressesLargeRecords) { return rowIndices(sizeRows); }

ParameterizedTest(std::size_t* index, GossipCodec, compressesLargeRecords)
{
    const auto& row = sizeRows[*index];
    GossipMessage message = makeFull();
    message.records[0].value = row.value();
    RecordCompressor compressor;
    const auto first = encode(message, compressor);
    cr_expect_leq(first.size(), row.maxBytes, "%s: %zu bytes", row.name, first.size());
    cr_expect(encode(message, compressor) == first, "%s: the second encoding differs", row.name);
    // A later revision of the same key must not be confused with the earlier one.
    message.records[0].revision = Revision(99);
    message.records[0].value[0] ^= 1;
    const auto later = decode(encode(message, compressor));
    cr_assert(later.has_value(), "%s", row.name);
    cr_expect(*later == message, "%s: a later revision is changed", row.name);
}

namespace {

// Entries of endpoints as a registry holds them: about 400 bytes of base64.
std::vector<Record> makeEntries(std::size_t count)
{
    std::vector<Record> records;
    std::minstd_rand random(1);
    for (std::size_t n = 0; n < count; ++n) {
        const auto number = [&](std::uint32_t limit) { return std::to_string(random() % limit); };
        const std::string text = R"({"born":17648000)" + number(100'000) + R"(,"address":"10.)" + number(6) + "."
            + number(250) + R"(.17:7540","info":{"service":"cert-)" + number(12) + R"(","zone":"cairo-a","version":"v)"
            + number(30) + R"(","concurrency":8,"id":"srv-)" + number(1'000'000)
            + R"("},"status":{"state":"ready","warmup_left_ms":)" + number(4000) + R"(,"seq":)" + number(300) + "}}";
        records.push_back({ RecordKey("servers/srv-" + number(1'000'000)), Revision(n + 1), false, toBase64(text) });
    }
    return records;
}

} // namespace

struct ListRow {
    std::size_t records;
    bool isRead; // The receiver reads compressed lists.
    std::size_t minBytes;
    std::size_t maxBytes; // The virtual fleet counts 200 and 65 a record.
};

const ListRow listRows[] = {
    { 1, true, 100, 500 },
    { 20, true, 500, 1'500 },
    { 100, true, 2'000, 6'700 },
    { 100, false, 30'000, 50'000 },
};

// Guards against entries that fill the links of a release, and against lists that a member of an earlier version cannot
// read.
ParameterizedTestParameters(GossipCodec, compressesLists) { return rowIndices(listRows); }

ParameterizedTest(std::size_t* index, GossipCodec, compressesLists)
{
    const auto& row = listRows[*index];
    GossipMessage message = makeMinimal();
    const std::size_t empty = encode(message).size();
    message.records = makeEntries(row.records);
    message.compressesRecords = row.isRead;
    RecordCompressor compressor;
    const auto bytes = encode(message, compressor);
    const std::size_t size = bytes.size() - empty;
    cr_expect(size >= row.minBytes && size <= row.maxBytes, "%zu records: %zu bytes", row.records, size);
    cr_expect(encode(message, compressor) == bytes, "%zu records: the second encoding differs", row.records);
    const auto decoded = decode(bytes);
    cr_assert(decoded.has_value(), "%zu records", row.records);
    cr_expect(decoded->records == message.records, "%zu records differ", row.records);
}

struct EarlierBuildRow {
    const char* name;
    std::string (*bytes)(); // As a build without relays_records, relay_to and compressed_records encodes it.
    std::size_t records;
};

const EarlierBuildRow earlierBuildRows[] = {
    { "no records", [] { return valid; }, 0 },
    { "plain value", [] { return valid + field(8, field(1, "k") + field(2, '\2') + field(4, "v")) + field(10, '\1'); },
        1 },
    { "compressed value",
        [] { return valid + field(8, field(1, "k") + field(2, '\2') + field(5, compressedText())) + field(10, '\1'); },
        1 },
};

// Guards against a member of an earlier build that is taken for one which forwards records or reads compressed lists,
// and against its records being lost.
ParameterizedTestParameters(GossipCodec, readsEarlierBuilds) { return rowIndices(earlierBuildRows); }

ParameterizedTest(std::size_t* index, GossipCodec, readsEarlierBuilds)
{
    const auto& row = earlierBuildRows[*index];
    const auto decoded = decode(row.bytes());
    cr_assert(decoded.has_value(), "%s", row.name);
    cr_expect(!decoded->sender.relaysRecords && decoded->relayTo.empty(), "%s", row.name);
    cr_expect_eq(decoded->records.size(), row.records, "%s", row.name);
    cr_expect_eq(decoded->recordsAfter.has_value(), row.records > 0, "%s", row.name);
}

struct DecodeRow {
    std::string (*bytes)();
    const char* error; // Empty: accepted.
};

const DecodeRow decodeRows[] = {
    { [] { return valid; }, "" },
    { [] { return valid + field(15, "new"); }, "" },
    { [] { return valid + field(6, member(1) + field(14, '\1')); }, "" },
    { [] { return valid + field(6, member(9)); }, "" },
    { [] { return std::string(); }, "sender missing" },
    { [] { return field(1, '\1') + field(2, member(1)); }, "configuration digest missing" },
    { [] { return field(2, member(1)) + field(3, ""); }, "message kind missing or unknown" },
    { [] { return valid + field(1, '\x09'); }, "message kind missing or unknown" },
    { [] { return field(1, '\1') + field(2, member(9)) + field(3, ""); }, "sender state unknown" },
    { [] { return field(1, '\1') + field(2, member(0)) + field(3, ""); }, "member state missing" },
    { [] { return valid + field(6, field(1, "b")); }, "member data centre missing" },
    { [] { return valid + field(6, member(1) + field(4, "host:1")); }, "member address malformed" },
    { [] { return valid + field(7, field(1, "s")); }, "pool data centre missing" },
    { [] { return valid + field(7, field(1, "s") + field(2, "d") + "\x18" + std::string(9, '\xff') + "\1"); },
        "pool wait out of range" },
    { [] { return valid + field(8, field(1, "k")); }, "record revision missing" },
    { [] { return valid + field(8, field(2, '\1')); }, "record key missing" },
    { [] { return valid + field(8, field(1, "k") + field(2, '\1') + field(3, '\1') + field(4, "v")); },
        "deleted record has a value" },
    { [] { return valid + "\x42"; }, "not a Protobuf message" },
    { [] {
         return valid
             + "\x42\x05"
               "ab";
     },
        "not a Protobuf message" },
    { [] { return std::string("\x0b\x0b\x0b"); }, "not a Protobuf message" },
    { [] { return changed([](GossipMessage& m) { m.sender.id = MemberId(std::string(1025, 'i')); }); },
        "member id too long" },
    { [] {
         return changed([](GossipMessage& m) { m.records[0].value = randomBytes(maxRecordValueBytes.count() + 1); });
     },
        "record value too long" },
    { [] { return changed([](GossipMessage& m) { m.records[0].value.assign(maxRecordValueBytes.count() + 1, 'v'); }); },
        "compressed record value malformed or too long" },
    { [] { return valid + field(8, field(1, "k") + field(2, '\1') + field(5, "not zlib")); },
        "compressed record value malformed or too long" },
    { [] { return valid + field(8, field(1, "k") + field(2, '\1') + field(3, '\1') + field(5, compressedText())); },
        "deleted record has a value" },
    { [] { return valid + field(8, field(1, "k") + field(2, '\1') + field(5, compressedText())); }, "" },
    { [] { return valid + field(8, field(1, "k") + field(2, '\1') + field(5, compressedText() + "x")); },
        "compressed record value malformed or too long" },
    { [] {
         return valid
             + field(
                 8, field(1, "k") + field(2, '\1') + field(5, compressedText().substr(0, compressedText().size() - 1)));
     },
        "compressed record value malformed or too long" },
    { [] { return changed([](GossipMessage& m) { m.records[0].value = randomBytes(maxGossipBytes.count()); }); },
        "message too long" },
    { [] { return changed([](GossipMessage& m) { m.members.resize(maxGossipEntries + 1, m.sender); }); },
        "list of members too long" },
    { [] { return changed([](GossipMessage& m) { m.records.resize(maxGossipEntries + 1, m.records[1]); }); },
        "list of records too long" },
    { [] {
         return changed([](GossipMessage& m) {
             m.compressesRecords = true;
             m.records.resize(maxGossipEntries + 1, m.records[1]);
         });
     },
        "list of records too long" },
    { [] { return changed([](GossipMessage& m) { m.relayTo.resize(maxGossipEntries + 1, m.sender); }); },
        "list of receivers too long" },
    // The values of the list and the list itself share one bound.
    { [] {
         return changed([](GossipMessage& m) {
             m.compressesRecords = true;
             m.records.assign(4, { RecordKey("k"), Revision(1), false, std::string(maxRecordValueBytes.count(), 'v') });
         });
     },
        "compressed record value malformed or too long" },
    { [] {
         return changed([](GossipMessage& m) {
             m.records.assign(4, { RecordKey("k"), Revision(1), false, std::string(maxRecordValueBytes.count(), 'v') });
         });
     },
        "compressed record value malformed or too long" },
    // Counted before the records are built.
    { [] { return valid + field(13, malformedLongList()); }, "list of records too long" },
    { [] { return valid + field(13, "not zlib"); }, "compressed list of records malformed or too long" },
    { [] { return valid + field(13, compressedText()); }, "compressed list of records malformed or too long" },
};

// Guards against messages that an older or newer daemon cannot decode, and against input that is accepted unchecked.
ParameterizedTestParameters(GossipCodec, acceptsOtherVersionsAndRejectsMalformed) { return rowIndices(decodeRows); }

ParameterizedTest(std::size_t* index, GossipCodec, acceptsOtherVersionsAndRejectsMalformed)
{
    const DecodeRow& row = decodeRows[*index];
    const auto decoded = decode(row.bytes());
    const std::string error = decoded ? "" : decoded.error();
    cr_assert(error == row.error, "\"%s\" instead of \"%s\"", error.c_str(), row.error);
}

// Guards against input that crashes the decoder: every truncation and 20,000 random corruptions of a valid message.
Test(GossipCodec, survivesCorruption)
{
    const std::string whole = encode(makeFull());
    for (std::size_t n = 0; n < whole.size(); ++n)
        decode(std::string_view(whole).substr(0, n));
    std::minstd_rand random(1);
    for (int k = 0; k < 20000; ++k) {
        std::string corrupted = whole;
        for (int change = 0; change < 3; ++change)
            corrupted[random() % corrupted.size()] = static_cast<char>(random() >> 8);
        decode(corrupted);
    }
}

struct EraRow {
    const char* name;
    std::string text;
    std::uint64_t era; // Of the sender's highest revision.
};

const EraRow eraRows[] = {
    { "a sender that knows no eras", valid, 5 },
    { "a sender whose store names no era", field(1, '\1') + field(2, member(1)) + field(3, field(3, '\0')), 0 },
    { "a sender in an earlier era", field(1, '\1') + field(2, member(1)) + field(3, field(3, '\4')), 4 },
};

// Guards against members of an earlier build, or of another era, whose revisions are taken for those of this era or for
// older ones than they are.
ParameterizedTestParameters(GossipCodec, tellsErasOfSenders) { return rowIndices(eraRows); }

ParameterizedTest(std::size_t* index, GossipCodec, tellsErasOfSenders)
{
    const auto& row = eraRows[*index];
    const auto message = decode(row.text, Era(5));
    cr_assert(message, "%s: %s", row.name, message ? "" : message.error().c_str());
    cr_expect_eq(message->configuration.highest.era().value(), row.era, "%s", row.name);
}
