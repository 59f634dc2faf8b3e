#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace persimmonshelf::checks {

// Seeded source of texts that are hard to carry in a line: blanks, tabs, lone CR and LF, NUL, bytes
// above 0x7f and the likeness of other statements. No text contains CR LF, which ends a line.
class hostile_text
{
public:
  explicit hostile_text(std::uint64_t seed);

  // A number below `end`, which must not be 0.
  std::size_t below(std::size_t end);
  // True in `percent` of 100 calls.
  bool chance(unsigned percent) { return below(100) < percent; }

  // A field that another one follows: not empty and without blanks.
  std::string middle_field();
  // The last field of a line. Not empty.
  std::string last_field();
  // A shape for prepared statements. Some come often and resemble the names of others. A plain one
  // has no blanks.
  std::string shape(bool plain);
  // A printable text of that many bytes.
  std::string long_field(std::size_t bytes);

private:
  std::mt19937_64 random_;
};

// The start of a text with unusual bytes as \xNN, for reports.
std::string
printable(std::string_view text);

}
