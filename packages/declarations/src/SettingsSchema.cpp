#include "Schemas.h"
#include "TextRules.h"

#include <cmath>

namespace dogwoodhall {

namespace {

constexpr std::int64_t newestSettingsVersion = 1;
constexpr IntegerRange trafficThreadsRange { 1, 64 };
// Below 1 KB, headers of ordinary browsers would be rejected; above 1 MB, a header could exhaust memory.
constexpr IntegerRange headerBytesRange { 1024, 1024 * 1024 };
constexpr IntegerRange bodyBytesRange { 0, 1LL << 40 };
constexpr IntegerRange slowSenderTimeoutMsRange { 100, 600'000 };
constexpr IntegerRange headerFieldsRange { 16, 100'000 };
constexpr IntegerRange requestsAheadRange { 1, 64 };
constexpr IntegerRange leastCallerBytesRange { 0, 1'000'000 };
constexpr DecimalRange memoryLimitMegabytesRange { 16, 1'000'000 };
constexpr double bytesPerMegabyte = 1'000'000;
constexpr IntegerRange descriptorLimitRange { 64, 10'000'000 };
constexpr IntegerRange callerMemoryRange { 1024 * 1024, 1LL << 40 };
constexpr IntegerRange callerConnectionsRange { 8, 10'000'000 };
constexpr IntegerRange measuringBytesRange { 1'000, 100'000'000 };
constexpr IntegerRange measuringCallsRange { 1, 1'000'000 };
// The platform limits a daemon to 128 MB of memory in total.
constexpr IntegerRange ticketBytesRange { 0, 128LL * 1024 * 1024 };
// A load balancer that probes once a second and removes a target after two failed probes stops sending requests after
// two to three seconds.
constexpr IntegerRange drainGraceMsRange { 0, 600'000 };
constexpr IntegerRange stopGraceMsRange { 1'000, 3'600'000 };
constexpr IntegerRange retryWindowMsRange { 100, 600'000 };
constexpr DecimalRange retrySlackRange { 0, 1'000'000 };
constexpr DecimalRange healthCallsRange { 0.001, 1'000'000 };
// Below 1, the limit of all members together would be lower than what a cold endpoint tolerates.
constexpr DecimalRange warmUpOverageRange { 1, 1'000 };
constexpr DecimalRange warmUpSlackRange { 0, 1'000'000 };
constexpr DecimalRange linkMegabitsRange { 0.001, 1'000'000 };
constexpr DecimalRange linkCostRange { 0, 1'000'000 };
constexpr IntegerRange roundTripMsRange { 0, 10'000 };
constexpr double bytesPerMegabit = 125'000;
constexpr IntegerRange readPauseMsRange { 0, 10'000 };
constexpr IntegerRange lapseGraceMsRange { 0, 60'000 };
constexpr IntegerRange maxConfigurationAgeMsRange { 500, 600'000 };

NetworkAddress readAddress(ObjectReader& reader, const std::string& name, Presence presence, const TextRule& rule)
{
    const auto text = reader.text(name, presence, rule);
    return text ? *parseNetworkAddress(*text) : NetworkAddress {};
}

void readAddresses(ObjectReader& reader, Settings& settings)
{
    settings.callerAddress = readAddress(reader, "callerAddress", Presence::Required, listeningAddressText());
    settings.peerAddress = readAddress(reader, "peerAddress", Presence::Required, listeningAddressText());
    if (auto advertised = reader.text("advertisedPeerAddress", Presence::Optional, remoteAddressText()))
        settings.advertisedPeerAddress = parseNetworkAddress(*advertised);
    settings.adminAddress = readAddress(reader, "adminAddress", Presence::Required, listeningAddressText());
    settings.platformAddress = readAddress(reader, "platformAddress", Presence::Required, remoteAddressText());
    if (auto collector = reader.text("traceCollectorAddress", Presence::Optional, remoteAddressText()))
        settings.traceCollector = parseNetworkAddress(*collector);
    UniqueValues unique(reader.context(), "listening address");
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

ByteCount readByteCount(ObjectReader& reader, const std::string& name, IntegerRange range, ByteCount defaultValue)
{
    const auto value = reader.integer(name, Presence::Optional, range);
    return value ? ByteCount(static_cast<std::uint64_t>(*value)) : defaultValue;
}

void readCallerLimits(ObjectReader& reader, Settings& settings)
{
    if (auto fields = reader.integer("maxHeaderFields", Presence::Optional, headerFieldsRange))
        settings.maxHeaderFields = static_cast<std::size_t>(*fields);
    if (auto requests = reader.integer("maxRequestsAhead", Presence::Optional, requestsAheadRange))
        settings.maxRequestsAhead = static_cast<std::size_t>(*requests);
    settings.leastCallerBytesPerSecond
        = readByteCount(reader, "leastCallerBytesPerSecond", leastCallerBytesRange, settings.leastCallerBytesPerSecond);
    if (auto megabytes = reader.decimal("memoryLimitMegabytes", Presence::Optional, memoryLimitMegabytesRange))
        settings.memoryLimit = ByteCount(static_cast<std::uint64_t>(*megabytes * bytesPerMegabyte));
    if (auto limit = reader.integer("descriptorLimit", Presence::Optional, descriptorLimitRange))
        settings.descriptorLimit = static_cast<std::size_t>(*limit);
    if (auto bytes = reader.integer("callerMemoryBytes", Presence::Optional, callerMemoryRange))
        settings.callerMemory = ByteCount(static_cast<std::uint64_t>(*bytes));
    if (auto connections = reader.integer("maxCallerConnections", Presence::Optional, callerConnectionsRange))
        settings.maxCallerConnections = static_cast<std::size_t>(*connections);
}

void readLimits(ObjectReader& reader, Settings& settings)
{
    if (auto percent = reader.decimal("traceSamplingPercent", Presence::Optional, { 0, 100 }))
        settings.traceSampling = Fraction(*percent / 100);
    if (auto threads = reader.integer("trafficThreads", Presence::Optional, trafficThreadsRange))
        settings.trafficThreads = static_cast<std::uint32_t>(*threads);
    settings.maxHeaderBytes = readByteCount(reader, "maxHeaderBytes", headerBytesRange, settings.maxHeaderBytes);
    settings.maxBodyBytes = readByteCount(reader, "maxBodyBytes", bodyBytesRange, settings.maxBodyBytes);
    if (auto timeout = reader.integer("slowSenderTimeoutMs", Presence::Optional, slowSenderTimeoutMsRange))
        settings.slowSenderTimeout = std::chrono::milliseconds(*timeout);
    readCallerLimits(reader, settings);
    settings.measuringBytesPerSecond
        = readByteCount(reader, "measuringBytesPerSecond", measuringBytesRange, settings.measuringBytesPerSecond);
    if (auto calls = reader.integer("measuringCallsPerSecond", Presence::Optional, measuringCallsRange))
        settings.measuringCallsPerSecond = CallCount(static_cast<std::uint64_t>(*calls));
    settings.ticketBytes = readByteCount(reader, "ticketBytes", ticketBytesRange, settings.ticketBytes);
}

std::map<DataCentreId, RegionId> readRegions(ObjectReader& reader)
{
    std::map<DataCentreId, RegionId> regions;
    reader.object("regions", Presence::Required, [&](const JsonNode& node, const std::string& pointer) {
        if (node.kind != JsonNode::Kind::Object || node.members.empty())
            reader.context().report(node, pointer, "an object of data centres and their regions");
        for (const auto& member : node.members) {
            if (member.value.kind != JsonNode::Kind::String || !idText().accepts(member.value.text))
                reader.context().report(member.value, childPointer(pointer, member.name), idText().expected);
            else
                regions.emplace(DataCentreId(member.name), RegionId(member.value.text));
        }
    });
    return regions;
}

Duration readMilliseconds(ObjectReader& reader, const std::string& name, IntegerRange range, Duration defaultValue)
{
    const auto value = reader.integer(name, Presence::Optional, range);
    return value ? std::chrono::milliseconds(*value) : defaultValue;
}

void readSpill(ObjectReader& reader, RegistrySettings& registry)
{
    registry.spill = reader.boolean("spill", Presence::Optional).value_or(registry.spill);
    registry.linkCostWithinRegion = reader.decimal("linkCostWithinRegion", Presence::Optional, linkCostRange)
                                        .value_or(registry.linkCostWithinRegion);
    registry.linkCostBetweenRegions = reader.decimal("linkCostBetweenRegions", Presence::Optional, linkCostRange)
                                          .value_or(registry.linkCostBetweenRegions);
    registry.roundTripWithinRegion
        = readMilliseconds(reader, "roundTripWithinRegionMs", roundTripMsRange, registry.roundTripWithinRegion);
    registry.roundTripBetweenRegions
        = readMilliseconds(reader, "roundTripBetweenRegionsMs", roundTripMsRange, registry.roundTripBetweenRegions);
}

RegistrySettings readRegistry(CheckContext& context, const JsonNode& node, const std::string& pointer)
{
    ObjectReader reader(context, node, pointer);
    RegistrySettings registry;
    registry.regions = readRegions(reader);
    for (const auto& seed : reader.texts("seeds", remoteAddressText()))
        registry.seeds.push_back(*parseNetworkAddress(seed));
    registry.drainGrace = readMilliseconds(reader, "drainGraceMs", drainGraceMsRange, registry.drainGrace);
    registry.stopGrace = readMilliseconds(reader, "stopGraceMs", stopGraceMsRange, registry.stopGrace);
    if (auto percent = reader.decimal("retryPercent", Presence::Optional, { 0, 100 }))
        registry.retries.ratio = Fraction(*percent / 100);
    registry.retries.window = readMilliseconds(reader, "retryWindowMs", retryWindowMsRange, registry.retries.window);
    registry.retries.slack
        = reader.decimal("retrySlack", Presence::Optional, retrySlackRange).value_or(registry.retries.slack);
    registry.healthCallsPerEndpoint = reader.decimal("healthCallsPerEndpoint", Presence::Optional, healthCallsRange)
                                          .value_or(registry.healthCallsPerEndpoint);
    registry.warmUpOverage
        = reader.decimal("warmUpOverage", Presence::Optional, warmUpOverageRange).value_or(registry.warmUpOverage);
    registry.warmUpSlack
        = reader.decimal("warmUpSlack", Presence::Optional, warmUpSlackRange).value_or(registry.warmUpSlack);
    if (auto megabits = reader.decimal("linkMegabitsPerSecond", Presence::Optional, linkMegabitsRange))
        registry.linkCapacityPerSecond = ByteCount(static_cast<std::uint64_t>(*megabits * bytesPerMegabit));
    registry.readPause = readMilliseconds(reader, "readPauseMs", readPauseMsRange, registry.readPause);
    registry.lapseGrace = readMilliseconds(reader, "lapseGraceMs", lapseGraceMsRange, registry.lapseGrace);
    if (auto ms = reader.integer("maxConfigurationAgeMs", Presence::Optional, maxConfigurationAgeMsRange))
        registry.maxConfigurationAge = std::chrono::milliseconds(*ms);
    readSpill(reader, registry);
    reader.finish();
    return registry;
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
        context.addReference(settings.dataCentre, *dataCentre, reader.pointerTo("dataCentre"));
    readAddresses(reader, settings);
    readLog(reader, settings.log);
    readLimits(reader, settings);
    reader.object("registry", Presence::Optional, [&](const JsonNode& registry, const std::string& pointer) {
        settings.registry = readRegistry(context, registry, pointer);
    });
    reader.finish();
    return settings;
}

std::optional<std::int64_t> readSchemaVersion(ObjectReader& reader, std::int64_t newest)
{
    const bool isStated = reader.node("schemaVersion") != nullptr;
    const auto version = reader.integer("schemaVersion", Presence::Optional, { 1, newest });
    return isStated ? version : 1;
}

Duration durationFromMilliseconds(double milliseconds) { return Duration(std::llround(milliseconds * 1'000'000)); }

} // namespace dogwoodhall
