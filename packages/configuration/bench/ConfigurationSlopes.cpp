// Prints the costs of the configuration: memory per endpoint and service, and processor time per change.
#include "GeneratedConfiguration.h"
#include "SlopeFit.h"
#include "dogwoodhall/configuration/ConfigurationDiff.h"

#include <cstdlib>

using namespace dogwoodhall;

namespace {

double memoryOf(int services, int endpoints)
{
    const double before = allocatedBytes();
    const auto configuration = makeConfiguration(services, endpoints);
    return allocatedBytes() - before;
}

void printMemory()
{
    SlopeFit byEndpoint("memory in 1,200 services", "bytes", "endpoints");
    for (const int endpoints : { 3500, 7000, 14'000, 28'000, 56'000 })
        byEndpoint.add(endpoints, memoryOf(1200, endpoints));
    byEndpoint.print();
    SlopeFit byService("memory of 28,000 endpoints", "bytes", "services");
    for (const int services : { 300, 600, 1200, 2400, 4800 })
        byService.add(services, memoryOf(services, 28'000));
    byService.print();
}

void printChange()
{
    SlopeFit offer("offer of a record of 23 endpoints", "us", "services");
    SlopeFit since("recordsSince() of one record", "us", "services");
    SlopeFit share("sharedServices()", "us", "services");
    SlopeFit copy("services()", "us", "services");
    for (const int services : { 300, 1200, 2400, 4800 }) {
        const auto configuration = makeConfiguration(services, services * 23);
        std::uint64_t revision = static_cast<std::uint64_t>(services);
        offer.add(services, microsecondsPerCall(300, [&](int n) {
            configuration->offer(serviceRecord(n * 7 % services, 23, ++revision));
        }));
        since.add(services, microsecondsPerCall(1000, [&](int) {
            if (configuration->recordsSince(Revision(revision - 1)).size() != 1)
                std::abort();
        }));
        share.add(services, microsecondsPerCall(100, [&](int) { configuration->sharedServices(); }));
        copy.add(services, microsecondsPerCall(5, [&](int) { configuration->services(); }));
    }
    for (const auto* fit : { &offer, &since, &share, &copy })
        fit->print();
    SlopeFit parse("offer in 1,200 services", "us", "endpoints of the record");
    const auto configuration = makeConfiguration(1200, 28'000);
    std::uint64_t revision = 1200;
    for (const int endpoints : { 1, 23, 100, 400 }) {
        parse.add(endpoints,
            microsecondsPerCall(50, [&](int n) { configuration->offer(serviceRecord(n, endpoints, ++revision)); }));
    }
    parse.print();
}

void printRecordSize()
{
    SlopeFit size("text of a service record", "bytes", "endpoints of the record");
    for (const int endpoints : { 1, 23, 100, 400 })
        size.add(endpoints, static_cast<double>(serviceRecord(17, endpoints, 1).value.size()));
    size.print();
}

void printDiff()
{
    SlopeFit diff("diff of two configurations", "us", "endpoints");
    for (const int services : { 300, 600, 1200 }) {
        const ConfigurationContent content { makeConfiguration(services, services * 23)->services(), {} };
        diff.add(services * 23.0, microsecondsPerCall(2, [&](int) {
            if (!ConfigurationDiff(content, content).isEmpty())
                std::abort();
        }));
    }
    diff.print();
}

} // namespace

int main()
{
    printMemory();
    printRecordSize();
    printChange();
    printDiff();
    return 0;
}
