// Prints the costs of encoding and decoding a gossip message, and its encoded and estimated size, by its parts.
#include "SettledFleet.h"
#include "SlopeFit.h"
#include "dogwoodhall/wire/GossipCodec.h"

#include <cstdlib>
#include <functional>

using namespace dogwoodhall;

namespace {

void printBy(const char* part, std::initializer_list<int> counts, const std::function<void(GossipMessage&, int)>& add)
{
    SlopeFit size("encoded message", "bytes", part);
    SlopeFit estimate("estimate of its size", "bytes", part);
    SlopeFit encoding("encoding", "us", part);
    SlopeFit decoding("decoding", "us", part);
    for (const int count : counts) {
        auto message = requestFrom(memberOf(1));
        message.dataCentreRoster = message.fleetRoster = 0x0123'4567'89ab'cdef;
        add(message, count);
        const std::string text = encode(message);
        size.add(count, static_cast<double>(text.size()));
        estimate.add(count, static_cast<double>(estimatedSize(message).count()));
        encoding.add(count, microsecondsPerCall(1000, [&](int) { encode(message); }));
        decoding.add(count, microsecondsPerCall(1000, [&](int) {
            if (!decode(text))
                std::abort();
        }));
    }
    for (const auto* fit : { &size, &estimate, &encoding, &decoding })
        fit->print();
}

} // namespace

int main()
{
    printBy("member updates", { 0, 4, 8, 16 }, [](GossipMessage& message, int count) {
        for (int n = 0; n < count; ++n)
            message.members.push_back(memberOf(1000 + n));
    });
    printBy("pool loads", { 0, 2, 4, 8 },
        [](GossipMessage& message, int count) { message.poolLoads = poolLoads(static_cast<std::size_t>(count)); });
    printBy("records of 2,500 bytes", { 0, 1, 2, 3 }, [](GossipMessage& message, int count) {
        for (int n = 0; n < count; ++n) {
            message.records.push_back({ RecordKey("services/service-" + std::to_string(n)),
                Revision(static_cast<std::uint64_t>(n) + 1), false, std::string(2500, 'x') });
        }
    });
    return 0;
}
