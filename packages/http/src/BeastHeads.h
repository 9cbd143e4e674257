#pragma once

#include "dogwoodhall/exchange/Head.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace dogwoodhall {

namespace http = boost::beast::http;

// Copies the end-to-end fields of a Beast message, except those listed in its Connection field.
HeaderFields fromBeast(const http::fields&);

// Adds the fields to a Beast message.
void toBeast(const HeaderFields&, http::fields&);

} // namespace dogwoodhall
