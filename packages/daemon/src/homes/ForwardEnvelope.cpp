#include "dogwoodhall/daemon/homes/ForwardEnvelope.h"

#include <array>
#include <charconv>
#include <string>

namespace dogwoodhall {

namespace {

constexpr std::string_view purposeField = "Dogwoodhall-Purpose";
constexpr std::string_view serviceField = "Dogwoodhall-Service";
constexpr std::string_view dataCentreField = "Dogwoodhall-Data-Centre";
constexpr std::string_view ruleField = "Dogwoodhall-Rule";
constexpr std::string_view idempotentField = "Dogwoodhall-Idempotent";
constexpr std::string_view workClassField = "Dogwoodhall-Work-Class";
constexpr std::string_view priorityField = "Dogwoodhall-Priority";

constexpr std::array internalFields { purposeField, serviceField, dataCentreField, ruleField, idempotentField,
    workClassField, priorityField };
constexpr std::array<std::string_view, 3> purposeNames { "forward", "permit", "ticket" };

void add(HeaderFields& headerFields, std::string_view name, std::string_view value)
{
    headerFields.add(std::string(name), std::string(value));
}

std::optional<ForwardEnvelope::Purpose> readPurpose(std::string_view name)
{
    for (std::size_t n = 0; n < purposeNames.size(); ++n) {
        if (purposeNames[n] == name)
            return static_cast<ForwardEnvelope::Purpose>(n);
    }
    return std::nullopt;
}

} // namespace

void writeEnvelope(const ForwardEnvelope& envelope, HeaderFields& headerFields)
{
    add(headerFields, purposeField, purposeNames[static_cast<std::size_t>(envelope.purpose)]);
    add(headerFields, serviceField, envelope.pool.service.value());
    add(headerFields, dataCentreField, envelope.pool.dataCentre.value());
    add(headerFields, ruleField, envelope.route.rule.value());
    add(headerFields, idempotentField, envelope.route.isIdempotent ? "1" : "0");
    if (envelope.route.workClass)
        add(headerFields, workClassField, *envelope.route.workClass == WorkClass::Long ? "long" : "short");
    add(headerFields, priorityField, envelope.route.priority == Priority::Low ? "low" : "normal");
}

std::optional<ForwardEnvelope> readEnvelope(const HeaderFields& headerFields)
{
    const auto value = [&](std::string_view name) { return headerFields.find(name).value_or(""); };
    const auto purpose = readPurpose(value(purposeField));
    if (!purpose || value(serviceField).empty() || value(dataCentreField).empty())
        return std::nullopt;
    ForwardEnvelope envelope;
    envelope.purpose = *purpose;
    envelope.pool = { ServiceId(std::string(value(serviceField))), DataCentreId(std::string(value(dataCentreField))) };
    envelope.route.service = envelope.pool.service;
    envelope.route.rule = RuleId(std::string(value(ruleField)));
    envelope.route.isIdempotent = value(idempotentField) == "1";
    if (auto workClass = headerFields.find(workClassField))
        envelope.route.workClass = *workClass == "long" ? WorkClass::Long : WorkClass::Short;
    envelope.route.priority = value(priorityField) == "low" ? Priority::Low : Priority::Normal;
    return envelope;
}

void removeInternalFields(HeaderFields& headerFields)
{
    for (const auto name : internalFields)
        headerFields.remove(name);
}

} // namespace dogwoodhall
