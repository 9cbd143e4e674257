// Clients that send requests ahead keep their connections busy and later send a request with a large head, which is
// within the limit in force.
//
//   large-heads raised|field RECORD FOLDER
//
// raised: the operator has raised max_header_bytes meanwhile. With TROUBLE=0 the larger limit is in force from the
// start. field: no change; one field of the head is larger than 64 KB. With TROUBLE=0 the field is smaller than that.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int clients = 8;
constexpr int serviceMs = 300;
constexpr int configMs = 2000;
constexpr int deadlineMs = 5000;
constexpr int allowedCuts = 3; // LOST: "more than three times".

struct Plan {
    int formerHeaderBytes = 0;
    int headerBytes = 0;
    int fieldBytes = 0;
};

struct Sent {
    std::string attempt;
    bool isLarge = false;
    bool isAnswered = false;
    int status = 0;
};

// Keeps two requests in progress until `end`; the one sent first after `largeAt` has a large head.
std::vector<Sent> runClient(Record& record, const Address& address, int number, int fieldBytes,
    Clock::time_point largeAt, Clock::time_point end)
{
    std::vector<Sent> sent;
    Connection connection;
    if (!connection.connect(address))
        return sent;
    bool isLargeSent = false;
    const auto send = [&] {
        Sent request;
        request.attempt = "c" + std::to_string(number) + "-" + std::to_string(sent.size());
        request.isLarge = !isLargeSent && Clock::now() >= largeAt;
        isLargeSent = isLargeSent || request.isLarge;
        const auto field = request.isLarge ? "Cookie: " + std::string(fieldBytes, 'a') + "\r\n" : std::string();
        record.add(
            "client %d: sends %s%s", number, request.attempt.c_str(), request.isLarge ? " with a large head" : "");
        connection.write(requestText("GET", "/read/x", request.attempt, deadlineMs, field));
        sent.push_back(std::move(request));
    };
    send();
    sleepMs(serviceMs / 2); // One request is always at work while the next is sent.
    send();
    std::size_t next = 0;
    while (next < sent.size()) {
        if (sent.size() - next < 2 && Clock::now() < end)
            send();
        const auto answer = connection.readMessage(true, deadlineMs + 2000);
        if (!answer || !answer->isWhole) {
            record.add("client %d: connection ends without an answer to %s", number, sent[next].attempt.c_str());
            break;
        }
        sent[next].isAnswered = true;
        sent[next].status = answer->status();
        record.add("client %d: %s gets %d", number, sent[next].attempt.c_str(), answer->status());
        ++next;
        if (equalsIgnoringCase(answer->field("Connection"), "close"))
            break;
    }
    return sent;
}

} // namespace

int main(int, char** argv)
{
    const bool isRaise = std::string(argv[1]) == "raised";
    const Plan plan = isRaise ? Plan { isTrouble() ? 16384 : 32768, 32768, 30 * 1024 }
                              : Plan { 131072, 131072, (isTrouble() ? 70 : 60) * 1024 };
    Record record(argv[2]);
    Store store(record);
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int n = 0; n < 4; ++n) {
        endpoints.push_back(std::make_unique<Endpoint>(record, "i-" + std::to_string(n), serviceMs));
        store.put("servers/" + endpoints.back()->id(), endpoints.back()->entry("svc-a", "zone-a"));
    }
    const std::vector<Route> routes { { "r-read", "/read/", "idempotent" } };
    Limits limits;
    limits.headerBytes = plan.formerHeaderBytes;
    store.put("op/config", configuration(1, routes, limits, { "svc-a" }));
    Machine machine(record, store.address(), argv[3], {});
    machine.start();
    if (!machine.awaitReady())
        finish(2);
    sleepMs(5000); // In touch.

    const auto begin = Clock::now();
    const auto largeAt = begin + std::chrono::milliseconds(2000 + configMs + 2000);
    const auto end = largeAt + std::chrono::seconds(2);
    std::vector<std::vector<Sent>> sent(clients);
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back([&, n] { sent[n] = runClient(record, machine.caller, n, plan.fieldBytes, largeAt, end); });
    sleepMs(2000);
    if (plan.headerBytes != plan.formerHeaderBytes) {
        limits.headerBytes = plan.headerBytes;
        store.put("op/config", configuration(2, routes, limits, { "svc-a" }));
    }
    for (auto& thread : threads)
        thread.join();
    sleepMs(500);

    std::set<std::string> ran;
    for (auto& endpoint : endpoints) {
        for (const auto& [attempt, count] : endpoint->runs())
            ran.insert(attempt);
    }
    int cuts = 0;
    int answered = 0;
    for (const auto& requests : sent) {
        for (const auto& request : requests) {
            answered += request.isAnswered ? 1 : 0;
            if (!request.isAnswered && ran.contains(request.attempt)) {
                ++cuts;
                record.add("cut: %s ran at an endpoint and has no answer", request.attempt.c_str());
            }
        }
    }
    const auto ended = machine.ended();
    record.add("result: %d answered, %d passed on and cut, allowed %d; the process %s", answered, cuts, allowedCuts,
        ended ? ("ended " + *ended).c_str() : "runs");
    machine.kill();
    if (answered == 0)
        finish(2);
    finish(cuts > allowedCuts || ended ? 1 : 0);
}
