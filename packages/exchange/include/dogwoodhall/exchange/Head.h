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

// Header fields in the order received. Names compare without regard to case.
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

// How the length of a body is known.
struct BodyLength {
    enum class Kind {
        None, // No body.
        Exact, // `bytes` long.
        Streamed, // Ends where the transfer coding or the stream ends.
    };
    Kind kind = Kind::None;
    ByteCount bytes;
};

// Heads hold end-to-end fields only; the connection's own fields (Connection, Transfer-Encoding, Content-Length and
// the like) are added and removed where a protocol is read or written.
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
    // The sender ends the connection after this answer. Set where an answer is read; a writer decides for itself.
    bool closesConnection = false;
};

// True for fields that hold for one connection only and must not be forwarded.
bool isHopByHop(std::string_view name);

// ASCII comparison without regard to case.
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
