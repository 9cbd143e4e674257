#include "Schemas.h"
#include "TextRules.h"

#include <cmath>

namespace dogwoodhall {

namespace {

constexpr std::int64_t newestSettingsVersion = 1;
constexpr IntegerRange trafficThreadsRange { 1, 64 };
// Below 1 KB ordinary browsers' headers are refused; above 1 MB a header is an attack on memory.
constexpr IntegerRange headerBytesRange { 1024, 1024 * 1024 };
constexpr IntegerRange bodyBytesRange { 0, 1LL << 40 };
constexpr IntegerRange slowSenderTimeoutMsRange { 100, 600'000 };
constexpr IntegerRange measuringBytesRange { 1'000, 100'000'000 };
constexpr IntegerRange measuringCallsRange { 1, 1'000'000 };
// The platform gives a daemon 128 MB in all.
constexpr IntegerRange ticketBytesRange { 0, 128LL * 1024 * 1024 };

NetworkAddress address(ObjectReader& reader, const std::string& name, Presence presence, const TextRule& rule)
{
    const auto text = reader.text(name, presence, rule);
    return text ? *parseNetworkAddress(*text) : NetworkAddress {};
}

void readAddresses(ObjectReader& reader, Settings& settings)
{
    settings.callerAddress = address(reader, "callerAddress", Presence::Required, listeningAddressText());
    settings.peerAddress = address(reader, "peerAddress", Presence::Required, listeningAddressText());
    if (auto advertised = reader.text("advertisedPeerAddress", Presence::Optional, remoteAddressText()))
        settings.advertisedPeerAddress = parseNetworkAddress(*advertised);
    settings.adminAddress = address(reader, "adminAddress", Presence::Required, listeningAddressText());
    settings.platformAddress = address(reader, "platformAddress", Presence::Required, remoteAddressText());
    if (auto collector = reader.text("traceCollectorAddress", Presence::Optional, remoteAddressText()))
        settings.traceCollector = parseNetworkAddress(*collector);
    UniqueTexts unique(reader.context(), "listening address");
    for (const auto* name : { "callerAddress", "peerAddress", "adminAddress" }) {
        const auto* node = reader.node(name);
        if (node && !node->text.ends_with(":0"))
            unique.add(node, reader.pointerTo(name));
    }
}

void readLog(ObjectReader& reader, LogOptions& log)
{
    if (auto format = reader.text("logFormat", Presence::Optional, logFormatText()))
        log.format = *format == "json" ? LogFormat::Json : LogFormat::Text;
    if (auto level = reader.text("logLevel", Presence::Optional, logLevelText()))
        log.level = *findLogLevel(*level);
}

ByteCount bytes(ObjectReader& reader, const std::string& name, IntegerRange range, ByteCount absent)
{
    const auto value = reader.integer(name, Presence::Optional, range);
    return value ? ByteCount(static_cast<std::uint64_t>(*value)) : absent;
}

void readLimits(ObjectReader& reader, Settings& settings)
{
    if (auto percent = reader.decimal("traceSamplingPercent", Presence::Optional, { 0, 100 }))
        settings.traceSampling = Fraction(*percent / 100);
    if (auto threads = reader.integer("trafficThreads", Presence::Optional, trafficThreadsRange))
        settings.trafficThreads = static_cast<std::uint32_t>(*threads);
    settings.maxHeaderBytes = bytes(reader, "maxHeaderBytes", headerBytesRange, settings.maxHeaderBytes);
    settings.maxBodyBytes = bytes(reader, "maxBodyBytes", bodyBytesRange, settings.maxBodyBytes);
    if (auto timeout = reader.integer("slowSenderTimeoutMs", Presence::Optional, slowSenderTimeoutMsRange))
        settings.slowSenderTimeout = std::chrono::milliseconds(*timeout);
    settings.measuringBytesPerSecond
        = bytes(reader, "measuringBytesPerSecond", measuringBytesRange, settings.measuringBytesPerSecond);
    if (auto calls = reader.integer("measuringCallsPerSecond", Presence::Optional, measuringCallsRange))
        settings.measuringCallsPerSecond = CallCount(static_cast<std::uint64_t>(*calls));
    settings.ticketBytes = bytes(reader, "ticketBytes", ticketBytesRange, settings.ticketBytes);
}

} // namespace

Settings readSettings(CheckContext& context, const JsonNode& node)
{
    ObjectReader reader(context, node, "");
    Settings settings;
    if (!readSchemaVersion(reader, newestSettingsVersion))
        return settings;
    settings.member = MemberId(reader.text("member", Presence::Required, idText()).value_or(""));
    settings.dataCentre = DataCentreId(reader.text("dataCentre", Presence::Required, idText()).value_or(""));
    if (const auto* dataCentre = reader.node("dataCentre"))
        context.refer(*dataCentre, reader.pointerTo("dataCentre"));
    readAddresses(reader, settings);
    readLog(reader, settings.log);
    readLimits(reader, settings);
    reader.finish();
    return settings;
}

std::optional<std::int64_t> readSchemaVersion(ObjectReader& reader, std::int64_t newest)
{
    const bool isStated = reader.node("schemaVersion") != nullptr;
    const auto version = reader.integer("schemaVersion", Presence::Optional, { 1, newest });
    return isStated ? version : 1;
}

Duration durationOfMilliseconds(double milliseconds) { return Duration(std::llround(milliseconds * 1'000'000)); }

} // namespace dogwoodhall
