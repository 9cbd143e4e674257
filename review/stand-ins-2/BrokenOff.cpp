// Clients send a download and three idempotent requests behind it on a kept connection, while some endpoints of the
// downloads break off a few of their answers.
//
//   broken-off RECORD FOLDER
//
// With TROUBLE=0 no answer is broken off.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int clients = 32;
constexpr int furtherRequests = 3;
constexpr int downloadEndpoints = 6;
constexpr int faultyEndpoints = 2; // A third; `garble` has a share of 0.35.
constexpr int brokenOffEach = 50; // Each 50th answer; `garble` has an x of 0.02.
constexpr std::size_t downloadBytes = 500'000;
constexpr int deadlineMs = 8000;
constexpr int playMs = 10'000;
constexpr int faultAtMs = 2000;
constexpr int faultMs = 5500; // The for_s of `garble`.
constexpr int allowedCuts = 3; // LOST: "more than three times".

struct Sent {
    std::string attempt;
    bool isDownload = false;
    bool isOnKeptConnection = false;
    bool isAnswered = false;
    bool isConnectionClosed = false;
};

std::vector<Sent> runClient(Record& record, const Address& address, int number, Clock::time_point end)
{
    std::vector<Sent> sent;
    Connection connection;
    bool isKept = false;
    while (Clock::now() < end) {
        if (!connection.isOpen()) {
            isKept = false;
            if (!connection.connect(address)) {
                sleepMs(50);
                continue;
            }
        }
        const auto first = sent.size();
        std::string text;
        for (int n = 0; n <= furtherRequests; ++n) {
            Sent request;
            request.attempt = "c" + std::to_string(number) + "-" + std::to_string(sent.size());
            request.isDownload = n == 0;
            request.isOnKeptConnection = isKept;
            text += requestText("GET", n == 0 ? "/maps/x" : "/read/x", request.attempt, deadlineMs);
            sent.push_back(std::move(request));
        }
        connection.write(text);
        bool isClosed = false;
        for (auto n = first; n < sent.size() && !isClosed; ++n) {
            const auto answer = connection.readMessage(true, deadlineMs + 2000);
            sent[n].isAnswered = answer && answer->isWhole;
            if (!sent[n].isAnswered) {
                isClosed = connection.lastRead() != Connection::Read::TimedOut;
                record.add("client %d: %s %s, the connection %s", number, sent[n].attempt.c_str(),
                    answer ? "has a part of its answer" : "has no answer", isClosed ? "is closed" : "is silent");
                for (auto k = n; k < sent.size(); ++k)
                    sent[k].isConnectionClosed = isClosed;
                break;
            }
            isClosed = equalsIgnoringCase(answer->field("Connection"), "close");
        }
        isKept = true;
        if (isClosed || !sent.back().isAnswered)
            connection.close();
    }
    return sent;
}

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store(record);
    std::atomic<int> brokenOff { 0 };
    std::atomic<bool> isFaultOn { false };
    std::vector<std::unique_ptr<Endpoint>> downloads;
    std::vector<std::unique_ptr<std::atomic<int>>> answers;
    for (int n = 0; n < downloadEndpoints; ++n) {
        answers.push_back(std::make_unique<std::atomic<int>>(0));
        auto& count = *answers.back();
        const bool isFaulty = isTrouble() && n < faultyEndpoints;
        const auto answer = [&, isFaulty](Endpoint& self, Connection& connection, const Message& request) {
            const auto attempt = request.field("Dogwoodhall-Attempt-Id");
            self.recordRun(attempt);
            sleepMs(150);
            const auto text = Endpoint::answerText(attempt, std::string(downloadBytes, 'm'));
            const bool breaksOff = isFaulty && isFaultOn && ++count % brokenOffEach == 0;
            if (!breaksOff)
                return connection.write(text);
            connection.write(text.data(), text.size() / 2);
            ++brokenOff;
            record.add("endpoint %s: breaks off its answer to %s", self.id().c_str(), attempt.c_str());
            return false;
        };
        downloads.push_back(std::make_unique<Endpoint>(record, "i-d" + std::to_string(n), 150, answer));
        store.put("servers/" + downloads.back()->id(), downloads.back()->entry("svc-d", "zone-a"));
    }
    std::vector<std::unique_ptr<Endpoint>> sound;
    for (int n = 0; n < 4; ++n) {
        sound.push_back(std::make_unique<Endpoint>(record, "i-s" + std::to_string(n), 200));
        sound.back()->slots = 64;
        store.put("servers/" + sound.back()->id(), sound.back()->entry("svc-s", "zone-a"));
    }
    std::vector<Route> routes { { "r-maps", "/maps/", "download", "svc-d" },
        { "r-read", "/read/", "idempotent", "svc-s" } };
    for (auto& route : routes)
        route.timeoutMs = deadlineMs;
    store.put("op/config", configuration(1, routes, {}, { "svc-d", "svc-s" }));
    Machine machine(record, store.address(), argv[2], {});
    machine.start();
    if (!machine.awaitReady())
        finish(2);
    sleepMs(5000); // In touch.

    const auto end = Clock::now() + std::chrono::milliseconds(playMs);
    std::vector<std::vector<Sent>> sent(clients);
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back([&, n] { sent[n] = runClient(record, machine.caller, n, end); });
    sleepMs(faultAtMs);
    isFaultOn = isTrouble();
    sleepMs(faultMs);
    isFaultOn = false;
    for (auto& thread : threads)
        thread.join();
    sleepMs(500);

    std::set<std::string> ran;
    for (auto& endpoint : sound) {
        for (const auto& [attempt, count] : endpoint->runs())
            ran.insert(attempt);
    }
    int cuts = 0;
    int answered = 0;
    for (const auto& requests : sent) {
        for (const auto& request : requests) {
            answered += request.isAnswered ? 1 : 0;
            const bool isCut = !request.isDownload && request.isOnKeptConnection && !request.isAnswered
                && request.isConnectionClosed && ran.contains(request.attempt);
            if (isCut) {
                ++cuts;
                record.add("cut: %s ran at a sound endpoint and has no answer", request.attempt.c_str());
            }
        }
    }
    const auto ended = machine.ended();
    record.add("result: %d answered, %d answers broken off by endpoints, %d requests passed on to a sound endpoint and "
               "cut, allowed %d; the process %s",
        answered, brokenOff.load(), cuts, allowedCuts, ended ? ("ended " + *ended).c_str() : "runs");
    machine.kill();
    if (answered == 0)
        finish(2);
    finish(cuts > allowedCuts || ended ? 1 : 0);
}
