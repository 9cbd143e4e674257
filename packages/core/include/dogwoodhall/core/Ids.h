#pragma once

#include "dogwoodhall/core/Revision.h"
#include "dogwoodhall/core/StrongId.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Names chosen by operators.
using RegionId = StrongId<struct RegionTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
using HostId = StrongId<struct HostTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using EndpointId = StrongId<struct EndpointTag, std::string>;
using RuleId = StrongId<struct RuleTag, std::string>;
using RouteId = StrongId<struct RouteTag, std::string>;
using RecordKey = StrongId<struct RecordKeyTag, std::string>;

// One running dogwoodhalld. Equal to the id of its host, since a host runs one daemon.
using MemberId = StrongId<struct MemberTag, std::string>;

// Distinguishes runs of the daemon on one host. Drawn at start-up; a later run has a higher value.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

// Identifies a request within one process.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
// One attempt of a caller, under an id chosen by the caller. Correlates the logs of several hosts.
using CallId = StrongId<struct CallTag, std::string>;
using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;

// One service in one data centre: the unit that has a home, a queue and a set of endpoints.
struct PoolId {
    ServiceId service;
    DataCentreId dataCentre;

    friend auto operator<=>(const PoolId&, const PoolId&) = default;
    friend bool operator==(const PoolId&, const PoolId&) = default;
};

// "service@dataCentre", for logs and status pages.
std::string toString(const PoolId&);

// 64-bit FNV-1a hash with a finalizer. Stable across processes, versions and platforms, unlike std::hash; members must
// agree on the home of a pool.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace dogwoodhall

template <> struct std::hash<dogwoodhall::PoolId> {
    std::size_t operator()(const dogwoodhall::PoolId& id) const noexcept
    {
        return dogwoodhall::stableHash(id.service.value(), dogwoodhall::stableHash(id.dataCentre.value()));
    }
};
