// A change of the configuration raises max_body_bytes. Callers go on using the connections that they have. Judges
// CONFIG for requests sent later than config_ms after the ack. TROUBLE=0 has the higher limit from the beginning.
#include "StandIns.h"

using namespace review;

namespace {

constexpr int members = 3;
constexpr int callers = 12;
constexpr int rounds = 3;
constexpr double configBound = 2; // config_ms
constexpr double roundPause = 1;
constexpr std::size_t smallBody = 2000;
constexpr std::size_t largeBody = 20000; // Below max_body_bytes of the second version.

std::string routing(int version, int maxBodyBytes)
{
    return R"({"version":"0000000)" + std::to_string(version)
        + R"(","routes":{"claims":{"host":"jingles.example","prefix":"/claims/","kind":"non_idempotent",)"
          R"("timeout_ms":800,"target_latency_ms":300,"priority":1,"service":"claims","max_attempts":2}},)"
          R"("services":{"claims":{"health_path":"/health","max_connections":220,"protocol":"h1","tls":false}},)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":)"
        + std::to_string(maxBodyBytes) + R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// Returns the status, and whether the answer is the member's own.
std::pair<int, bool> claim(Connection& connection, const std::string& id, std::size_t bodyBytes)
{
    connection.send("POST /claims/1 HTTP/1.1\r\nHost: jingles.example\r\nDogwoodhall-Attempt-Id: " + id
        + "\r\nDogwoodhall-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'c'));
    const auto response = connection.read(1.5);
    if (!response || !response->isComplete)
        return { 0, true };
    return { response->status(), response->field("Dogwoodhall-Response-Signature").empty() };
}

int run(const std::string& program, Record& record)
{
    // Never destroyed: their threads serve until the process ends.
    auto& store = *new Store(loopback(1));
    auto& endpoint = *new Endpoint({ "i-claims-1", "claims", 3, 6, 0.02, true }, loopback(2), record);
    constexpr int lowLimit = 8192;
    constexpr int highLimit = 65536;
    store.put("op/config", routing(1, hasTrouble() ? lowLimit : highLimit));
    store.put("servers/" + endpoint.id(), endpoint.entry("cairo-a", "ready"));
    Deployment deployment(program, store, "cairo-a", "cairo", members);
    if (!deployment.waitUntilReady())
        return statusCannotRun;
    record.line("%d members are ready", members);
    sleepFor(calmSeconds);
    std::vector<std::unique_ptr<Connection>> kept;
    for (int n = 0; n < callers; ++n) {
        kept.push_back(std::make_unique<Connection>(deployment.memberOf(n).caller()));
        const auto [status, isOwn] = claim(*kept.back(), "first-" + std::to_string(n), smallBody);
        if (status != 200)
            return statusCannotRun;
    }
    store.put("op/config", routing(2, highLimit));
    const double ackedAt = now();
    record.line("version 2 acked: max_body_bytes is %d", highLimit);
    sleepUntil(ackedAt + configBound + 0.5);
    int refused = 0;
    int total = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int n = 0; n < callers; ++n) {
            const auto id = std::to_string(round) + "-" + std::to_string(n);
            Connection fresh(deployment.memberOf(n).caller());
            const auto onNew = claim(fresh, "new-" + id, largeBody);
            const double sentAt = now();
            const auto [status, isOwn] = claim(*kept[static_cast<std::size_t>(n)], "kept-" + id, largeBody);
            // The body is proper in version 2 only.
            const bool isOld = isOwn && status == 413;
            ++total;
            refused += isOld ? 1 : 0;
            record.line("%s, %.3f s after the ack: new connection %d; kept connection %d%s", id.c_str(),
                sentAt - ackedAt, onNew.first, status, isOld ? ", CONFIG: as only version 1 allows" : "");
            // A caller whose connection was closed opens a new one.
            if (status != 200)
                kept[static_cast<std::size_t>(n)] = std::make_unique<Connection>(deployment.memberOf(n).caller());
        }
        sleepFor(roundPause);
    }
    record.line("%d of %d requests refused as only an older version does", refused, total);
    return refused > 0 ? statusBroken : statusHeld;
}

} // namespace

int main(int argc, char** argv) { runCase(argc, argv, run); }
