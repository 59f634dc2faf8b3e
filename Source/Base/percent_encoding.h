#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Percent-encodes a part of a URL or a field of a text. Letters, digits, "-._~" and the characters
// in `allowed`, which must not include "%", are not encoded.
std::string
percent_encode(std::string_view text, std::string_view allowed = {});

// The text that was encoded; empty if a "%" is not followed by two hexadecimal digits.
std::optional<std::string>
percent_decode(std::string_view encoded);

}
