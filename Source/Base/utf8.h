#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Bytes of the character at the begin of the text; zero if it does not begin with a character in
// UTF-8.
std::size_t
utf8_length(std::string_view text);

// The text with `replacement` for each byte that belongs to no character.
std::string
replace_invalid_utf8(std::string_view text, std::string_view replacement);

}
