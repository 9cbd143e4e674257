#include "BeastHeads.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string>

namespace dogwoodhall {

HeaderFields fromBeast(const http::fields& fields)
{
    http::token_list connectionTokens(fields[http::field::connection]);
    HeaderFields result;
    for (const auto& field : fields) {
        const std::string_view name = field.name_string();
        if (!isHopByHop(name) && !connectionTokens.exists(name))
            result.add(std::string(name), std::string(field.value()));
    }
    return result;
}

void toBeast(const HeaderFields& source, http::fields& target)
{
    for (const auto& field : source) {
        if (!isHopByHop(field.name))
            target.insert(field.name, field.value);
    }
}

} // namespace dogwoodhall
