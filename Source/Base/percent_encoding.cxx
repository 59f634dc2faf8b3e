#include "Base/percent_encoding.h"

#include <charconv>

namespace {

// Independent of the locale, unlike std::isalnum.
bool
is_letter_or_digit(char character)
{
  return (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z') ||
         (character >= 'a' && character <= 'z');
}

}

namespace persimmonshelf {

std::string
percent_encode(std::string_view text, std::string_view allowed)
{
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr std::string_view unreserved = "-._~";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (is_letter_or_digit(character) || unreserved.find(character) != std::string_view::npos ||
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

std::optional<std::string>
percent_decode(std::string_view encoded)
{
  constexpr std::size_t digits = 2;
  std::string text;
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    if (encoded[i] != '%') {
      text.push_back(encoded[i]);
      continue;
    }
    const auto pair = encoded.substr(i + 1, digits);
    unsigned byte = 0;
    const auto parsed = std::from_chars(pair.data(), pair.data() + pair.size(), byte, 16);
    if (pair.size() != digits || parsed.ec != std::errc() ||
        parsed.ptr != pair.data() + pair.size()) {
      return std::nullopt;
    }
    text.push_back(static_cast<char>(byte));
    i += digits;
  }
  return text;
}

}
