#include "Net/percent_encoding.h"

#include <cctype>

namespace persimmonshelf {

std::string
percent_encode(std::string_view text, std::string_view allowed)
{
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr std::string_view unreserved = "-._~";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || unreserved.find(character) != std::string_view::npos ||
        allowed.find(character) != std::string_view::npos) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(digits[byte >> 4U]);
    encoded.push_back(digits[byte & 15U]);
  }
  return encoded;
}

}
