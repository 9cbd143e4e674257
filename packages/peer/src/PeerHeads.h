#pragma once

#include "dogwoodhall/exchange/Head.h"

#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// A message head in the representation used by nghttp2.
class HeaderBlock {
public:
    HeaderBlock(const RequestHead&, std::string authority);
    explicit HeaderBlock(const ResponseHead&);

    // Valid until this object is modified or destroyed.
    std::vector<nghttp2_nv> view() const;

    std::size_t byteCount() const; // Total size of names and values.

private:
    void add(std::string_view name, std::string value);
    void addFields(const HeaderFields&, BodyLength);

    std::vector<HeaderField> m_fields;
};

// Accumulates the fields of a received message head.
struct ReceivedHead {
    // Stores pseudo-header and end-to-end fields; ignores hop-by-hop fields.
    void add(std::string_view name, std::string_view value);

    BodyLength bodyLength() const;
    RequestHead toRequest() &&;
    ResponseHead toResponse() &&;

    std::string method;
    std::string target;
    unsigned status = 0;
    std::optional<std::uint64_t> contentLength;
    HeaderFields fields;
    std::size_t byteCount = 0; // Total size of names and values.
    bool endsStream = false; // No body follows.
};

} // namespace dogwoodhall
