#pragma once

#include "dogwoodhall/core/Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

struct HeaderField {
    std::string name;
    std::string value;
};

// Header fields in the order received. Names are case-insensitive.
class HeaderFields {
public:
    void add(std::string name, std::string value);
    void set(std::string name, std::string value);
    void remove(std::string_view name);

    // Value of the first field with this name.
    std::optional<std::string_view> find(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    std::size_t size() const { return m_fields.size(); }

private:
    std::vector<HeaderField> m_fields;
};

// How the end of a body is determined.
struct BodyLength {
    enum class Kind {
        None, // No body.
        Exact, // `bytes` long.
        Streamed, // Delimited by the transfer coding or the end of the stream.
    };
    Kind kind = Kind::None;
    ByteCount bytes;
};

// Heads contain only end-to-end fields. Connection-specific fields (Connection, Transfer-Encoding, Content-Length etc.)
// are added and removed by the protocol implementations.
struct RequestHead {
    std::string method;
    std::string target;
    HeaderFields fields;
    BodyLength bodyLength;
};

struct ResponseHead {
    unsigned status = 0;
    HeaderFields fields;
    BodyLength bodyLength;
    // The sender closes the connection after this response. Set when a response is read; ignored when one is written.
    bool closesConnection = false;
};

// True for fields that apply to a single connection and must not be forwarded.
bool isHopByHop(std::string_view name);

// ASCII case-insensitive comparison.
bool equalsIgnoringCase(std::string_view, std::string_view);

namespace fields {
inline constexpr std::string_view error = "Dogwoodhall-Error";
inline constexpr std::string_view outcome = "Dogwoodhall-Outcome";
inline constexpr std::string_view deadlineMs = "Dogwoodhall-Deadline-Ms";
inline constexpr std::string_view ticket = "Dogwoodhall-Ticket";
inline constexpr std::string_view refused = "Dogwoodhall-Refused";
inline constexpr std::string_view load = "Dogwoodhall-Load";
inline constexpr std::string_view draining = "Dogwoodhall-Draining";
inline constexpr std::string_view exchange = "Dogwoodhall-Exchange";
inline constexpr std::string_view traceParent = "traceparent";
} // namespace fields

} // namespace dogwoodhall
