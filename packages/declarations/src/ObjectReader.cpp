#include "ObjectReader.h"

#include "dogwoodhall/declarations/NearestName.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace dogwoodhall {

namespace {

std::string formatDecimal(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string quoted(const std::string& name) { return "\"" + name + "\""; }

} // namespace

ObjectReader::ObjectReader(CheckContext& context, const JsonNode& node, std::string pointer)
    : m_context(context)
    , m_node(node)
    , m_pointer(std::move(pointer))
{
    if (m_node.kind != JsonNode::Kind::Object)
        m_context.report(m_node, m_pointer, "an object");
    reportDuplicates();
}

void ObjectReader::reportDuplicates()
{
    std::set<std::string> names;
    for (const auto& member : m_node.members) {
        if (!names.insert(member.name).second) {
            m_context.report(
                member.begin, pointerTo(member.name), "each field once", "field " + quoted(member.name) + " again");
        }
    }
}

const JsonNode* ObjectReader::findField(const std::string& name, Presence presence, std::string_view expected)
{
    m_known.push_back(name);
    const auto* value = m_node.find(name);
    // If the value is not an object, this has already been reported, so its missing fields are not reported as well.
    if (!value && presence == Presence::Required && m_node.kind == JsonNode::Kind::Object) {
        m_context.report(
            m_node.begin, m_pointer, "field " + quoted(name) + ", " + std::string(expected), "no such field");
    }
    return value;
}

std::optional<std::string> ObjectReader::text(const std::string& name, Presence presence, const TextRule& rule)
{
    const auto* value = findField(name, presence, rule.expected);
    if (!value)
        return std::nullopt;
    if (value->kind != JsonNode::Kind::String || !rule.accepts(value->text)) {
        m_context.report(*value, pointerTo(name), rule.expected);
        return std::nullopt;
    }
    return value->text;
}

std::optional<std::int64_t> ObjectReader::integer(const std::string& name, Presence presence, IntegerRange range)
{
    const auto expected = "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
    const auto* value = findField(name, presence, expected);
    if (!value)
        return std::nullopt;
    if (value->kind != JsonNode::Kind::Number || !value->integer || *value->integer < range.min
        || *value->integer > range.max) {
        m_context.report(*value, pointerTo(name), expected);
        return std::nullopt;
    }
    return value->integer;
}

std::optional<double> ObjectReader::decimal(const std::string& name, Presence presence, DecimalRange range)
{
    const auto expected = "a number from " + formatDecimal(range.min) + " to " + formatDecimal(range.max);
    const auto* value = findField(name, presence, expected);
    if (!value)
        return std::nullopt;
    if (value->kind != JsonNode::Kind::Number || !std::isfinite(value->number) || value->number < range.min
        || value->number > range.max) {
        m_context.report(*value, pointerTo(name), expected);
        return std::nullopt;
    }
    return value->number;
}

std::optional<bool> ObjectReader::boolean(const std::string& name, Presence presence)
{
    const auto* value = findField(name, presence, "true or false");
    if (!value)
        return std::nullopt;
    if (value->kind != JsonNode::Kind::Boolean) {
        m_context.report(*value, pointerTo(name), "true or false");
        return std::nullopt;
    }
    return value->boolean;
}

std::vector<std::string> ObjectReader::texts(const std::string& name, const TextRule& rule)
{
    std::vector<std::string> values;
    UniqueValues unique(m_context, "value");
    array(name, Presence::Optional, [&](const JsonNode& item, const std::string& pointer) {
        if (item.kind != JsonNode::Kind::String || !rule.accepts(item.text)) {
            m_context.report(item, pointer, rule.expected);
            return;
        }
        unique.add(&item, pointer);
        values.push_back(item.text);
    });
    return values;
}

void ObjectReader::array(const std::string& name, Presence presence, const ReadItem& read)
{
    const auto* value = findField(name, presence, "an array");
    if (!value)
        return;
    if (value->kind != JsonNode::Kind::Array) {
        m_context.report(*value, pointerTo(name), "an array");
        return;
    }
    for (std::size_t n = 0; n < value->items.size(); ++n)
        read(value->items[n], childPointer(pointerTo(name), n));
}

void ObjectReader::object(const std::string& name, Presence presence, const ReadItem& read)
{
    const auto* value = findField(name, presence, "an object");
    if (value)
        read(*value, pointerTo(name));
}

void ObjectReader::declareFieldsOfVersion(std::string version, std::vector<std::string> names)
{
    m_otherVersion = std::move(version);
    m_fieldsOfOtherVersion = std::move(names);
}

std::string ObjectReader::expectedForUnknownField(const std::string& name) const
{
    if (contains(m_fieldsOfOtherVersion, name))
        return m_otherVersion + " for this field";
    if (auto nearest = nearestName(name, m_known))
        return "a known field; the nearest is " + quoted(*nearest);
    std::string expected = "one of the fields";
    for (const auto& known : m_known)
        expected += (&known == &m_known.front() ? " " : ", ") + known;
    return expected;
}

void ObjectReader::finish()
{
    for (const auto& member : m_node.members) {
        if (!contains(m_known, member.name)) {
            m_context.report(member.begin, pointerTo(member.name), expectedForUnknownField(member.name),
                "unknown field " + quoted(member.name));
        }
    }
}

} // namespace dogwoodhall
