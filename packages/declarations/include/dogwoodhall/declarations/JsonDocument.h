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

// A JSON value with its place in the text. Members keep their order and their duplicates, so that a checker can report
// them.
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
    std::size_t begin = 0; // Offsets of the first byte and past the last byte.
    std::size_t end = 0;
    bool boolean = false;
    double number = 0;
    std::optional<std::int64_t> integer; // Set where the number is whole and fits.
    std::string text;
    std::vector<JsonNode> items;
    std::vector<JsonMember> members;

    // The first member with that name, or null.
    const JsonNode* find(std::string_view name) const;
};

struct JsonMember {
    std::string name;
    std::size_t begin = 0; // Offset of the name's opening quote.
    JsonNode value;
};

// Deeper documents are rejected, so that no input can exhaust the stack. Records use 5 levels, bundles 7.
inline constexpr std::size_t maxJsonDepth = 16;

// A text may hold one value for each 10 bytes of its limit. A value takes about 140 bytes of memory, so that a record
// of 1 MB of "1,1,1" would take more than the 128 MB that a daemon has. The smallest endpoint has 5 values in 53 bytes.
inline constexpr std::size_t minJsonBytesPerValue = 10;

// Reads JSON with comments. A text that is larger than `maxBytes`, holds too many values for that limit, is nested too
// deeply or malformed is one problem, with line and column.
tl::expected<JsonNode, Problem> readJson(std::string_view text, std::size_t maxBytes, const std::string& file);

// Lines and columns of a text, from 1.
class LineTable {
public:
    struct Position {
        std::size_t line;
        std::size_t column;
    };

    explicit LineTable(std::string_view text);
    Position at(std::size_t offset) const;

private:
    std::vector<std::size_t> m_starts; // Offset of each line's first byte.
};

} // namespace dogwoodhall
