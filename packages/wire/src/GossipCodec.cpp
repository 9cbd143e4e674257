#include "dogwoodhall/wire/GossipCodec.h"

#include "Gossip.pb.h"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <limits>
#include <optional>
#include <utility>

namespace dogwoodhall {

namespace {

// Records the first reason to reject a message. Decoding continues after it, and the result is discarded at the end.
class Rejection {
public:
    void require(bool condition, const char* part, const char* fault)
    {
        if (!condition && m_reason.empty())
            m_reason = std::string(part) + " " + fault;
    }
    const std::string& reason() const { return m_reason; }

private:
    std::string m_reason;
};

std::uint64_t nanoseconds(Duration d) { return static_cast<std::uint64_t>(std::max(d, Duration::zero()).count()); }

Duration toDuration(std::uint64_t ns, const char* name, Rejection& rejection)
{
    rejection.require(ns <= static_cast<std::uint64_t>(Duration::max().count()), name, "out of range");
    return Duration(static_cast<Duration::rep>(ns));
}

Duration toMilliseconds(std::uint64_t ms, const char* name, Rejection& rejection)
{
    constexpr auto most = std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count();
    const bool isInRange = ms <= static_cast<std::uint64_t>(most);
    rejection.require(isInRange, name, "out of range");
    return isInRange ? Duration(std::chrono::milliseconds(ms)) : Duration();
}

const std::string& requiredName(const std::string& text, const char* name, Rejection& rejection)
{
    rejection.require(!text.empty(), name, "missing");
    rejection.require(text.size() <= maxNameBytes.count(), name, "too long");
    return text;
}

wire::MemberState toWire(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return wire::MEMBER_STATE_ALIVE;
    case MemberState::Leaving:
        return wire::MEMBER_STATE_LEAVING;
    case MemberState::Suspect:
        return wire::MEMBER_STATE_SUSPECT;
    case MemberState::Gone:
        return wire::MEMBER_STATE_GONE;
    }
    return wire::MEMBER_STATE_UNSPECIFIED;
}

// Empty if the state is missing or was added by a later version.
std::optional<MemberState> fromWire(wire::MemberState state)
{
    switch (state) {
    case wire::MEMBER_STATE_ALIVE:
        return MemberState::Alive;
    case wire::MEMBER_STATE_LEAVING:
        return MemberState::Leaving;
    case wire::MEMBER_STATE_SUSPECT:
        return MemberState::Suspect;
    case wire::MEMBER_STATE_GONE:
        return MemberState::Gone;
    default:
        return std::nullopt;
    }
}

void toWire(const Member& member, wire::Member& to)
{
    to.set_id(member.id.value());
    to.set_data_centre(member.dataCentre.value());
    if (member.region)
        to.set_region(member.region->value());
    to.set_peer_address(toString(member.peerAddress));
    to.set_incarnation(member.incarnation.value());
    to.set_version(member.version);
    to.set_state(toWire(member.state));
    to.set_ready(member.isReady);
    to.set_link_bytes_per_second(member.linkCapacityPerSecond.count());
    to.set_cannot_read_platform(!member.canReadPlatform);
    to.set_relays_records(member.relaysRecords);
}

// Empty if the state was added by a later version.
std::optional<Member> fromWire(const wire::Member& from, Rejection& rejection)
{
    Member member;
    member.id = MemberId(requiredName(from.id(), "member id", rejection));
    member.dataCentre = DataCentreId(requiredName(from.data_centre(), "member data centre", rejection));
    if (from.has_region())
        member.region = RegionId(requiredName(from.region(), "member region", rejection));
    const auto address = parseNetworkAddress(requiredName(from.peer_address(), "member address", rejection));
    rejection.require(address.has_value(), "member address", "malformed");
    member.peerAddress = address.value_or(NetworkAddress {});
    member.incarnation = Incarnation(from.incarnation());
    member.version = from.version();
    member.isReady = from.ready();
    member.linkCapacityPerSecond = ByteCount(from.link_bytes_per_second());
    member.canReadPlatform = !from.cannot_read_platform();
    member.relaysRecords = from.relays_records();
    rejection.require(from.state() != wire::MEMBER_STATE_UNSPECIFIED, "member state", "missing");
    const auto state = fromWire(from.state());
    if (!state)
        return std::nullopt;
    member.state = *state;
    return member;
}

PoolLoadSummary fromWire(const wire::PoolLoad& from, Rejection& rejection)
{
    PoolLoadSummary load;
    load.pool.service = ServiceId(requiredName(from.service(), "pool service", rejection));
    load.pool.dataCentre = DataCentreId(requiredName(from.data_centre(), "pool data centre", rejection));
    load.expectedWait = toDuration(from.expected_wait_ns(), "pool wait", rejection);
    load.freeSlots = SlotCount(from.free_slots());
    load.age = toDuration(from.age_ns(), "pool age", rejection);
    return load;
}

// What the compressed parts of one message may take in memory together. A small message could otherwise make the
// receiver allocate a thousand times its size for each of its records.
class DecompressionAllowance {
public:
    std::optional<std::string> decompress(std::string_view input, ByteCount limit)
    {
        auto plain = dogwoodhall::decompress(input, std::min(limit, m_left));
        // The rest of a rejected message is not worth the time.
        m_left = plain ? ByteCount(m_left.count() - plain->size()) : ByteCount();
        return plain;
    }

private:
    ByteCount m_left { 2 * maxGossipBytes.count() };
};

// The era of a message's revisions. Daemons that know no eras name none.
class MessageEra {
public:
    MessageEra(const wire::Gossip& from, Era assumed)
        : m_isNamed(from.configuration().has_era())
        , m_assumed(assumed)
    {
    }

    Revision revision(std::uint64_t value, std::uint64_t era) const
    {
        return Revision(value, m_isNamed ? Era(era) : m_assumed);
    }

private:
    bool m_isNamed;
    Era m_assumed;
};

Record fromWire(wire::Record& from, const MessageEra& era, DecompressionAllowance& allowance, Rejection& rejection)
{
    rejection.require(from.has_revision(), "record revision", "missing");
    const bool isCompressed = !from.compressed_value().empty();
    if (isCompressed) {
        auto value = allowance.decompress(from.compressed_value(), maxRecordValueBytes);
        rejection.require(value.has_value(), "compressed record value", "malformed or too long");
        from.set_value(std::move(value).value_or(std::string()));
    }
    rejection.require(from.value().size() <= maxRecordValueBytes.count(), "record value", "too long");
    rejection.require(!from.deleted() || (from.value().empty() && !isCompressed), "deleted record", "has a value");
    Record record;
    record.key = RecordKey(requiredName(from.key(), "record key", rejection));
    record.revision = era.revision(from.revision(), from.era());
    record.deleted = from.deleted();
    if (from.has_deleted_number())
        record.deletedEdition = Edition { Incarnation(from.deleted_run()), from.deleted_number() };
    record.value = std::move(*from.mutable_value());
    return record;
}

void checkCounts(const wire::Gossip& from, Rejection& rejection)
{
    constexpr int limit = maxGossipEntries;
    rejection.require(from.members_size() <= limit, "list of members", "too long");
    rejection.require(from.pool_loads_size() <= limit, "list of pool loads", "too long");
    rejection.require(from.records_size() <= limit, "list of records", "too long");
    rejection.require(from.relay_to_size() <= limit, "list of receivers", "too long");
}

bool skipField(google::protobuf::io::CodedInputStream& input, std::uint32_t tag)
{
    enum WireType : std::uint32_t { Varint = 0, Fixed64 = 1, Bytes = 2, Fixed32 = 5 };
    std::uint64_t number = 0;
    std::uint32_t size = 0;
    switch (tag & 7U) {
    case Varint:
        return input.ReadVarint64(&number);
    case Fixed64:
        return input.Skip(8);
    case Bytes:
        return input.ReadVarint32(&size) && input.Skip(static_cast<int>(size));
    case Fixed32:
        return input.Skip(4);
    default:
        return false;
    }
}

// Number of records in an encoded RecordList, up to one above the limit, without building them. Empty if it is
// malformed.
std::optional<std::size_t> countRecords(const std::string& list)
{
    constexpr std::uint32_t recordTag = wire::RecordList::kRecordsFieldNumber << 3 | 2;
    const int end = static_cast<int>(list.size());
    google::protobuf::io::CodedInputStream input(reinterpret_cast<const std::uint8_t*>(list.data()), end);
    std::size_t count = 0;
    while (count <= maxGossipEntries && input.CurrentPosition() < end) {
        const std::uint32_t tag = input.ReadTag();
        if (tag == 0 || !skipField(input, tag))
            return std::nullopt;
        count += tag == recordTag ? 1 : 0;
    }
    return count;
}

void decompressRecords(wire::Gossip& from, DecompressionAllowance& allowance, Rejection& rejection)
{
    if (from.compressed_records().empty())
        return;
    const auto plain = allowance.decompress(from.compressed_records(), maxGossipBytes);
    const auto count = plain ? countRecords(*plain) : std::nullopt;
    const bool isTooLong = count && *count > maxGossipEntries;
    rejection.require(!isTooLong, "list of records", "too long");
    wire::RecordList list;
    const bool isValid = count && !isTooLong && list.ParseFromArray(plain->data(), static_cast<int>(plain->size()));
    rejection.require(isValid, "compressed list of records", "malformed or too long");
    if (isValid)
        from.mutable_records()->Swap(list.mutable_records());
}

GossipMessage fromWire(wire::Gossip& from, Era assumedEra, DecompressionAllowance& allowance, Rejection& rejection)
{
    GossipMessage message;
    const MessageEra era(from, assumedEra);
    const bool isRequest = from.kind() == wire::MESSAGE_KIND_REQUEST;
    rejection.require(from.has_sender(), "sender", "missing");
    rejection.require(from.has_configuration(), "configuration digest", "missing");
    rejection.require(isRequest || from.kind() == wire::MESSAGE_KIND_REPLY, "message kind", "missing or unknown");
    message.kind = isRequest ? GossipMessage::Kind::Request : GossipMessage::Kind::Reply;
    auto sender = fromWire(from.sender(), rejection);
    rejection.require(sender.has_value(), "sender state", "unknown");
    message.sender = std::move(sender).value_or(Member {});
    message.configuration.highest = era.revision(from.configuration().highest_revision(), from.configuration().era());
    message.configuration.hash = from.configuration().hash();
    message.dataCentreRoster = from.data_centre_roster();
    message.fleetRoster = from.fleet_roster();
    rejection.require(from.roster_after().size() <= maxNameBytes.count(), "roster position", "too long");
    message.rosterAfter = MemberId(from.roster_after());
    for (const wire::Member& entry : from.members()) {
        if (auto member = fromWire(entry, rejection))
            message.members.push_back(std::move(*member));
    }
    for (const wire::PoolLoad& load : from.pool_loads())
        message.poolLoads.push_back(fromWire(load, rejection));
    if (from.has_confirmed_age_ms())
        message.confirmedAge = toMilliseconds(from.confirmed_age_ms(), "confirmed age", rejection);
    if (from.has_records_after())
        message.recordsAfter = era.revision(from.records_after(), from.records_after_era());
    for (const wire::Member& entry : from.relay_to()) {
        if (auto member = fromWire(entry, rejection))
            message.relayTo.push_back(std::move(*member));
    }
    for (wire::Record& record : *from.mutable_records())
        message.records.push_back(fromWire(record, era, allowance, rejection));
    return message;
}

void toWire(const Record& record, wire::Record& to, RecordCompressor& compressor)
{
    to.set_key(record.key.value());
    to.set_revision(record.revision.value());
    to.set_era(record.revision.era().value());
    to.set_deleted(record.deleted);
    if (record.deletedEdition) {
        to.set_deleted_run(record.deletedEdition->run.value());
        to.set_deleted_number(record.deletedEdition->number);
    }
    if (const auto* compressed = compressor.compressed(record))
        to.set_compressed_value(*compressed);
    else
        to.set_value(record.value);
}

void addRecords(const GossipMessage& message, wire::Gossip& to, RecordCompressor& compressor)
{
    const auto encodeList = [&](const std::vector<Record>& records) {
        wire::RecordList list;
        for (const Record& record : records)
            toWire(record, *list.add_records(), compressor);
        return list.SerializeAsString();
    };
    const auto* compressed = message.compressesRecords && !message.records.empty()
        ? compressor.compressedList(message.records, encodeList)
        : nullptr;
    if (compressed) {
        to.set_compressed_records(*compressed);
        return;
    }
    for (const Record& record : message.records)
        toWire(record, *to.add_records(), compressor);
}

} // namespace

std::string encode(const GossipMessage& message)
{
    RecordCompressor compressor;
    return encode(message, compressor);
}

std::string encode(const GossipMessage& message, RecordCompressor& compressor)
{
    wire::Gossip to;
    to.set_kind(message.kind == GossipMessage::Kind::Request ? wire::MESSAGE_KIND_REQUEST : wire::MESSAGE_KIND_REPLY);
    toWire(message.sender, *to.mutable_sender());
    to.mutable_configuration()->set_highest_revision(message.configuration.highest.value());
    to.mutable_configuration()->set_hash(message.configuration.hash);
    to.mutable_configuration()->set_era(message.configuration.highest.era().value());
    to.set_data_centre_roster(message.dataCentreRoster);
    to.set_fleet_roster(message.fleetRoster);
    to.set_roster_after(message.rosterAfter.value());
    for (const Member& member : message.members)
        toWire(member, *to.add_members());
    for (const PoolLoadSummary& load : message.poolLoads) {
        wire::PoolLoad& entry = *to.add_pool_loads();
        entry.set_service(load.pool.service.value());
        entry.set_data_centre(load.pool.dataCentre.value());
        entry.set_expected_wait_ns(nanoseconds(load.expectedWait));
        entry.set_free_slots(load.freeSlots.count());
        entry.set_age_ns(nanoseconds(load.age));
    }
    // Rounded up: the records must not seem newer than they are.
    if (message.confirmedAge)
        to.set_confirmed_age_ms(static_cast<std::uint64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(std::max(*message.confirmedAge, Duration::zero())).count()));
    if (message.recordsAfter) {
        to.set_records_after(message.recordsAfter->value());
        to.set_records_after_era(message.recordsAfter->era().value());
    }
    for (const Member& member : message.relayTo)
        toWire(member, *to.add_relay_to());
    addRecords(message, to, compressor);
    return to.SerializeAsString();
}

tl::expected<GossipMessage, std::string> decode(std::string_view bytes, Era assumedEra)
{
    if (bytes.size() > maxGossipBytes.count())
        return tl::unexpected(std::string("message too long"));
    wire::Gossip from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return tl::unexpected(std::string("not a Protobuf message"));
    Rejection rejection;
    DecompressionAllowance allowance;
    decompressRecords(from, allowance, rejection);
    checkCounts(from, rejection);
    if (!rejection.reason().empty())
        return tl::unexpected(rejection.reason());
    GossipMessage message = fromWire(from, assumedEra, allowance, rejection);
    if (!rejection.reason().empty())
        return tl::unexpected(rejection.reason());
    return message;
}

} // namespace dogwoodhall
