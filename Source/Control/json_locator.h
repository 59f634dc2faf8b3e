#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmonshelf {

// Maps the path of a value in a JSON text, such as "databases[1].slots", to its line, because
// Boost.JSON does not keep positions. Also finds names that occur twice in one object, because
// Boost.JSON silently keeps only the last.
class json_locator
{
public:
  // `text` must be valid JSON.
  explicit json_locator(std::string_view text);

  // Line of the value, starting at 1. For a path that does not exist, the line of the closest
  // enclosing value.
  std::size_t line_of(std::string_view path) const;

  // Paths that occur twice in one object, in the order of the text, with the line of the second
  // occurrence.
  struct duplicate
  {
    std::string path;
    std::size_t line;
  };
  const std::vector<duplicate>& duplicates() const { return duplicates_; }

  // Line of a byte offset, starting at 1.
  static std::size_t line_at(std::string_view text, std::size_t offset);

private:
  void skip_space();
  std::string read_name();
  void read_value(const std::string& path);
  void read_object(const std::string& path);
  void read_array(const std::string& path);

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t line_ = 1;
  std::unordered_map<std::string, std::size_t> lines_;
  std::vector<duplicate> duplicates_;
};

}
