#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace persimmonshelf {

// Strong typedef of `rep`: values with different tags are different types. Used for ids and units,
// so the compiler rejects, for example, a term where a log position is expected.
template<typename tag, typename rep>
class strong
{
public:
  using representation = rep;

  strong() = default;
  explicit strong(rep value)
    : value_(std::move(value))
  {
  }

  const rep& get() const { return value_; }

  friend auto operator<=>(const strong&, const strong&) = default;
  friend bool operator==(const strong&, const strong&) = default;

  friend std::ostream& operator<<(std::ostream& out, const strong& value)
  {
    return out << value.value_;
  }

private:
  rep value_{};
};

}

template<typename tag, typename rep>
struct std::hash<persimmonshelf::strong<tag, rep>>
{
  std::size_t operator()(const persimmonshelf::strong<tag, rep>& value) const
  {
    return std::hash<rep>{}(value.get());
  }
};
