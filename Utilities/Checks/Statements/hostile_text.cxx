#include "Checks/Statements/hostile_text.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmonshelf::checks {

namespace {

using namespace std::string_view_literals;

constexpr std::size_t max_fragments = 4;
constexpr std::size_t max_printed_bytes = 160;

constexpr std::array fragments{
  "a"sv,         "b7"sv,     " "sv,           "  "sv,           "\t"sv,
  "\r"sv,        "\n"sv,     "\0"sv,          "\x80\xff"sv,     "\xc3\xa9"sv,
  "q12"sv,       "zd"sv,     "READ"sv,        "WRITE"sv,        "q12 READ zd"sv,
  "WRITE x y"sv, "COMMIT"sv, "ROLLBACK"sv,    "RESET"sv,        "AFTER 1.1 READ x"sv,
  "p1"sv,        "s1"sv,     "r."sv,          "w."sv,           "QUERY - COMMIT"sv,
  "-"sv,         "BEGIN"sv,  "ROW x"sv,       "DONE -"sv,       "READY I 1.1"sv,
  "SET a b"sv,   "BYE"sv,    "START db1 k"sv, "\x7f"sv,         "\""sv,
  "\\"sv,        "%20"sv,    "\x1b[0m"sv,     "\xe2\x80\xa8"sv, "D1 x"sv,
};

constexpr std::array shapes{
  "q12"sv,
  "zd"sv,
  "q12 READ zd"sv,
  "q12 WRITE zd"sv,
  "zd READ q12"sv,
  "q12 READ zd x"sv,
  "qa"sv,
  "qa READ xy"sv,
  "q12  READ zd"sv,
  "q12 READ"sv,
  "READ"sv,
  "WRITE"sv,
  "READ q12"sv,
  "q12 other"sv,
  "r.q12"sv,
  "w.q12"sv,
  " q12"sv,
  "q12 "sv,
  "1"sv,
  "p1"sv,
};

void
remove_line_ends(std::string& text)
{
  for (auto found = text.find("\r\n"); found != std::string::npos; found = text.find("\r\n")) {
    text.erase(found, 1);
  }
}

}

hostile_text::hostile_text(std::uint64_t seed)
  : random_(seed)
{
}

std::size_t
hostile_text::below(std::size_t end)
{
  return random_() % end;
}

std::string
hostile_text::last_field()
{
  std::string text;
  const auto count = 1 + below(max_fragments);
  for (std::size_t i = 0; i < count; ++i) {
    text += fragments.at(below(fragments.size()));
  }
  remove_line_ends(text);
  return text;
}

std::string
hostile_text::middle_field()
{
  auto text = last_field();
  std::erase(text, ' ');
  remove_line_ends(text);
  return text.empty() ? "x" : text;
}

std::string
hostile_text::shape(bool plain)
{
  if (chance(30)) {
    return plain ? middle_field() : last_field();
  }
  std::string text(shapes.at(below(shapes.size())));
  if (plain) {
    std::erase(text, ' ');
  }
  return text;
}

std::string
hostile_text::long_field(std::size_t bytes)
{
  std::string text(bytes, static_cast<char>('a' + below(26)));
  for (std::size_t i = 0; i < 20 && bytes > 0; ++i) {
    text[below(bytes)] = static_cast<char>('A' + below(26));
  }
  return text;
}

std::string
printable(std::string_view text)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string shown;
  for (const auto letter : text.substr(0, max_printed_bytes)) {
    const auto code = static_cast<unsigned char>(letter);
    if (code < 0x20 || code >= 0x7f || letter == '\\') {
      shown += "\\x";
      shown += digits[code >> 4U];
      shown += digits[code & 0xfU];
    } else {
      shown += letter;
    }
  }
  if (text.size() > max_printed_bytes) {
    shown += "... (" + std::to_string(text.size()) + " bytes)";
  }
  return shown;
}

}
