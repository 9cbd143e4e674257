#pragma once

#include "dogwoodhall/declarations/JsonDocument.h"

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>
#include <limits>

namespace dogwoodhall {

// Builds a JsonNode from the events of boost::json::basic_parser. The parser does not report offsets, so the handler
// tracks its own position in the text: events arrive in the order of the tokens, and the text before an event is known
// to be valid.
class JsonTreeHandler {
public:
    using Error = boost::json::error_code;
    using Text = boost::json::string_view;

    // The handler's error for too many values; basic_parser itself only uses this code for max_array_size.
    static constexpr auto tooManyValues = boost::json::error::array_too_large;

    // basic_parser prescribes the names of the limits and of the event functions.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = max_object_size;
    static constexpr std::size_t max_key_size = max_object_size;
    static constexpr std::size_t max_string_size = max_object_size;

    JsonTreeHandler(std::string_view text, std::size_t maxValues)
        : m_text(text)
        , m_valuesLeft(maxValues)
    {
    }

    JsonNode takeRoot() { return std::move(m_root); }

    // Returns the offset of the second byte of a malformed comment after the last token.
    std::size_t findMalformedComment();

    bool on_document_begin(Error&) { return true; }
    bool on_document_end(Error&) { return true; }
    bool on_object_begin(Error& ec) { return open(JsonNode::Kind::Object, ec); }
    bool on_object_end(std::size_t, Error&) { return close(); }
    bool on_array_begin(Error& ec) { return open(JsonNode::Kind::Array, ec); }
    bool on_array_end(std::size_t, Error&) { return close(); }
    bool on_key_part(Text, std::size_t, Error&);
    bool on_key(Text, std::size_t, Error&);
    bool on_string_part(Text, std::size_t, Error&);
    bool on_string(Text, std::size_t, Error&);
    bool on_number_part(Text, Error&) { return true; }
    bool on_int64(std::int64_t, Text, Error&);
    bool on_uint64(std::uint64_t, Text, Error&);
    bool on_double(double, Text, Error&);
    bool on_bool(bool, Error&);
    bool on_null(Error&);
    bool on_comment_part(Text, Error&) { return true; }
    bool on_comment(Text, Error&) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    bool open(JsonNode::Kind, Error&);
    bool close();
    // Returns null and sets the error if the text contains too many values.
    JsonNode* append(JsonNode::Kind, Error&);
    void skipSeparators();
    bool skipComment();
    void skipString();
    void skipLiteral();

    std::string_view m_text;
    std::size_t m_valuesLeft;
    std::size_t m_offset = 0;
    JsonNode m_root;
    // Open arrays and objects, outermost first. A node's address is stable while it is open, because its siblings are
    // appended only after it is closed.
    std::vector<JsonNode*> m_open;
    std::string m_partial; // A key or string that has been received in part.
};

} // namespace dogwoodhall
