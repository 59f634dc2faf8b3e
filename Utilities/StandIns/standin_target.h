#pragma once

#include <string>
#include <string_view>

namespace persimmonshelf {

// The target without its query.
std::string_view
path_of(std::string_view target);

// The decoded value of a query parameter; empty if it is missing.
std::string
query_value(std::string_view target, std::string_view name);

// Replaces %XX sequences by the bytes that they stand for.
std::string
percent_decode(std::string_view text);

}
