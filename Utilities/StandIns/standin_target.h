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

// Decodes a part of a target. One that is not percent-encoded correctly stays as it is.
std::string
decode_target_part(std::string_view part);

}
