#pragma once

#include "dogwoodhall/exchange/Head.h"

#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// A head in the form that nghttp2 sends.
class HeaderBlock {
public:
    HeaderBlock(const RequestHead&, std::string authority);
    explicit HeaderBlock(const ResponseHead&);

    // Valid while this object lives and is not changed.
    std::vector<nghttp2_nv> view() const;

    std::size_t byteCount() const; // Names and values.

private:
    void add(std::string_view name, std::string value);
    void addFields(const HeaderFields&, BodyLength);

    std::vector<HeaderField> m_fields;
};

// A head as it arrives, field by field.
struct ReceivedHead {
    // Takes pseudo-header and end-to-end fields; leaves out the fields of the connection.
    void add(std::string_view name, std::string_view value);

    BodyLength bodyLength() const;
    RequestHead toRequest() &&;
    ResponseHead toResponse() &&;

    std::string method;
    std::string target;
    unsigned status = 0;
    std::optional<std::uint64_t> contentLength;
    HeaderFields fields;
    std::size_t byteCount = 0; // Names and values.
    bool endsStream = false; // No body follows.
};

} // namespace dogwoodhall
