#pragma once

#include <string>
#include <string_view>

namespace persimmonshelf {

// Percent-encodes a part of a URL. Letters, digits, "-._~" and the characters in `allowed` are not
// encoded.
std::string
percent_encode(std::string_view text, std::string_view allowed = {});

}
