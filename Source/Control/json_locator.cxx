#include "Control/json_locator.h"

#include <algorithm>
#include <unordered_set>

namespace persimmonshelf {

json_locator::json_locator(std::string_view text)
  : text_(text)
{
  read_value("");
  text_ = {};
}

std::size_t
json_locator::line_at(std::string_view text, std::size_t offset)
{
  const auto before = text.substr(0, offset);
  return 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
}

std::size_t
json_locator::line_of(std::string_view path) const
{
  std::string rest(path);
  while (true) {
    const auto found = lines_.find(rest);
    if (found != lines_.end()) {
      return found->second;
    }
    const auto cut = rest.find_last_of(".[");
    if (cut == std::string::npos) {
      return rest.empty() ? 1 : line_of("");
    }
    rest.resize(cut);
  }
}

void
json_locator::skip_space()
{
  while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != text_.npos) {
    line_ += text_[at_] == '\n' ? 1 : 0;
    ++at_;
  }
}

// Reads a string starting at its opening quote. Escapes are kept as written, which is sufficient
// for paths.
std::string
json_locator::read_name()
{
  std::string name;
  for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
    name.push_back(text_[at_]);
    if (text_[at_] == '\\' && at_ + 1 < text_.size()) {
      ++at_;
      name.push_back(text_[at_]);
    }
  }
  ++at_;
  return name;
}

// Recursion is bounded, because Boost.JSON rejects text nested deeper than 32 levels.
// NOLINTNEXTLINE(misc-no-recursion)
void
json_locator::read_value(const std::string& path)
{
  skip_space();
  lines_.emplace(path, line_);
  if (at_ >= text_.size()) {
    return;
  }
  switch (text_[at_]) {
    case '{':
      read_object(path);
      return;
    case '[':
      read_array(path);
      return;
    case '"':
      read_name();
      return;
    default:
      at_ = std::min(text_.find_first_of(",]} \t\r\n", at_), text_.size());
  }
}

void
json_locator::read_object(const std::string& path)
{
  std::unordered_set<std::string> names;
  ++at_;
  for (skip_space(); at_ < text_.size() && text_[at_] != '}'; skip_space()) {
    if (text_[at_] != '"') {
      ++at_;
      continue;
    }
    const auto line = line_;
    const auto name = read_name();
    auto inner = path.empty() ? name : path + ".";
    inner += path.empty() ? "" : name;
    if (!names.insert(name).second) {
      duplicates_.push_back({ inner, line });
    }
    skip_space();
    ++at_;
    read_value(inner);
  }
  ++at_;
}

void
json_locator::read_array(const std::string& path)
{
  std::size_t index = 0;
  ++at_;
  for (skip_space(); at_ < text_.size() && text_[at_] != ']'; skip_space()) {
    if (text_[at_] == ',') {
      ++at_;
      ++index;
      continue;
    }
    read_value(path + "[" + std::to_string(index) + "]");
  }
  ++at_;
}

}
