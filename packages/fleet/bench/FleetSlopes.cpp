// Prints the costs of Fleet: memory per member, and processor time and bytes of an exchange, of homeOf() and of a
// membership change.
#include "SettledFleet.h"
#include "SlopeFit.h"

#include <cstdlib>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

void printMemory()
{
    SlopeFit memory("memory of the member list", "bytes", "members");
    for (const int members : { 250, 500, 1000, 2000, 4000 }) {
        const double before = allocatedBytes();
        const auto fleet = makeFleet(members);
        fleet->homeOf({ ServiceId("a"), DataCentreId("dc-0") });
        memory.add(members, allocatedBytes() - before);
    }
    memory.print();
}

void printExchange()
{
    SlopeFit settled("tick, two requests out, two replies in, two requests answered; settled", "us", "members");
    SlopeFit churn("the same, where each request reports a restarted member", "us", "members");
    SlopeFit home("homeOf() in a data centre with a seventh of the members", "us", "members");
    for (const int members : { 250, 500, 1000, 2000, 4000 }) {
        const auto fleet = makeFleet(members);
        RandomEngine random(1);
        TimePoint now(1s);
        std::uint64_t incarnation = 1'764'800'000'000;
        const auto period = [&](bool isChurn) {
            now = now + 500ms;
            for (const auto& action : fleet->tick({ now, random })) {
                const auto* exchange = std::get_if<Exchange>(&action);
                if (!exchange)
                    continue;
                fleet->messageFor(exchange->member, now);
                auto reply = requestFrom(*fleet->find(exchange->member));
                reply.kind = GossipMessage::Kind::Reply;
                fleet->handle(reply, now);
            }
            for (int n = 1; n <= 2; ++n) {
                auto request = requestFrom(*fleet->find(memberOf(n).id));
                if (isChurn)
                    request.members.push_back(memberOf(3 + static_cast<int>(random() % 200), ++incarnation));
                fleet->handle(request, now);
            }
        };
        settled.add(members, microsecondsPerCall(200, [&](int) { period(false); }));
        churn.add(members, microsecondsPerCall(200, [&](int) { period(true); }));
        home.add(members, microsecondsPerCall(2000, [&](int n) {
            fleet->homeOf({ ServiceId("service-" + std::to_string(n)), DataCentreId("dc-3") });
        }));
    }
    settled.print();
    churn.print();
    home.print();
}

void printMessageSize()
{
    SlopeFit byClaim("gossip message without records", "bytes", "member updates");
    for (const int claims : { 0, 4, 8, 16 }) {
        auto message = requestFrom(memberOf(1));
        for (int n = 0; n < claims; ++n)
            message.members.push_back(memberOf(1000 + n));
        byClaim.add(claims, static_cast<double>(estimatedSize(message).count()));
    }
    byClaim.print();
    SlopeFit byLoad("gossip message without records", "bytes", "pool loads");
    for (const int loads : { 0, 2, 4, 8 }) {
        auto message = requestFrom(memberOf(1));
        message.poolLoads = poolLoads(static_cast<std::size_t>(loads));
        byLoad.add(loads, static_cast<double>(estimatedSize(message).count()));
    }
    byLoad.print();
}

} // namespace

int main()
{
    printMemory();
    printMessageSize();
    printExchange();
    return 0;
}
