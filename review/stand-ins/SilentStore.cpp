// The store is silent for 4.5 s during a series of changes, and sound again afterwards. A later change moves a route to
// another service. Judges CONFIG for requests sent later than config_ms after its ack.
#include "StandIns.h"

using namespace review;

namespace {

constexpr int members = 4;
constexpr double changePause = 0.33; // The site's config_storm.
constexpr int changes = 6;
constexpr double silenceSeconds = 4.5;
constexpr double stableWindow = 3; // stable_window_ms
constexpr double configBound = 2; // config_ms
constexpr int requestsEach = 10;

std::string routing(int version, const std::string& service)
{
    std::array<char, 16> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x", static_cast<unsigned>(version));
    const std::string upstream = R"({"health_path":"/health","max_connections":220,"protocol":"h1","tls":false})";
    return std::string(R"({"version":")") + digits.data()
        + R"(","routes":{"stems":{"host":"jingles.example","prefix":"/stems/","kind":"idempotent",)"
          R"("timeout_ms":1200,"target_latency_ms":300,"priority":2,"max_attempts":2,"service":")"
        + service + R"("}},"services":{"vault":)" + upstream + R"(,"catalog":)" + upstream + "}," + limitsOfCallers
        + "}";
}

int run(const std::string& program, Record& record)
{
    // Never destroyed: their threads serve until the process ends.
    auto& store = *new Store(loopback(1));
    auto& vault = *new Endpoint({ "i-vault", "vault", 3, 6, 0.02, true }, loopback(2), record);
    auto& catalog = *new Endpoint({ "i-catalog", "catalog", 3, 6, 0.02, true }, loopback(3), record);
    int version = 1;
    store.put("op/config", routing(version, "vault"));
    store.put("servers/" + vault.id(), vault.entry("cairo-a", "ready"));
    store.put("servers/" + catalog.id(), catalog.entry("cairo-a", "ready"));
    Deployment deployment(program, store, "cairo-a", "cairo", members);
    if (!deployment.waitUntilReady())
        return statusCannotRun;
    record.line("%d members are ready", members);
    sleepFor(calmSeconds);
    for (int n = 0; n < changes; ++n) {
        store.put("op/config", routing(++version, "vault"));
        record.line("version %d acked", version);
        sleepFor(n + 1 < changes ? changePause : 0.1);
    }
    if (hasTrouble()) {
        record.line("the store falls silent");
        store.setSilent(true);
    }
    sleepFor(silenceSeconds);
    store.setSilent(false);
    record.line("the store answers; %d calls got no answer", store.callsUnanswered());
    sleepFor(stableWindow + 0.5);
    store.put("op/config", routing(++version, "catalog"));
    const double ackedAt = now();
    record.line("version %d acked: the route moves from vault to catalog", version);
    sleepUntil(ackedAt + configBound + 0.2);
    int late = 0;
    for (int n = 0; n < members * requestsEach; ++n) {
        const auto& member = deployment.memberOf(n);
        const auto id = "stems-" + std::to_string(n);
        Connection connection(member.caller());
        const double sentAt = now();
        connection.send("GET /stems/1 HTTP/1.1\r\nHost: jingles.example\r\nDogwoodhall-Attempt-Id: " + id
            + "\r\nDogwoodhall-Deadline-Ms: 1200\r\n\r\n");
        const auto response = connection.read(1.5);
        const bool isRunByOld = vault.fates().contains(id);
        late += isRunByOld ? 1 : 0;
        record.line("%s by %s: %.3f s after the ack, answer %d, %s", id.c_str(), member.name().c_str(),
            sentAt - ackedAt, response ? response->status() : 0,
            isRunByOld ? "CONFIG: run by the old service" : "not run by the old service");
        sleepFor(0.1);
    }
    record.line("%d of %d requests handled as only an older version allows", late, members * requestsEach);
    return late > 0 ? statusBroken : statusHeld;
}

} // namespace

int main(int argc, char** argv) { runCase(argc, argv, run); }
