// Callers send proper requests with a body, each in one write. The heads of one caller in six are 4,097 bytes long, for
// example because of a token. Judges DENIED. TROUBLE=0 makes these heads one byte shorter.
#include "StandIns.h"

using namespace review;

namespace {

constexpr int members = 3;
constexpr int requests = 120;
constexpr int shareOfLongHeads = 6; // One in six.
constexpr std::size_t longHead = 4097;
constexpr std::size_t bodyBytes = 4000;
constexpr double timeLimit = 1.5;

std::string routing()
{
    return R"({"version":"00000001","routes":{"claims":{"host":"jingles.example","prefix":"/claims/",)"
           R"("kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":1,"service":"claims",)"
           R"("max_attempts":2}},"services":{"claims":{"health_path":"/health","max_connections":220,)"
           R"("protocol":"h1","tls":false}},)"
        + limitsOfCallers + "}";
}

std::string makeRequest(const std::string& id, std::size_t headBytes)
{
    std::string body = "{\"grant\":\"" + id + "\",\"note\":\"";
    body += std::string(bodyBytes - body.size() - 2, 'n') + "\"}";
    std::string head = "POST /claims/1 HTTP/1.1\r\nHost: jingles.example\r\nDogwoodhall-Attempt-Id: " + id
        + "\r\nDogwoodhall-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (headBytes > 0) {
        head += "Authorization: Bearer ";
        head += std::string(headBytes - head.size() - 4, 't') + "\r\n";
    }
    return head + "\r\n" + body;
}

int run(const std::string& program, Record& record)
{
    // Never destroyed: their threads serve until the process ends.
    auto& store = *new Store(loopback(1));
    auto& first = *new Endpoint({ "i-claims-1", "claims", 3, 6, 0.05, true }, loopback(2), record);
    auto& second = *new Endpoint({ "i-claims-2", "claims", 3, 6, 0.05, true }, loopback(3), record);
    store.put("op/config", routing());
    store.put("servers/" + first.id(), first.entry("cairo-a", "ready"));
    store.put("servers/" + second.id(), second.entry("cairo-a", "ready"));
    Deployment deployment(program, store, "cairo-a", "cairo", members);
    if (!deployment.waitUntilReady())
        return statusCannotRun;
    record.line("%d members are ready", members);
    sleepFor(calmSeconds);
    const std::size_t headOfSome = hasTrouble() ? longHead : longHead - 1;
    int denied = 0;
    int served = 0;
    for (int n = 0; n < requests; ++n) {
        const auto id = "claim-" + std::to_string(n);
        const bool isLong = n % shareOfLongHeads == 0;
        Connection connection(deployment.memberOf(n).caller());
        const double sentAt = now();
        connection.send(makeRequest(id, isLong ? headOfSome : 0));
        const auto response = connection.read(timeLimit);
        const int status = response && response->isComplete ? response->status() : 0;
        const bool isOwn = response && response->field("Dogwoodhall-Response-Signature").empty();
        record.line("%s: head of %s, %s %d after %.3f s", id.c_str(),
            isLong ? std::to_string(headOfSome).c_str() : "usual length", isOwn ? "own answer" : "answer", status,
            now() - sentAt);
        served += status == 200 && !isOwn ? 1 : 0;
        const bool isPromise = status == 408 || status == 421 || status == 429;
        denied += isOwn && status >= 300 && status < 500 && !isPromise ? 1 : 0;
    }
    const int allowed = 5 + requests / 500;
    record.line("%d of %d requests served, %d denied, %d allowed", served, requests, denied, allowed);
    return denied > allowed ? statusBroken : statusHeld;
}

} // namespace

int main(int argc, char** argv) { runCase(argc, argv, run); }
