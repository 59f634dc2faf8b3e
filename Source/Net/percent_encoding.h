#pragma once

#include <string>
#include <string_view>

namespace persimmonshelf {

// Encodes a part of a URL: all but letters, digits, "-._~" and the characters of `plain`.
std::string
percent_encode(std::string_view text, std::string_view allowed = {});

}
