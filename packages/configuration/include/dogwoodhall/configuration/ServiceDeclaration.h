#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// One serving address of an upstream.
struct EndpointDeclaration {
    EndpointId id;
    HostId host;
    DataCentreId dataCentre;
    NetworkAddress address;
    SlotCount slots { 1 }; // Requests that it runs concurrently.
    std::uint32_t maxConnections = 200; // Connections that it accepts from all entry hosts together.

    friend bool operator==(const EndpointDeclaration&, const EndpointDeclaration&) = default;
};

// The treatment of matching requests. Rules are tried in order; the first match applies.
struct RuleDeclaration {
    RuleId id;
    std::vector<std::string> methods; // Empty: any method.
    std::string pathPrefix = "/";
    // Idempotent requests may be retried and hedged. Empty: by method (GET, HEAD and OPTIONS are).
    std::optional<bool> idempotent;
    // Empty: classified by measured duration and bytes.
    std::optional<WorkClass> workClass;
    Priority priority = Priority::Normal;
    // Maximum time until the start of the answer, queueing included.
    Duration deadline = std::chrono::seconds(10);

    friend bool operator==(const RuleDeclaration&, const RuleDeclaration&) = default;
};

// Limits of a service's pools.
struct PoolLimitsDeclaration {
    std::uint32_t queuePerSlot = 6; // Maximum queue length of a pool, in requests per slot; see docs/placement.md.
    Fraction longWorkShare { 0.5 }; // Share of a pool's slots that long work may occupy.
    Fraction retryShare { 0.1 }; // Retries and hedges relative to successes.
    Duration coldRamp = std::chrono::seconds(10); // Time until a new endpoint reaches its full share.

    friend bool operator==(const PoolLimitsDeclaration&, const PoolLimitsDeclaration&) = default;
};

struct ServiceDeclaration {
    ServiceId id;
    std::vector<std::string> hostNames; // Values of the Host header without port. Empty: any.
    std::string pathPrefix = "/";
    std::vector<EndpointDeclaration> endpoints;
    std::vector<RuleDeclaration> rules;
    PoolLimitsDeclaration limits;
    std::vector<RegionId> allowedRegions {}; // Requests are placed only in these. Empty: in any.

    friend bool operator==(const ServiceDeclaration&, const ServiceDeclaration&) = default;
};

} // namespace dogwoodhall
