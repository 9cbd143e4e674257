#pragma once

#include "dogwoodhall/declarations/Problem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dogwoodhall {

struct JsonMember;

// A JSON value with its position in the text. Members keep their order, and duplicates are kept so that validation can
// report them.
struct JsonNode {
    enum class Kind : std::uint8_t {
        Null,
        Boolean,
        Number,
        String,
        Array,
        Object,
    };

    Kind kind = Kind::Null;
    std::size_t begin = 0; // Offset of the first byte; `end` is the offset past the last byte.
    std::size_t end = 0;
    bool boolean = false;
    double number = 0;
    std::optional<std::int64_t> integer; // Set if the number is an integer that fits.
    std::string text;
    std::vector<JsonNode> items;
    std::vector<JsonMember> members;

    // Returns the first member with that name, or null.
    const JsonNode* find(std::string_view name) const;
};

struct JsonMember {
    std::string name;
    std::size_t begin = 0; // Offset of the name's opening quote.
    JsonNode value;
};

// Documents with deeper nesting are rejected, so that no input can exhaust the stack. Records use 5 levels, bundles 7.
inline constexpr std::size_t maxJsonDepth = 16;

// A text may contain one value per 10 bytes of its size limit. Each value takes about 140 bytes of memory, so a 1 MB
// record of "1,1,1" would otherwise exceed the 128 MB memory limit of a daemon. The smallest valid endpoint has 5
// values in 53 bytes.
inline constexpr std::size_t minJsonBytesPerValue = 10;

// Parses JSON with comments. Returns a single problem, with line and column, if the text is larger than `maxBytes`,
// contains too many values for that limit, is nested too deeply or is malformed.
tl::expected<JsonNode, Problem> readJson(std::string_view text, std::size_t maxBytes, const std::string& file);

// Maps byte offsets in a text to lines and columns, which count from 1.
class LineTable {
public:
    struct Position {
        std::size_t line;
        std::size_t column;
    };

    explicit LineTable(std::string_view text);
    Position at(std::size_t offset) const;

private:
    std::vector<std::size_t> m_lineStarts; // Offset of each line's first byte.
};

} // namespace dogwoodhall
