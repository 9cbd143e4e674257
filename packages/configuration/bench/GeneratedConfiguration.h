#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/declarations/RecordParser.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

namespace dogwoodhall {

inline Record serviceRecord(int service, int endpoints, std::uint64_t revision)
{
    const auto name = "service-" + std::to_string(service);
    std::string value = R"({"service":")" + name + R"(","pathPrefix":"/)" + name + R"(","endpoints":[)";
    for (int n = 0; n < endpoints; ++n) {
        const auto id = name + "-" + std::to_string(n);
        value += std::string(n ? "," : "") + R"({"id":")" + id + R"(","host":"host-)" + std::to_string(service * 40 + n)
            + R"(","dataCentre":"dc-)" + std::to_string(n % 7) + R"(","address":"10.)" + std::to_string(service / 250)
            + "." + std::to_string(service % 250) + "." + std::to_string(n % 250) + R"(:8080","slots":3})";
    }
    value += R"(],"rules":[{"id":"lookups","methods":["GET"],"pathPrefix":"/)" + name
        + R"(/lookups","deadlineMs":2000}]})";
    return { RecordKey("services/" + name), Revision(revision), false, std::move(value) };
}

inline std::unique_ptr<ConfigurationInForce> makeConfiguration(int services, int endpoints)
{
    auto configuration = std::make_unique<ConfigurationInForce>(parseRecord);
    for (int n = 0; n < services; ++n) {
        const int count = endpoints / services + (n < endpoints % services ? 1 : 0);
        const auto outcome = configuration->offer(serviceRecord(n, count, static_cast<std::uint64_t>(n) + 1));
        if (outcome.result != OfferResult::Accepted) {
            std::printf("rejected: %s\n", outcome.reason.c_str());
            std::exit(1);
        }
    }
    return configuration;
}

} // namespace dogwoodhall
