// A member gets SIGTERM. A request that it takes a second later reaches an endpoint that is full and never answers what
// it cannot queue; its service does not tell its load. Judges LOST: the connection must not end without an answer
// before the time limit.
#include "StandIns.h"

using namespace review;

namespace {

constexpr int members = 5;
constexpr int requestsEach = 2;
constexpr int graceSeconds = Deployment::graceSeconds;
constexpr double timeLimit = 6; // Also the route's timeout, as for downloads on espiga-pedidos-grown.
constexpr double sentAfterStop = 1;
constexpr double lastSentAfter = 0.1; // The requests of the stopping member, after the others.

struct Outcome {
    std::string id;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0; // 0: the connection ended or the time was up without a complete answer.
    bool isTimedOut = false;
};

std::string routing()
{
    return R"({"version":"00000001","routes":{"catalogues":{"host":"shop.example","prefix":"/catalogues/",)"
           R"("kind":"download","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"archive",)"
           R"("max_attempts":2}},"services":{"archive":{"health_path":"/health","max_connections":1160,)"
           R"("protocol":"h1","tls":false}},)"
        + limitsOfCallers + "}";
}

Outcome request(Connection& connection, const std::string& id)
{
    Outcome outcome { id, now(), 0, 0, false };
    connection.send("GET /catalogues/1 HTTP/1.1\r\nHost: shop.example\r\nDogwoodhall-Attempt-Id: " + id
        + "\r\nDogwoodhall-Deadline-Ms: " + std::to_string(static_cast<int>(timeLimit * 1000)) + "\r\n\r\n");
    const auto response = connection.read(timeLimit + 0.5);
    outcome.endedAt = now();
    outcome.isTimedOut = connection.isTimedOut();
    if (response && response->isComplete)
        outcome.status = response->status();
    return outcome;
}

int run(const std::string& program, Record& record)
{
    // Never destroyed: their threads serve until the process ends.
    auto& store = *new Store(loopback(1));
    auto& endpoint = *new Endpoint({ "i-archive-1", "archive", 4, 3, 0.3, false }, loopback(2), record);
    store.put("op/config", routing());
    store.put("servers/" + endpoint.id(), endpoint.entry("pampa-norte", "ready"));
    Deployment deployment(program, store, "pampa-norte", "pampa", members);
    if (!deployment.waitUntilReady())
        return statusCannotRun;
    record.line("%d members are ready", members);
    sleepFor(calmSeconds);
    std::vector<std::unique_ptr<Connection>> connections;
    for (int n = 0; n < members * requestsEach; ++n)
        connections.push_back(std::make_unique<Connection>(deployment.memberOf(n).caller()));
    const double stoppedAt = now();
    if (hasTrouble()) {
        record.line("SIGTERM to %s; grace_s is %d", deployment.memberOf(0).name().c_str(), graceSeconds);
        deployment.memberOf(0).signal(SIGTERM);
    }
    sleepUntil(stoppedAt + sentAfterStop);
    std::vector<Outcome> outcomes(connections.size());
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < connections.size(); ++n)
        threads.emplace_back([&, n] {
            if (n % members == 0)
                sleepFor(lastSentAfter);
            outcomes[n] = request(*connections[n], "edge-" + std::to_string(n % members) + "-" + std::to_string(n));
        });
    for (auto& thread : threads)
        thread.join();
    const auto fates = endpoint.fates();
    int passedOn = 0;
    int lost = 0;
    for (std::size_t n = 0; n < outcomes.size(); ++n) {
        const auto& it = outcomes[n];
        const auto found = fates.find(it.id);
        const bool isPassedOn = found != fates.end();
        passedOn += isPassedOn ? 1 : 0;
        record.line("%s: sent at %.3f, %s after %.3f s", it.id.c_str(), it.sentAt,
            it.status ? ("answered " + std::to_string(it.status)).c_str()
                      : (it.isTimedOut ? "unanswered" : "connection ended without an answer"),
            it.endedAt - it.sentAt);
        if (it.status || !isPassedOn || it.endedAt - it.sentAt >= timeLimit)
            continue;
        // Excused by the rule: the endpoint was still at work in the last sixth of grace_s.
        const auto& fate = found->second;
        const double lastSixth = stoppedAt + graceSeconds * 5.0 / 6;
        const bool wasAtWork = fate.workedFrom && fate.workedUntil.value_or(now()) >= lastSixth;
        if (!wasAtWork) {
            ++lost;
            record.line("LOST: %s was passed on, its endpoint was not at work, its time limit was %.1f s away",
                it.id.c_str(), it.sentAt + timeLimit - it.endedAt);
        }
    }
    record.line("%d of %zu requests passed on, %d lost", passedOn, outcomes.size(), lost);
    return lost > 0 ? statusBroken : statusHeld;
}

} // namespace

int main(int argc, char** argv) { runCase(argc, argv, run); }
