#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"

#include <string>
#include <variant>
#include <vector>

namespace dogwoodhall {

enum class ChangeKind { Added, Removed, Changed };

// A changed field, named as in the declaration, with both values as text: numbers in decimal, durations in nanoseconds,
// lists separated by commas. An absent optional value is empty.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

// Fields are listed only for ChangeKind::Changed.
struct ServiceChange {
    ChangeKind kind;
    ServiceId service;
    std::vector<FieldChange> fields; // Includes "ruleOrder" if rules that both sides have are tried in another order.

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

// The differences between two configurations.
class ConfigurationDiff {
public:
    ConfigurationDiff(const ConfigurationContent& before, const ConfigurationContent& after);

    // The topology comes first, then the services ordered by id, each followed by its endpoints and rules. Endpoints
    // and rules of an added or removed service are listed as well.
    const std::vector<ConfigurationChange>& changes() const { return m_changes; }
    bool isEmpty() const { return m_changes.empty(); }

private:
    void compareServices(const ServiceDeclaration* before, const ServiceDeclaration* after);

    std::vector<ConfigurationChange> m_changes;
};

} // namespace dogwoodhall
