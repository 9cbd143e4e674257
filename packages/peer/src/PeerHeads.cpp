#include "PeerHeads.h"

#include <charconv>
#include <utility>

namespace dogwoodhall {

namespace {

std::string toLower(std::string_view text)
{
    std::string lower(text);
    for (char& c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::uint8_t* bytesOf(const std::string& text)
{
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

} // namespace

HeaderBlock::HeaderBlock(const RequestHead& head, std::string authority)
{
    add(":method", head.method);
    add(":scheme", "http");
    add(":authority", std::move(authority));
    add(":path", head.target);
    addFields(head.fields, head.bodyLength);
}

HeaderBlock::HeaderBlock(const ResponseHead& head)
{
    add(":status", std::to_string(head.status));
    addFields(head.fields, head.bodyLength);
}

void HeaderBlock::add(std::string_view name, std::string value)
{
    m_fields.push_back({ std::string(name), std::move(value) });
}

void HeaderBlock::addFields(const HeaderFields& fields, BodyLength length)
{
    for (const HeaderField& field : fields) {
        if (!isHopByHop(field.name))
            add(toLower(field.name), field.value);
    }
    if (length.kind == BodyLength::Kind::Exact)
        add("content-length", std::to_string(length.bytes.count()));
}

std::vector<nghttp2_nv> HeaderBlock::view() const
{
    std::vector<nghttp2_nv> values;
    values.reserve(m_fields.size());
    for (const HeaderField& field : m_fields) {
        nghttp2_nv value = {};
        value.name = bytesOf(field.name);
        value.namelen = field.name.size();
        value.value = bytesOf(field.value);
        value.valuelen = field.value.size();
        values.push_back(value);
    }
    return values;
}

std::size_t HeaderBlock::byteCount() const
{
    std::size_t n = 0;
    for (const HeaderField& field : m_fields)
        n += field.name.size() + field.value.size();
    return n;
}

void ReceivedHead::add(std::string_view name, std::string_view value)
{
    if (name == ":method")
        method = value;
    else if (name == ":path")
        target = value;
    else if (name == ":status")
        status = parseNumber<unsigned>(value).value_or(0);
    else if (name == "content-length")
        contentLength = parseNumber<std::uint64_t>(value);
    else if (!name.starts_with(':') && !isHopByHop(name))
        fields.add(std::string(name), std::string(value));
}

BodyLength ReceivedHead::bodyLength() const
{
    if (contentLength)
        return { BodyLength::Kind::Exact, ByteCount(*contentLength) };
    return { endsStream ? BodyLength::Kind::None : BodyLength::Kind::Streamed, {} };
}

RequestHead ReceivedHead::toRequest() &&
{
    const BodyLength length = bodyLength();
    return { std::move(method), std::move(target), std::move(fields), length };
}

ResponseHead ReceivedHead::toResponse() &&
{
    const BodyLength length = bodyLength();
    return { status, std::move(fields), length };
}

} // namespace dogwoodhall
