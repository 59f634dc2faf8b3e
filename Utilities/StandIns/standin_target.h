#pragma once

#include <string>
#include <string_view>

namespace persimmonshelf {

// Path of a request target, without the query.
std::string_view
path_of(std::string_view target);

// Decoded value of a query parameter; empty if the parameter is missing.
std::string
query_value(std::string_view target, std::string_view name);

// Replaces each %XX sequence with the byte that it encodes.
std::string
percent_decode(std::string_view text);

}
