#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dogwoodhall {

// A typed id that cannot be confused with an id of another kind. Tag is an empty struct that names the kind; Value is
// the representation, an integer or std::string.
template <typename Tag, typename Value> class StrongId {
public:
    using ValueType = Value;

    StrongId() = default;
    explicit StrongId(Value value)
        : m_value(std::move(value))
    {
    }

    const Value& value() const { return m_value; }

    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    Value m_value {};
};

} // namespace dogwoodhall

template <typename Tag, typename Value> struct std::hash<dogwoodhall::StrongId<Tag, Value>> {
    std::size_t operator()(const dogwoodhall::StrongId<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};
