#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"

#include <string>
#include <variant>
#include <vector>

namespace dogwoodhall {

enum class ChangeKind { Added, Removed, Changed };

// A field under its name in the declaration, with both values as text: numbers in decimal, durations in nanoseconds,
// lists with commas. An absent optional value is empty.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

// Fields are listed for changes only.
struct ServiceChange {
    ChangeKind kind;
    ServiceId service;
    std::vector<FieldChange> fields; // "ruleOrder" where rules that both have are tried in another order.

    friend bool operator==(const ServiceChange&, const ServiceChange&) = default;
};

struct EndpointChange {
    ChangeKind kind;
    ServiceId service;
    EndpointId endpoint;
    std::vector<FieldChange> fields;

    friend bool operator==(const EndpointChange&, const EndpointChange&) = default;
};

struct RuleChange {
    ChangeKind kind;
    ServiceId service;
    RuleId rule;
    std::vector<FieldChange> fields;

    friend bool operator==(const RuleChange&, const RuleChange&) = default;
};

struct TopologyChange {
    std::vector<FieldChange> fields;

    friend bool operator==(const TopologyChange&, const TopologyChange&) = default;
};

using ConfigurationChange = std::variant<TopologyChange, ServiceChange, EndpointChange, RuleChange>;

struct ConfigurationContent {
    std::vector<ServiceDeclaration> services;
    TopologyDeclaration topology;
};

// What differs between two configurations.
class ConfigurationDiff {
public:
    ConfigurationDiff(const ConfigurationContent& before, const ConfigurationContent& after);

    // By service, in order of ids: the service, its endpoints, its rules. Endpoints and rules of an added or removed
    // service are listed as well. The topology comes first.
    const std::vector<ConfigurationChange>& changes() const { return m_changes; }
    bool isEmpty() const { return m_changes.empty(); }

private:
    void compareServices(const ServiceDeclaration* before, const ServiceDeclaration* after);

    std::vector<ConfigurationChange> m_changes;
};

} // namespace dogwoodhall
