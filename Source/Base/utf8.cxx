#include "Base/utf8.h"

#include <algorithm>
#include <array>

namespace persimmonshelf {

namespace {

// Characters that begin with a byte in a range. The second byte's range excludes overlong forms,
// surrogates and numbers above U+10FFFF; all later bytes are continuations.
struct character_form
{
  unsigned char first_low;
  unsigned char first_high;
  unsigned char second_low;
  unsigned char second_high;
  std::size_t length;
};

constexpr std::array<character_form, 9> forms{ {
  { 0x00, 0x7f, 0x00, 0x00, 1 },
  { 0xc2, 0xdf, 0x80, 0xbf, 2 },
  { 0xe0, 0xe0, 0xa0, 0xbf, 3 },
  { 0xe1, 0xec, 0x80, 0xbf, 3 },
  { 0xed, 0xed, 0x80, 0x9f, 3 },
  { 0xee, 0xef, 0x80, 0xbf, 3 },
  { 0xf0, 0xf0, 0x90, 0xbf, 4 },
  { 0xf1, 0xf3, 0x80, 0xbf, 4 },
  { 0xf4, 0xf4, 0x80, 0x8f, 4 },
} };

bool
is_between(char byte, unsigned char low, unsigned char high)
{
  const auto value = static_cast<unsigned char>(byte);
  return value >= low && value <= high;
}

}

std::size_t
utf8_length(std::string_view text)
{
  for (const auto& form : forms) {
    if (text.empty() || !is_between(text.front(), form.first_low, form.first_high)) {
      continue;
    }
    const auto rest = text.substr(1, form.length - 1);
    const bool complete = rest.size() == form.length - 1;
    const bool valid_second =
      rest.empty() || is_between(rest.front(), form.second_low, form.second_high);
    const bool valid_rest =
      std::all_of(rest.begin(), rest.end(), [](char byte) { return is_between(byte, 0x80, 0xbf); });
    return complete && valid_second && valid_rest ? form.length : 0;
  }
  return 0;
}

std::string
replace_invalid_utf8(std::string_view text, std::string_view replacement)
{
  std::string valid;
  while (!text.empty()) {
    const auto length = utf8_length(text);
    valid += length > 0 ? text.substr(0, length) : replacement;
    text.remove_prefix(std::max<std::size_t>(1, length));
  }
  return valid;
}

}
